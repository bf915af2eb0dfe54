"""The application object that connects the components of one daemon."""

from __future__ import annotations

import importlib
import secrets
from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import __version__, logs
from agaterail.candidates import CandidateFinder
from agaterail.engines.http import HttpEngine
from agaterail.errors import Outcome
from agaterail.events import EventBus
from agaterail.exchange import Exchange
from agaterail.filters import FilterChain
from agaterail.filters.retry import RetryBudget
from agaterail.homes import HomeMap
from agaterail.hostlists.http import HttpHostList
from agaterail.kvstores.http import HttpKvStore
from agaterail.logstore.http import HttpLogStore
from agaterail.members import MemberView
from agaterail.metrics import MemoryMetrics, StatsdMetrics
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.services.http import HttpService
from agaterail.tables import NO_VERSION, Tables
from agaterail.targets import TargetStateTable
from agaterail.timers import GeventTimerService
from agaterail.transfers import ExportQueue, ImportLimits
from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from agaterail import errors
    from agaterail.callerwatch import CallerWatch
    from agaterail.controllers import Controller
    from agaterail.engines import Engine
    from agaterail.exchange import Reply
    from agaterail.filters import Filter
    from agaterail.hostlists import HostList
    from agaterail.kvstores import KvStore
    from agaterail.logstore import LogStore
    from agaterail.metrics import Metrics
    from agaterail.policies import Policy
    from agaterail.services import Service
    from agaterail.settings import Settings
    from agaterail.tables import Pool
    from agaterail.timers import Subscription, TimerService

logger = logs.get_logger("main")

BUILTIN_MODULES = (
    "agaterail.policies.simple",
    "agaterail.policies.cost",
    "agaterail.filters.identify",
    "agaterail.filters.match",
    "agaterail.filters.prefix",
    "agaterail.filters.limits",
    "agaterail.controllers.claims",
    "agaterail.filters.claim",
    "agaterail.controllers.drain",
    "agaterail.filters.retry",
    "agaterail.filters.hedge",
    "agaterail.filters.choose",
    "agaterail.filters.transfer",
    "agaterail.filters.relay",
    "agaterail.filters.forward",
    "agaterail.controllers.tables",
    "agaterail.controllers.hosts",
    "agaterail.controllers.startup",
    "agaterail.controllers.snapshots",
    "agaterail.controllers.leases",
    "agaterail.controllers.rollout",
    "agaterail.controllers.gauges",
    "agaterail.status",
    "agaterail.controllers.homes",
    "agaterail.controllers.transfers",
)
REQUEST_ID_BYTES = 12
DEFAULT_POLICY = "cost"


