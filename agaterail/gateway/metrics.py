"""Metrics of the daemon in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from agaterail import logs
from agaterail.bytelimits.answers import exceeded_bounds
from agaterail.decisions.requestkeys import is_request
from agaterail.engineloads import loadspage
from agaterail.gateway.desired import CallerLimits
from agaterail.gateway.httpserver import HttpServer

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.util.address import Address

logger = logs.get_logger("metrics")

PREFIX = "agaterail"
# Latency objectives range from 0.1 to 0.5 s, time limits up to 15 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.5, 6.0, 15.0)
# Metrics with a label for each of thousands of workspaces would cost megabytes.
MAX_WORKSPACE_LABELS = 32
OTHER_WORKSPACES = "other"
OK = 200
NOT_FOUND = 404
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4; charset=utf-8"
LOADS_CONTENT_TYPE = b"Content-Type: text/plain; charset=utf-8"
LOADS_PAGE = b"/engine-loads"


class GatewayMetrics:
    """The daemon's metrics, which docs/OPERATIONS.md explains."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            f"{PREFIX}_requests",
            "Requests by kind of route and outcome.",
            ("kind", "outcome"),
            registry=registry,
        )
        self.attempts = Counter(
            f"{PREFIX}_attempts",
            "Sends to targets by how they ended.",
            ("outcome",),
            registry=registry,
        )
        self.allowances = Counter(
            f"{PREFIX}_allowance_requests",
            "Requests of workspaces that have an allowance, by what it allowed.",
            ("workspace", "outcome"),
            registry=registry,
        )
        self.permits = Counter(
            f"{PREFIX}_target_permits",
            "Requests to targets that name a limit, by who decided on them and how.",
            ("source", "outcome"),
            registry=registry,
        )
        self.notices = Counter(
            f"{PREFIX}_target_notices",
            "Notices of targets in answers, by what they say and how they came here.",
            ("notice", "way"),
            registry=registry,
        )
        self.pool_epoch = Gauge(
            f"{PREFIX}_cache_pool_epoch",
            "Version of the desired state that the pool of cached parts began with.",
            registry=registry,
        )
        self.rooms = Counter(
            f"{PREFIX}_target_rooms",
            "Requests to brittle targets, by who decided on them and how.",
            ("source", "outcome"),
            registry=registry,
        )
        self.forwarded = Counter(
            f"{PREFIX}_forwarded_requests",
            "Requests that daemons without a path passed on to this one.",
            ("outcome",),
            registry=registry,
        )
        self.prompts_refused = Counter(
            f"{PREFIX}_prompts_refused",
            "Prompts that were refused to make room, by urgency and what decided.",
            ("urgency", "reason"),
            registry=registry,
        )
        self.late_streams = Counter(
            f"{PREFIX}_late_streams",
            "Complete streams that were late, by urgency and by what was late first.",
            ("urgency", "part"),
            registry=registry,
        )
        self.early_hedges = Counter(
            f"{PREFIX}_early_hedges",
            "Requests sent to a second engine because the first is suspected to be silent.",
            registry=registry,
        )
        self.resumed_streams = Counter(
            f"{PREFIX}_resumed_streams",
            "Streams that callers took up, by how the build that began them was known.",
            ("outcome",),
            registry=registry,
        )
        self.load_reports = Counter(
            f"{PREFIX}_engine_load_reports",
            "Reports of engine loads to the daemon that gathers them, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.placements = Counter(
            f"{PREFIX}_prompt_placements",
            "Sends of prompts to engines, by what decided and where they went.",
            ("basis", "place"),
            registry=registry,
        )
        self.answer_bounds = Gauge(
            f"{PREFIX}_answer_bounds_exceeded",
            "Answers with a part that exceeds its bound since the start.",
            ("part",),
            registry=registry,
        )
        self.records_skipped = Gauge(
            f"{PREFIX}_records_skipped",
            "Records of the store that could not be decoded since the start.",
            ("feed",),
            registry=registry,
        )
        self.workspace_labels: set[str] = set()
        self.first_byte = Histogram(
            f"{PREFIX}_first_byte_seconds",
            "From the first byte of a request to that of its answer.",
            ("kind",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.duration = Histogram(
            f"{PREFIX}_request_seconds",
            "From the first byte of a request to the end of its answer.",
            ("kind", "outcome"),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.in_force = Histogram(
            f"{PREFIX}_desired_in_force_seconds",
            "From the first daemon that read a desired state to its being in force here.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.gauges = {
            name: Gauge(f"{PREFIX}_{name}", text, registry=registry)
            for name, text in (
                ("in_flight", "Requests being read or answered."),
                ("reading_age_seconds", "Age of the newest reading of the desired state."),
                ("targets_age_seconds", "Age of the newest reading of the targets."),
                ("desired_version", "Version of the desired state in force."),
                ("targets_usable", "Targets that a request may be sent to."),
                ("targets_known", "Targets that are registered."),
                ("targets_cordoned", "Engines that load new weights next."),
                ("engines_suspected", "Engines that are taken to be silent."),
                (
                    "targets_resting",
                    "Targets that want no requests of this daemon for a time.",
                ),
                ("targets_limited", "Targets that name a limit of requests per second."),
                ("targets_brittle", "Targets that bear few refusals."),
                ("service_builds", "Most builds with which a service's targets serve."),
                ("stream_records", "Streams whose build this daemon keeps for others."),
                ("parts_quarantined", "Parts of prompts that are kept from engines."),
                ("requests_quarantined", "Requests that are kept from targets."),
                ("parts_suspected", "Parts of prompts at engines that crashed lately."),
                ("requests_suspected", "Requests at targets that crashed lately."),
                ("services_without_path", "Services that no new connection reaches."),
                ("saturated", "Whether new connections are closed unread."),
                ("closed_unread", "Connections from callers that were closed unread."),
                ("held_bytes", "Bytes held for callers: requests, answers, unsent data."),
                ("held_bytes_low", "Held bytes above which new connections are not read."),
                ("held_bytes_high", "Held bytes above which callers are ended."),
                ("callers_ended", "Callers that were ended above the high mark."),
                ("forwarding", "Requests of other daemons that are being forwarded."),
                ("refusal_chance", "Largest part of a service's load that is refused."),
                ("fleet_share", "Part of the fleet's partitions that this daemon holds."),
                ("allowances_exhausted", "Workspaces whose allowance is used up."),
                (
                    "engine_loads_age_seconds",
                    "Age of the last answer with engine loads; -1 without a fresh one.",
                ),
                ("engine_loads_known", "Engines whose load at all daemons is known."),
                ("lease_seconds", "Seconds for which orders may still be given."),
                ("store_calls", "Calls to the platform's store since the start."),
                ("channels_opened", "Connections to targets opened since the start."),
                ("log_lines_dropped", "Log lines that could not be written."),
            )
        }

    def record_allowance(self, workspace: str, admitted: bool) -> None:
        """Count a request; only the first workspaces have a label of their own."""
        if len(self.workspace_labels) < MAX_WORKSPACE_LABELS:
            self.workspace_labels.add(workspace)
        label = workspace if workspace in self.workspace_labels else OTHER_WORKSPACES
        self.allowances.labels(label, "admitted" if admitted else "refused").inc()

    def render(self, daemon: Daemon) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._update_gauges(daemon)
        return generate_latest(self.registry)

    def _update_gauges(self, daemon: Daemon) -> None:
        now = daemon.now()
        targets = list(daemon.registry.targets.values())
        desired = daemon.state.desired
        quarantined, suspects = (
            daemon.quarantine.quarantined,
            daemon.quarantine.evidence.suspects,
        )
        requests_quarantined = sum(map(is_request, quarantined))
        requests_suspected = sum(map(is_request, suspects))
        values = {
            "in_flight": daemon.caller_server.active_requests,
            "reading_age_seconds": daemon.freshness.age_s(now),
            "targets_age_seconds": daemon.feeds.targets_age_s(),
            "desired_version": -1 if desired is None else desired.version,
            "targets_usable": sum(target.is_usable(now) for target in targets),
            "targets_known": len(targets),
            "targets_cordoned": sum(item.cordoned_at is not None for item in targets),
            "engines_suspected": daemon.silence.suspected_count,
            "targets_resting": sum(now < item.rest_until for item in targets),
            "targets_limited": sum(item.rate_limit is not None for item in targets),
            "targets_brittle": sum(item.brittle is not None for item in targets),
            "service_builds": daemon.registry.most_builds(),
            "stream_records": len(daemon.streams.records.records),
            "parts_quarantined": len(quarantined) - requests_quarantined,
            "requests_quarantined": requests_quarantined,
            "parts_suspected": len(suspects) - requests_suspected,
            "requests_suspected": requests_suspected,
            "services_without_path": len(daemon.paths.lost_services),
            "saturated": daemon.saturation.is_saturated,
            "closed_unread": daemon.saturation.closed_unread,
            "held_bytes": daemon.account.total,
            "held_bytes_low": daemon.account.marks.low,
            "held_bytes_high": daemon.account.marks.high,
            "callers_ended": daemon.account.ended,
            "forwarding": daemon.relay_responder.in_flight,
            "refusal_chance": max(
                (item.refusal_probability for item in daemon.shedders.values()), default=0.0
            ),
            "fleet_share": daemon.budget.share,
            "allowances_exhausted": len(daemon.allowances.exhausted),
            "engine_loads_age_seconds": daemon.engine_loads.age_s(),
            "engine_loads_known": sum(1 for _ in daemon.engine_loads.known()),
            "lease_seconds": daemon.weights.lease.remaining_s(now),
            "store_calls": daemon.store.calls,
            "channels_opened": daemon.connection_pool.opened,
            "log_lines_dropped": daemon.log_lines_dropped(),
        }
        for part, count in exceeded_bounds.counts.items():
            self.answer_bounds.labels(part.value).set(count)
        for feed, count in daemon.store.skipped.items():
            self.records_skipped.labels(feed.value).set(count)
        for name, value in values.items():
            self.gauges[name].set(value)


def start_metrics(daemon: Daemon, address: Address, path: bytes) -> HttpServer | None:
    """Serve the metrics at one path; if the address cannot be bound, only log that.

    The loads of engines stand on a page below that path.
    """
    loads_path = path.rstrip(b"/") + LOADS_PAGE

    def handle(inbound: InboundRequest, caller: CallerConnection) -> None:
        if inbound.path == path:
            caller.send_answer(OK, [CONTENT_TYPE], daemon.metrics.render(daemon))
        elif inbound.path == loads_path:
            page = loadspage.render(daemon.engine_loads)
            caller.send_answer(OK, [LOADS_CONTENT_TYPE], page)
        else:
            caller.send_answer(NOT_FOUND, [], b"")

    try:
        server = HttpServer(address, handle, CallerLimits, daemon.now)
    except OSError as error:
        logger.warning(
            "Could not start the metrics server.", address=str(address), reason=str(error)
        )
        return None
    server.start()
    return server
