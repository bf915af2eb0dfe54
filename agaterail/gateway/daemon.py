"""Application object that wires the components of one gateway daemon."""

from __future__ import annotations

import random
import secrets
import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs
import gevent
from gevent.pool import Group

from agaterail import logs
from agaterail.bytelimits.account import ByteAccount, Marks
from agaterail.bytelimits.answers import max_body_bytes
from agaterail.decisions.buildhistory import BuildHistory
from agaterail.decisions.enginehomes import EngineHomes
from agaterail.decisions.engineroles import PromptLengths, select_engines
from agaterail.engineloads import messages as loadmessages
from agaterail.engineloads.controller import EngineLoadController
from agaterail.engineloads.gatherer import Gatherer
from agaterail.engineloads.ownloads import OwnEngineLoads
from agaterail.engineloads.silencecontroller import SilenceController
from agaterail.engineloads.view import FleetEngineLoads
from agaterail.gateway import (
    admission,
    allowancecontroller,
    cachedirectives,
    crashprotocol,
    kvsavecontroller,
    placement,
    relayprotocol,
    streamprotocol,
    targetlimitcontroller,
    targetroomcontroller,
)
from agaterail.gateway.allowancecontroller import AllowanceController
from agaterail.gateway.cachepoolcontroller import CachePoolController
from agaterail.gateway.connectionpool import ConnectionPool
from agaterail.gateway.controlstore import NEVER, Feed
from agaterail.gateway.coordinators import Coordinators
from agaterail.gateway.demand import Demand
from agaterail.gateway.desired import CallerLimits
from agaterail.gateway.feedhub import FeedHub
from agaterail.gateway.freshness import Freshness
from agaterail.gateway.handler import RequestHandler
from agaterail.gateway.httpserver import HttpServer
from agaterail.gateway.kvsavecontroller import KvSaveController
from agaterail.gateway.membership import MembershipController
from agaterail.gateway.metrics import GatewayMetrics
from agaterail.gateway.pathcontroller import PathController
from agaterail.gateway.placement import FleetView, PlacementRules
from agaterail.gateway.quarantinecontroller import QuarantineController
from agaterail.gateway.readiness import make_readiness_server
from agaterail.gateway.relaycontroller import RelayController
from agaterail.gateway.relayresponder import RelayResponder
from agaterail.gateway.restartcontroller import RestartController
from agaterail.gateway.resumedstreams import ResumedStreams
from agaterail.gateway.retrybudget import RetryBudget
from agaterail.gateway.saturationmonitor import SaturationMonitor, max_connections
from agaterail.gateway.shedding import LoadShedder
from agaterail.gateway.state import GatewayState
from agaterail.gateway.streamcontroller import StreamController
from agaterail.gateway.targetlimitcontroller import TargetLimitController
from agaterail.gateway.targetnotices import TargetNotices
from agaterail.gateway.targetroomcontroller import TargetRoomController
from agaterail.gateway.targets import TargetRegistry
from agaterail.gateway.weightscontroller import WeightsController
from agaterail.platform import names, requests
from agaterail.timers import GeventTimerService

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from agaterail.decisions.allowances import Allowance
    from agaterail.gateway.cachedirectives import CacheDirectives
    from agaterail.gateway.controlstore import ControlStore
    from agaterail.gateway.desired import KvStoreSpec
    from agaterail.gateway.enginecontrol import EngineControl
    from agaterail.gateway.gracefulstop import StopWindow
    from agaterail.gateway.hostsettings import HostSettings
    from agaterail.gateway.kvstoreindex import CacheFeed
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.requestcontext import RequestContext
    from agaterail.gateway.targets import Target
    from agaterail.timers import Subscription

logger = logs.get_logger("gateway")

