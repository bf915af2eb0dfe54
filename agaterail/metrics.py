"""Counters, gauges and timings, sent by statsd."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from agaterail.util.address import Address

PREFIX = "agaterail"


class Metrics(abc.ABC):
    """Sink for the metrics of one process."""

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics(Metrics):
    """Metrics sent to a statsd server by UDP."""

    def __init__(self, address: Address) -> None:
        self.client = statsd.StatsClient(address.host, address.port, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self.client.timing(name, milliseconds)


class MemoryMetrics(Metrics):
    """Metrics kept in memory, for tests and for daemons without a server."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, milliseconds: float) -> None:
        """Keep the last duration in milliseconds."""
        self.timings[name] = milliseconds
