"""Store of kept KV cache, behind one interface."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class KvStore(abc.ABC):
    """Client of the store that engines export blocks to and import them from.

    Attributes
    ----------
    address
        Where engines reach the store.
    """

    address: str

    @abc.abstractmethod
    def count_leading_keys(self, keys: Sequence[bytes], timeout_s: float) -> Result[int, str]:
        """Return how many of the leading keys the store holds."""