# Registrations that lapsed in an outage are renewed within about two seconds after the
# store is reachable again.
LAPSE_GRACE_S = 2.0
# Bounds of the time limit of streams, for how long their records are kept.
MIN_STREAM_S = 5.0
MAX_STREAM_S = 300.0
DEFAULT_STREAM_S = 60.0
BOOT_BYTES = 4
HOUSEKEEPING_PERIOD_S = 0.5


def boottime_s() -> float:
    """Return the monotonic time in seconds, including time in which the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Daemon:
    """Components of one daemon, and the state that they share."""

    def __init__(
        self,
        settings: HostSettings,
        store: ControlStore,
        engine_control: EngineControl,
        cache_feed: CacheFeed,
    ) -> None:
        self.settings = settings
        self.store = store
        self.engine_control = engine_control
        self.now = boottime_s
        self.boot = secrets.token_hex(BOOT_BYTES)
        self.random = random.Random()
        bounds = settings.bounds
        self.freshness = Freshness(
            bound_s=bounds.revoke_s or float("inf"), denial_bound_s=bounds.config_s
        )
        self.registry = TargetRegistry(LAPSE_GRACE_S)
        self.state = GatewayState(
            self.freshness, self.registry, bounds.version_s, bounds.clock_skew_s
        )
        self.budget = RetryBudget(bounds.retries)
        self.demand = Demand()
        self.prompt_lengths: defaultdict[str, PromptLengths] = defaultdict(PromptLengths)
        self.shedders: dict[str, LoadShedder] = {}
        self.connection_pool = ConnectionPool(requests.decode_answer_head, self.now)
        self.registry.on_gone = self.connection_pool.drop
        self.paths = PathController(self.registry, self.connection_pool, self.now, self.random)
        self.restarts = RestartController(engine_control.report, self.now)
        self.connection_pool.on_ended_early = self._record_ended_early
        self.quarantine = QuarantineController(
            f"{settings.host}.{self.boot}",
            self.connection_pool,
            self.restarts,
            append=lambda changes: store.append_crashes(changes, settings.host),
            daemons=lambda: self.rules.daemons,
            known_daemons=self._all_known_daemons,
            now=self.now,
            rng=self.random,
        )
        self.rules = PlacementRules(domain=settings.domain, version_s=bounds.version_s)
        self.engine_homes: dict[str, EngineHomes] = {}
        self.encode = requests.encode_attempt
        self.stopping = False
        self.stop_window: StopWindow | None = None
        self.account = ByteAccount(Marks.of_memory(settings.memory_mb), self.now)
        self.max_body_bytes = max_body_bytes(settings.memory_mb)
        self.metrics = GatewayMetrics()
        self.notices = TargetNotices(self.registry, self.metrics, self.now)
        self.log_lines_dropped: Callable[[], int] = lambda: 0
        self.membership = MembershipController(self)
        self.weights = WeightsController(self)
        self.cache_pool = CachePoolController(
            store,
            self.state,
            self.metrics,
            rank=lambda: self.membership.rank,
            is_reader=lambda: self.membership.is_reader,
            daemons=lambda: self.rules.daemons,
            is_stopping=lambda: self.stopping,
            spawn=lambda *call: self.greenlets.spawn(*call),
            now=self.now,
            number=self.random.random,
        )
        self.feeds = FeedHub(self)
        self.kv_saves = KvSaveController(
            cache_feed,
            str(self.feeds.peer_responder.server.address),
            lambda: self.feeds.readers,
            self.now,
        )
        self.feeds.peer_responder.handlers[kvsavecontroller.PATH] = self.kv_saves.answer
        self.coordinators = Coordinators(
            name=f"{settings.host}.{self.boot}",
            own_address=str(self.feeds.peer_responder.server.address),
            readers=lambda: self.feeds.readers,
            daemons=lambda: self.rules.daemons,
            now=self.now,
        )
        self.allowances = AllowanceController(
            self.coordinators,
            tolerance=bounds.allowances,
            allowance_of=self._allowance_of,
            now=self.now,
            number=self.random.random,
            has_allowances=lambda: (
                self.state.desired is not None and self.state.desired.has_allowances
            ),
        )
        self.feeds.peer_responder.handlers[allowancecontroller.PATH] = self.allowances.answer
        self.target_limits = TargetLimitController(
            self.coordinators,
            self.metrics,
            has_limits=lambda: any(
                target.rate_limit is not None for target in self.registry.targets.values()
            ),
            now=self.now,
            number=self.random.random,
        )
        self.feeds.peer_responder.handlers[targetlimitcontroller.PATH] = (
            self.target_limits.answer
        )
        self.target_rooms = TargetRoomController(
            self.coordinators,
            self.metrics,
            has_brittle=lambda: any(
                target.brittle is not None for target in self.registry.targets.values()
            ),
            now=self.now,
        )
        self.feeds.peer_responder.handlers[targetroomcontroller.PATH] = (
            self.target_rooms.answer
        )
        self._add_engine_loads()
        self.silence = SilenceController(
            lambda: self.engine_loads,
            self.registry,
            daemons=lambda: self.feeds.members.domains,
            own_address=str(self.feeds.peer_responder.server.address),
            report=engine_control.report,
            metrics=self.metrics,
            now=self.now,
            rng=self.random,
        )
        self.own_loads.waiting_s = self.silence.waiting_s
        self.readiness = make_readiness_server(
            settings.ready_listen, names.READY_PATH, lambda: self.ready, self.now
        )
        self.timers = GeventTimerService()
        self.greenlets = Group()
        self.subscriptions: list[Subscription] = []
        handler = RequestHandler(self)
        self._add_relays(handler)
        self._add_streams()
        self.saturation = SaturationMonitor(
            max_connections(settings.max_descriptors), self.now
        )
        self.caller_server = HttpServer(
            settings.caller_listen,
            handler.handle,
            self._limits,
            self.now,
            may_read=self._may_read,
            account=self.account,
        )
        self.feeds.peer_responder.server.account = self.account

    def _add_engine_loads(self) -> None:
        """Exchange the loads of engines with the other daemons."""
        registry = self.registry

        def start_of(instance: str) -> int | None:
            target = registry.targets.get(instance)
            return None if target is None else target.start

        def engines_of(service: str) -> tuple[tuple[str, int], ...]:
            targets = registry.of_service(service)
            return tuple(sorted((item.instance, item.start) for item in targets))

        self.own_loads = OwnEngineLoads()
        self.engine_loads = FleetEngineLoads(start_of, self.now)
        self.load_reports = EngineLoadController(
            self.coordinators,
            self.engine_loads,
            self.own_loads,
            Gatherer(engines_of, self._member_count, self.now),
            self.settings.domain,
            services=lambda: (
                () if self.state.desired is None else self.state.desired.prompted_services
            ),
            targets_of=registry.of_service,
            reports=self.metrics.load_reports,
            now=self.now,
            number=self.random.random,
        )
        handlers = self.feeds.peer_responder.prefix_handlers
        handlers[crashprotocol.PATH] = self.quarantine.gossip.handle
        handlers[loadmessages.PATH] = self.load_reports.handle

    def _member_count(self) -> float:
        """Return the number of daemons, which a reader of the store knows exactly."""
        return float(len(self.feeds.members.domains)) or self.coordinators.largest_fleet()

    def _add_relays(self, handler: RequestHandler) -> None:
        """Forward for other daemons, and let them forward for this one."""
        responder = self.feeds.peer_responder
        self.relays = RelayController(
            str(responder.server.address),
            self._known_daemons,
            lambda: self.feeds.readers,
            self.paths.fraction,
            decode=requests.decode_answer_head,
            encode_relayed=requests.encode_relayed,
            now=self.now,
            rng=self.random,
        )
        self.relay_responder = RelayResponder(
            handler.handle,
            self._forwarding_obstacle,
            lambda: self.stopping,
            self.paths.fraction,
            self._known_daemons,
            self.metrics,
            self.now,
            self.random,
        )
        self.weights.is_badly_placed = self._is_badly_placed
        responder.handlers[relayprotocol.STATUS_PATH] = self.relay_responder.answer
        for prefix in relayprotocol.REQUEST_PREFIXES:
            responder.prefix_handlers[prefix] = self.relay_responder.handle

    def _add_streams(self) -> None:
        """Keep streams at the build that began them, also over their callers' tries."""
        responder, history = self.feeds.peer_responder, BuildHistory()
        self.build_history = history
        self.registry.on_replaced = lambda item: history.record_gone(
            item.service, item.build_id, self.now()
        )
        self.streams = StreamController(
            str(responder.server.address),
            lambda: self.feeds.members.domains,
            self._known_daemons,
            self._stream_valid_s,
            self.now,
        )
        responder.handlers[streamprotocol.FIND_PATH] = self.streams.answer
        responder.prefix_handlers[streamprotocol.RECORD_PATH] = self.streams.handle_records
        self.resumed_streams = ResumedStreams(
            self.streams,
            history,
            self._longest_stream_s,
            self.registry.builds_of,
            lambda inbound, start: self.state.services_since(
                inbound.host, inbound.path, start
            ),
            lambda: self.now() - self.feeds.read_at[Feed.TARGETS],
            self.metrics,
            self.now,
        )

    def _stream_valid_s(self) -> float:
        """Return how long a stream can be taken up after its first event.

        It ends within its time limit, and its caller comes back within its own.
        """
        return 2.0 * self._longest_stream_s()

    def _longest_stream_s(self) -> float:
        desired = self.state.desired
        longest_s = DEFAULT_STREAM_S if desired is None else desired.longest_stream_s
        return min(MAX_STREAM_S, max(MIN_STREAM_S, longest_s))

    def _record_ended_early(self, instance: str) -> None:
        target = self.registry.targets.get(instance)
        if target is not None:
            self.restarts.record_break(target)

    def _is_badly_placed(self, service: str) -> bool:
        """Return whether another daemon should order the engines of a service instead."""
        return self.paths.is_impaired(service) and self.relays.others_reach_more(service)

    def _known_daemons(self) -> list[str]:
        """Return the addresses of the other daemons that this one knows."""
        feeds = self.feeds
        known = (*feeds.poller.pollers, *feeds.peer_responder.pollers, *feeds.readers)
        return [item for item in dict.fromkeys(known) if item != feeds.poller.own_address]

    def _all_known_daemons(self) -> list[str]:
        """Return the addresses of all other daemons, as far as they are known."""
        own = self.feeds.poller.own_address
        known = dict.fromkeys([*self.feeds.members.domains, *self._known_daemons()])
        return [address for address in known if address != own]

    def _forwarding_obstacle(self, service: str) -> str:
        """Return why this daemon cannot forward to a service; empty if it can."""
        if self.paths.is_lost(service):
            return "no path"
        targets = self.registry.of_service(service)
        return "" if any(item.is_ready for item in targets) else "no ready target"

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should open new connections."""
        read_at = self.feeds.read_at
        has_read = all(read_at[feed] != NEVER for feed in (Feed.TARGETS, Feed.CRASHES))
        knows_all = self.state.desired is not None and has_read
        has_room = not self.saturation.is_saturated and not self.account.is_full()
        return knows_all and not self.stopping and has_room

    def _may_read(self, connections: int) -> bool:
        """Return whether a new connection from a caller is read."""
        if self.account.is_full():
            self.saturation.closed_unread += 1
            return False
        return self.saturation.may_read(connections)

    def start(self) -> None:
        """Start the controllers and begin to accept callers."""
        self.feeds.start()
        self.greenlets.spawn(self._join_forever)
        self.subscriptions = [
            self.timers.every(self.weights.period_s, self.weights.step),
            self.timers.every(HOUSEKEEPING_PERIOD_S, self.housekeep),
            self.timers.every(self.coordinators.period_s, self.coordinators.step),
            self.timers.every(self.allowances.period_s, self.allowances.step),
            self.timers.every(self.paths.period_s, self.paths.step),
            self.timers.every(self.silence.period_s, self.silence.step),
            self.timers.every(self.saturation.period_s, self.saturation.step),
            self.timers.every(self.relays.period_s, self.relays.step),
            self.timers.every(self.load_reports.period_s, self.load_reports.step),
        ]
        self.readiness.start()
        self.caller_server.start()

    def close(self) -> None:
        """Stop everything at once without draining, like the exit of the process."""
        for subscription in self.subscriptions:
            subscription.cancel()
        for server in (self.caller_server, self.readiness, self.feeds.peer_responder.server):
            server.close()
        self.greenlets.kill(block=False)

    def _join_forever(self) -> None:
        while True:
            try:
                self.membership.step()
            except Exception:
                # If this loop ended, the daemon would lose its membership permanently.
                logger.exception("Joining the fleet failed unexpectedly.")
            gevent.sleep(self.membership.period_s)

    def housekeep(self) -> None:
        """Remove expired targets and close stale connections."""
        for target in self.registry.expire(self.now()):
            logger.info("Target expired.", target=target.instance)
        self.state.log_staleness(self.now())
        self.feeds.members.expire(self.now())
        self.streams.step()
        if Feed.TARGETS in self.feeds.offsets:
            self.build_history.begin(self.now())
        self.notices.step()
        self.restarts.ask_presumed(self.registry.targets.values())
        self.relay_responder.step()
        self.connection_pool.close_stale()
        stores = [spec.address for spec in self._kv_stores()]
        self.kv_saves.set_stores(stores, self.greenlets.spawn)

    def set_fleet_size(self, daemons: float) -> None:
        """Set the number of daemons that share the targets."""
        self.rules = attrs.evolve(self.rules, daemons=daemons)

    def choose(self, context: RequestContext, now: float) -> Choice | None:
        """Return the next target for a request."""
        targets = self.targets_of(context)
        tried: Collection[str] = context.retry_state.tried
        if not context.retry_state.may_ask_for_permit:
            limited = (item for item in targets if item.rate_limit or item.brittle)
            tried = {*tried, *(item.instance for item in limited)}
        if context.service in self.paths.outages:
            tried = {*tried, *self._unreached(targets, context.route.idempotent)}
        suspected = self.silence.suspected(context.service)
        choice = None
        if suspected:
            choice = self._choose_among(context, targets, {*tried, *suspected}, now)
        return choice or self._choose_among(context, targets, tried, now)

    def _choose_among(
        self,
        context: RequestContext,
        targets: list[Target],
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        if not context.route.prompted:
            return placement.choose_least_loaded(targets, tried, self.rules, now)
        named = self.state.weights.get(context.inbound.model)
        view = self._fleet_view(context, now)
        return placement.choose_engine(
            context.inbound, targets, tried, self.rules, named, now, view
        )

    def _fleet_view(self, context: RequestContext, now: float) -> FleetView:
        """Return what is known of a service's engines beyond this daemon's requests."""
        name, desired = context.service, self.state.desired
        homes = self.engine_homes.setdefault(name, EngineHomes())
        if homes.is_due(now):
            names = [target.instance for target in self.registry.of_service(name)]
            homes.refresh(names, self.engine_loads.figures, now)
        service = None if desired is None else desired.services.get(name)
        idempotent = context.route.idempotent
        return FleetView(
            loads=self.engine_loads,
            homes=homes,
            traits=None if service is None else service.engine,
            route=context.route,
            is_connected=lambda target: self.connection_pool.has_live(target, idempotent),
            role_of=lambda usable: self._engines_of_role(context, usable, homes, now),
        )

    def _engines_of_role(
        self,
        context: RequestContext,
        usable: list[Target],
        homes: EngineHomes,
        now: float,
    ) -> list[Target]:
        """Return the engines that read long prompts, or those for the others."""
        lengths, usual = self.prompt_lengths[context.service], homes.usual
        is_long = lengths.is_long(context.route.name)
        if is_long is None or usual is None:
            return usable
        desired = self.state.desired
        service = None if desired is None else desired.services.get(context.service)
        short_engines = 0.0
        if service is not None and service.engine is not None and service.engine.slots:
            streams = usual.streams * len(self.registry.of_service(context.service))
            short_engines = streams * lengths.short_part(now) / service.engine.slots
        return select_engines(
            sorted(usable, key=lambda item: homes.place(item.instance)),
            self.demand.engines_needed(now) * self.rules.daemons,
            is_long,
            short_engines,
            lambda item: homes.speed(item.instance),
        )

    def targets_of(self, context: RequestContext) -> list[Target]:
        """Return the targets of a request's service that may answer it."""
        targets, source = self.registry.of_service(context.service), context.source
        if source is None:
            return targets
        return [item for item in targets if item.registration.build_id == source.build]

    def _unreached(self, targets: Collection[Target], idempotent: bool) -> list[str]:
        """Return the targets that neither a new nor an open connection reaches."""
        pool, paths = self.connection_pool, self.paths
        return [
            item.instance
            for item in targets
            if not paths.reaches(item) and not pool.has_live(item, idempotent)
        ]

    def expected_wait_s(self, context: RequestContext, choice: Choice) -> float:
        """Return the expected wait for a first token at the chosen target."""
        if not context.route.prompted:
            return 0.0
        engines = self.registry.of_service(context.service)
        figures = self.engine_loads.figures(choice.target.instance)
        return admission.expected_wait_s(choice.target, engines, self.rules.daemons, figures)

    def shedder_of(self, service: str) -> LoadShedder:
        """Return the load shedder of a service, which may refuse prompts."""
        if service not in self.shedders:
            self.shedders[service] = LoadShedder(service, self.now())
        return self.shedders[service]

    def cache_directives(self, context: RequestContext, choice: Choice) -> CacheDirectives:
        """Return the cache instructions for the engine; may query a peer."""
        desired = self.state.desired
        owner = context.workspace_name or self._keyholder(context)
        return cachedirectives.cache_directives(
            context,
            choice,
            self._kv_stores(),
            self.kv_saves.should_save,
            None if desired is None else desired.engine_priorities,
            owner=owner,
            epoch=self.cache_pool.epoch_for(owner),
        )

    def _keyholder(self, context: RequestContext) -> str:
        """Return the workspace that holds a request's key, verified or not.

        A request to a public route counts as nobody's while keys cannot be verified. Its
        cached parts still belong to the workspace, which may be isolated.
        """
        desired = self.state.desired
        if desired is None:
            return ""
        found = desired.workspace_by_key.get(context.inbound.api_key)
        return "" if found is None else found.name

    def _kv_stores(self) -> tuple[KvStoreSpec, ...]:
        desired = self.state.desired
        return () if desired is None else desired.kv_stores

    def _allowance_of(self, workspace: str) -> Allowance | None:
        desired = self.state.desired
        found = None if desired is None else desired.workspace_by_name.get(workspace)
        return None if found is None else found.allowance

    def peer_limits(self) -> CallerLimits:
        """Return the limits of peers' requests, some of which callers have sent."""
        callers, peers = self._limits(), CallerLimits()
        return attrs.evolve(
            peers,
            max_header_bytes=callers.max_header_bytes + peers.max_header_bytes,
            max_body_bytes=max(callers.max_body_bytes, peers.max_body_bytes),
        )

    def _limits(self) -> CallerLimits:
        desired = self.state.desired
        return CallerLimits() if desired is None else desired.limits
