"""Typed events within one process, and the bus that delivers them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from agaterail import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.tables import Tables

logger = logs.get_logger("events")

E = TypeVar("E")


@attrs.frozen
class TablesChanged:
    """New tables are in force."""

    tables: Tables


@attrs.frozen
class MembersChanged:
    """The set of live daemons changed."""

    members: tuple[str, ...]


@attrs.frozen
class TargetLeaving:
    """A target must get no new work."""

    address: str
    source: str


@attrs.frozen
class Dispatched:
    """A request was sent to a target."""

    address: str
    keys: tuple[bytes, ...]
    missing_tokens: int


@attrs.frozen
class ShutdownStarted:
    """The process starts to drain."""


class EventBus:
    """Calls the subscribers of an event's type, in order of subscription."""

    def __init__(self) -> None:
        self.subscribers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)

    def subscribe(self, kind: type[E], callback: Callable[[E], None]) -> None:
        """Register a callback for events of a type."""
        self.subscribers[kind].append(callback)

    def publish(self, event: object) -> None:
        """Call all subscribers of an event; one that raises does not stop the others."""
        for callback in self.subscribers[type(event)]:
            try:
                callback(event)
            except Exception:
                logger.exception(
                    "Event subscriber raised an exception.", event_type=type(event).__name__
                )