class Application:
    """Components of one daemon and the state that they share.

    Attributes
    ----------
    tables
        Tables in force; replaced as a whole, never changed in place.
    ready
        Whether the load balancer should send new connections.
    """

    def __init__(
        self,
        settings: Settings,
        timers: TimerService | None = None,
        log_store: LogStore | None = None,
        host_list: HostList | None = None,
        metrics: Metrics | None = None,
        peers: Peers | None = None,
        modules: Iterable[str] = BUILTIN_MODULES,
    ) -> None:
        self.settings = settings
        self.timers = timers or GeventTimerService()
        self.log_store = log_store or HttpLogStore(settings.log_service)
        self.host_list = host_list or _host_list(settings)
        self.metrics = metrics or _metrics(settings)
        self.peers = peers or _in_memory_peers(settings)
        self.members = MemberView(self.peers.own_address)
        self.events = EventBus()
        self.tables = Tables()
        self.targets = TargetStateTable()
        self.homes = HomeMap(self.peers.own_address)
        self.kv_store = _kv_store(settings)
        self.imports = ImportLimits()
        self.exports = ExportQueue()
        self.candidates = CandidateFinder(self.peers, self.homes, self.timers)
        self.filters: list[Filter] = []
        self.controllers: dict[str, Controller] = {}
        self.policies: dict[str, Policy] = {}
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self.subscriptions: list[Subscription] = []
        self.retry_budget = RetryBudget()
        self.draining = False
        self.in_flight = 0
        for name in (*modules, *settings.extensions):
            importlib.import_module(name).setup(self)
        self.chain = FilterChain(self.filters)

    def add_filter(self, item: Filter) -> None:
        """Register a filter of the request chain."""
        self.filters.append(item)

    def add_controller(self, controller: Controller) -> None:
        """Register a controller under its name."""
        self.controllers[controller.name] = controller

    def add_policy(self, policy: Policy) -> None:
        """Register a policy under its name."""
        self.policies[policy.name] = policy

    @property
    def ready(self) -> bool:
        """Whether tables are loaded and no drain is in progress."""
        return not self.draining and self.tables.through != NO_VERSION

    def start(self) -> None:
        """Start receiving peer messages and start the controllers.

        Raises
        ------
        OSError
            If the peer address cannot be bound.
        """
        self.peers.start()
        for controller in self.controllers.values():
            subscription = self.timers.every(controller.period_s, controller.reconcile)
            self.subscriptions.append(subscription)
        logger.info("Controllers started.", count=len(self.controllers))

    def stop(self) -> None:
        """Stop the controllers and stop receiving peer messages."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.peers.stop()

    def handle(
        self,
        method: str,
        path: str,
        query: str,
        headers: dict[str, str],
        body: bytes,
        watch: CallerWatch | None = None,
    ) -> tuple[Exchange, Result[Reply, errors.Failure]]:
        """Pass one request through the filters."""
        exchange = Exchange(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            method=method,
            path=path,
            query=query,
            headers=headers,
            body=body,
            received_at=self.timers.now(),
            tables=self.tables,
            watch=watch,
        )
        self.in_flight += 1
        exchange.on_finish(lambda outcome: self._on_finish(exchange, outcome))
        try:
            result = self.chain.run(exchange)
        except BaseException:
            # The caller disconnected or a filter raised an exception. Otherwise the
            # filters would never release what they hold for the request, and a drain
            # would never end.
            exchange.finish(Outcome.UNKNOWN)
            raise
        self._record_metrics(exchange, result)
        return exchange, result

    def policy_of(self, pool: Pool) -> Policy:
        """Return the policy named by a pool, or the default policy if it does not exist."""
        return self.policies.get(pool.policy) or self.policies[DEFAULT_POLICY]

    def engine_at(self, address: str) -> Engine:
        """Return the client of an engine, created on first use."""
        engine = self.engines.get(address)
        if engine is None:
            engine = self.engines[address] = HttpEngine(Address.parse(address))
        return engine

    def service_at(self, address: str) -> Service:
        """Return the client of a service, created on first use."""
        service = self.services.get(address)
        if service is None:
            service = self.services[address] = HttpService(Address.parse(address))
        return service

    def status(self) -> dict[str, Any]:
        """Return the status of the daemon and of its controllers."""
        shown = ((name, item.status()) for name, item in self.controllers.items())
        parts = {name: fields for name, fields in shown if fields}
        own = {"version": __version__, "ready": self.ready, "in_flight": self.in_flight}
        return {**own, **parts}

    def _record_metrics(
        self, exchange: Exchange, result: Result[Reply, errors.Failure]
    ) -> None:
        if exchange.attempt:
            self.metrics.count("attempts", exchange.attempt)
        if not isinstance(result, Success):
            self.metrics.count(f"errors.{result.failure().kind.value}")
            return
        self.metrics.timing("first_part", self._elapsed_ms(exchange))
        if exchange.prefix is not None and exchange.decision is not None:
            assert exchange.pool is not None
            hit_tokens = exchange.decision.hit_blocks * exchange.pool.block_tokens
            self.metrics.count("prompt_tokens", exchange.prefix.prompt_tokens)
            self.metrics.count("expected_hit_tokens", hit_tokens)

    def _on_finish(self, exchange: Exchange, outcome: errors.Outcome) -> None:
        self.in_flight -= 1
        self.metrics.count(f"requests.{outcome.value}")
        self.metrics.timing("request", self._elapsed_ms(exchange))

    def _elapsed_ms(self, exchange: Exchange) -> float:
        return (self.timers.now() - exchange.received_at) * 1e3


def _in_memory_peers(settings: Settings) -> Peers:
    network = MemoryNetwork()
    own = str(settings.peer_listen)
    return Peers(
        own,
        MemoryTransport(network, own),
        MemoryTransport(network, own),
        settings.peer_secret,
    )


def _host_list(settings: Settings) -> HostList | None:
    return None if settings.host_list is None else HttpHostList(settings.host_list)


def _kv_store(settings: Settings) -> KvStore | None:
    return None if settings.kv_store is None else HttpKvStore(settings.kv_store)


def _metrics(settings: Settings) -> Metrics:
    return MemoryMetrics() if settings.statsd is None else StatsdMetrics(settings.statsd)
