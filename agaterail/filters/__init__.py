"""Filters that a request passes through, outermost first."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from returns.result import Failure, Result

from agaterail import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.exchange import Exchange, Reply

    Proceed = Callable[[Exchange], "Result[Reply, errors.Failure]"]


class Filter(abc.ABC):
    """One step of the filter chain.

    Attributes
    ----------
    order
        Position in the chain; a lower value is closer to the caller.
    """

    order: int

    @abc.abstractmethod
    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Answer a request, or pass it to the next filter with ``proceed``."""


class FilterChain:
    """Filters, sorted by their order."""

    def __init__(self, filters: Sequence[Filter]) -> None:
        self.filters = sorted(filters, key=lambda item: item.order)

    def run(self, exchange: Exchange) -> Result[Reply, errors.Failure]:
        """Pass a request through all filters."""
        return self._handle_from(0, exchange)

    def run_from(self, order: int, exchange: Exchange) -> Result[Reply, errors.Failure]:
        """Run a request again through the filters from the given order on."""
        index = next(
            (position for position, item in enumerate(self.filters) if item.order >= order),
            len(self.filters),
        )
        return self._handle_from(index, exchange)

    def _handle_from(self, index: int, exchange: Exchange) -> Result[Reply, errors.Failure]:
        if index == len(self.filters):
            return Failure(errors.Failure(errors.ErrorKind.INTERNAL, "No filter answered."))
        return self.filters[index].handle(
            exchange, lambda passed: self._handle_from(index + 1, passed)
        )
