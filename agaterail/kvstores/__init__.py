"""Interface to the KV store."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class KvStore(abc.ABC):
    """Client of the store to which engines export KV blocks and from which they import them.

    Attributes
    ----------
    address
        Address at which engines reach the store.
    """

    address: str

    @abc.abstractmethod
    def count_leading_keys(self, keys: Sequence[bytes], timeout_s: float) -> Result[int, str]:
        """Return how many leading keys of ``keys`` the store holds."""
