"""Counters, gauges and timings, sent to statsd."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs
import statsd

from agaterail.errors import ErrorKind, Outcome, WasteReason
from agaterail.fold import Verdict

if TYPE_CHECKING:
    from agaterail.util.address import Address

PREFIX = "agaterail"


class MetricKind(enum.Enum):
    """Type of a statsd metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Metric:
    """One metric, or one for each member of an enumeration.

    Attributes
    ----------
    name
        Name without the prefix; ``{}`` is a placeholder for the value of a member.
    members
        Enumeration whose values replace ``{}``.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    members: type[enum.Enum] | None = None

    def names(self) -> list[str]:
        """Return the complete names, one for each member."""
        if self.members is None:
            return [self.name]
        return [self.name.format(member.value) for member in self.members]


_COUNTER, _GAUGE, _TIMING = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMING

METRICS = (
    Metric("requests.{}", _COUNTER, "requests", "Finished requests, by outcome.", Outcome),
    Metric(
        "errors.{}",
        _COUNTER,
        "requests",
        "Requests answered with an error, by kind.",
        ErrorKind,
    ),
    Metric("attempts", _COUNTER, "attempts", "Attempts at targets, including retries."),
    Metric(
        "wasted.{}",
        _COUNTER,
        "runs",
        "Runs at engines whose work was wasted, by reason.",
        WasteReason,
    ),
    Metric("wasted_events", _COUNTER, "events", "Token events received from wasted runs."),
    Metric("cancels", _COUNTER, "runs", "Runs that engines were asked to cancel."),
    Metric("cancels_failed", _COUNTER, "runs", "Cancel requests that failed."),
    Metric("resumes.same", _COUNTER, "streams", "Streams resumed on the same engine."),
    Metric("resumes.elsewhere", _COUNTER, "streams", "Streams rerun on another engine."),
    Metric("prompt_tokens", _COUNTER, "tokens", "Prompt tokens of routed completions."),
    Metric(
        "expected_hit_tokens",
        _COUNTER,
        "tokens",
        "Prompt tokens expected in the cache of the chosen engine.",
    ),
    Metric(
        "transfers.imported_blocks", _COUNTER, "blocks", "Blocks imported from the KV store."
    ),
    Metric("first_part", _TIMING, "ms", "Time from arrival to the start of the answer."),
    Metric("request", _TIMING, "ms", "Time from arrival to the end of the answer."),
    Metric("in_flight", _GAUGE, "requests", "Requests in flight on this daemon."),
    Metric(
        "ready", _GAUGE, "0 or 1", "Whether the load balancer should send new connections."
    ),
    Metric("members", _GAUGE, "daemons", "Live daemons known to this daemon."),
    Metric("peers.messages", _GAUGE, "messages", "Messages sent to peers since the start."),
    Metric("peers.bytes", _GAUGE, "bytes", "Bytes sent to peers since the start."),
    Metric(
        "tables.through", _GAUGE, "offset", "Last log offset included in the tables in force."
    ),
    Metric(
        "tables.{}", _COUNTER, "records", "Records of the tables log, by verdict.", Verdict
    ),
    Metric("tables.snapshots", _COUNTER, "records", "Snapshots written by this daemon."),
)


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
    """Metrics sent to a statsd server over UDP."""

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
    """Metrics kept in memory, for tests and for daemons without a statsd server."""

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
