"""Controller that brings the engines to the desired weights versions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.controlstore import NEVER, EngineLoad, LeaseEntry, StoreErrorKind
from agaterail.gateway.enginecontrol import InFlightPolicy, OrderOutcome, WeightsOrder
from agaterail.gateway.loadannouncer import (
    LoadAnnouncer,
    ReceivedAnnouncement,
    cordon_announced,
)
from agaterail.gateway.loadtime import LoadTime
from agaterail.gateway.membership import FIRST_RANK
from agaterail.gateway.orderlease import OrderLease
from agaterail.gateway.versionhistory import record_ages
from agaterail.gateway.weightsplan import (
    POLL_INTERVAL_S,
    REFUSED_POLL_S,
    UNANSWERED_POLL_S,
    RolloutConditions,
    WantedLoad,
    WeightsPlan,
    cordon,
    find_outdated,
    first_poll_s,
    may_interrupt,
    uncordon_all,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.targets import Target

logger = logs.get_logger("weights")

PERIOD_S = 0.1
# Daemons that are next in line take the lease when loads are wanted and nobody has held it
# for this long per place. The first in line may be cut off, and the platform reassigns its
# place only after several seconds.
TAKEOVER_DELAY_S = 2.0
# A host that reaches fewer engines than others leads again when none of these, which may
# all be far down the line, has taken the lease for this long.
MAX_UNLED_S = 8.0


@attrs.frozen
class AcceptedOrder:
    """An order that an engine accepted and whose effect has not been observed yet."""

    load: WantedLoad
    sent_at: float


class WeightsController:
    """Orders engines to load weights while this daemon leads the fleet and holds the lease.

    Attributes
    ----------
    announced
        Loads in the newest record of another host; None if it announces none.
    unled_since
        Time since which loads are wanted and nobody holds the lease; None if neither.
    is_badly_placed
        Returns whether another host reaches more engines of a service than this one.
    yields_from
        Time from which the lease is left to such a host.
    """

    period_s = PERIOD_S

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        bounds = daemon.settings.bounds
        self.lease = OrderLease(daemon.settings.host, daemon.boot, gap_s=bounds.lease_s)
        self.plan = WeightsPlan()
        self.load_time = LoadTime(bounds.version_s)
        self.announcer = LoadAnnouncer()
        self.announced: ReceivedAnnouncement | None = None
        self.accepted_orders: dict[str, AcceptedOrder] = {}
        self.lease_read = False
        self.unled_since: float | None = None
        self.calls_in_flight: set[str] = set()
        self.store_retry_at = 0.0
        self.time_of_day = time.time
        self.is_badly_placed: Callable[[str], bool] = lambda _service: False
        self.yields_from = float("-inf")

    def step(self) -> None:
        """Send the orders that are due, if this daemon is the leader or lease holder."""
        now = self.daemon.now()
        engines = self._engines()
        desired_versions = {
            model: item.newest for model, item in self.daemon.state.weights.items()
        }
        self._measure_loads(now)
        self._record_occupied(now)
        wanted = find_outdated(engines, desired_versions)
        conditions = self._conditions(wanted, now)
        self._set_cordons(engines, desired_versions, conditions, now)
        if wanted and self.lease.remaining_s(now) > 0.0 and self._yields(engines, now):
            logger.info("Lease given up to a host that reaches more engines.")
            self.release()
        leads = self._may_lead(engines, bool(wanted), now) and not self.daemon.stopping
        holds = self.lease.remaining_s(now) > 0.0 and not self.daemon.stopping
        if leads or holds:
            self.announcer.update(wanted, now)
        if holds and self.announcer.is_due(now):
            self._announce(now)
        if not (leads or holds) or not wanted:
            return
        if self.lease.needs_renewal(now) and not self._acquire(now):
            return
        for load in self.plan.next_loads(
            engines, desired_versions, conditions, now, self.announcer.may_order
        ):
            if load.target.instance not in self.calls_in_flight:
                self.calls_in_flight.add(load.target.instance)
                self.plan.record_order(load, now, REFUSED_POLL_S, may_be_loading=True)
                gevent.spawn(self._order, load)

    def _yields(self, engines: list[Target], now: float) -> bool:
        """Return whether to leave the lease to a host that reaches more engines."""
        if self.unled_since is not None and now - self.unled_since > MAX_UNLED_S:
            self.yields_from = now + MAX_UNLED_S
        services = {item.registration.service for item in engines}
        return now >= self.yields_from and any(map(self.is_badly_placed, services))

    def _may_lead(self, engines: list[Target], has_wanted: bool, now: float) -> bool:
        """Return whether this daemon may take the lease now."""
        if not has_wanted or self.lease.is_held(now):
            self.unled_since = None
        elif self.unled_since is None:
            self.unled_since = now
        rank = self.daemon.membership.rank
        if rank is None or self._yields(engines, now):
            return False
        if rank == FIRST_RANK:
            return True
        if self.unled_since is None or self.daemon.feeds.store_backoff.in_outage:
            return False
        return now - self.unled_since >= rank * TAKEOVER_DELAY_S

    def _set_cordons(
        self,
        engines: list[Target],
        desired_versions: dict[str, int],
        conditions: RolloutConditions,
        now: float,
    ) -> None:
        """Cordon the engines that load next, by this daemon's plan or the holder's."""
        announced = None if self.lease.fencing is not None else self.announced
        is_released = announced is not None and announced.is_release
        if not self.lease.is_held(now) and not is_released:
            # While no host holds the lease, nobody can order a load, and a cordon would
            # only reduce capacity.
            uncordon_all(engines)
        elif announced is None:
            cordon(engines, desired_versions, conditions, now)
        else:
            targets = {target.instance: target for target in engines}
            cordon_announced(targets, announced.planned, conditions, now)

    def _conditions(self, wanted: list[WantedLoad], now: float) -> RolloutConditions:
        weights = self.daemon.state.weights
        ages = [weights[load.model].outdated_for_s(load.held, now) or 0.0 for load in wanted]
        return RolloutConditions(
            outdated_for_s=max(ages, default=0.0),
            allowed_s=self.daemon.settings.bounds.version_s,
            demand=self.daemon.demand.engines_needed(now) * self.daemon.rules.daemons,
            load_s=self.load_time.load_s,
            occupied=self.daemon.demand.occupied * self.daemon.rules.daemons,
        )

    def _record_occupied(self, now: float) -> None:
        """Sample how many engines' slots this daemon's requests fill."""
        desired = self.daemon.state.desired
        occupied = 0.0
        for service in () if desired is None else desired.services.values():
            if service.engine is not None and service.engine.slots:
                targets = self.daemon.registry.of_service(service.name)
                in_flight = sum(target.in_flight for target in targets)
                occupied += in_flight / service.engine.slots
        self.daemon.demand.record_occupied(occupied, now)

    def _measure_loads(self, now: float) -> None:
        for instance, order in list(self.accepted_orders.items()):
            held = order.load.target.weights_of(order.load.model)
            if held is not None and held >= order.load.version:
                self.load_time.record(now - order.sent_at)
                self.announcer.record_loaded(EngineLoad(instance, order.load.model, held), now)
                del self.accepted_orders[instance]
            elif order.load.target.gone:
                del self.accepted_orders[instance]

    def _engines(self) -> list[Target]:
        desired = self.daemon.state.desired
        if desired is None:
            return []
        return [
            target
            for service in desired.services.values()
            if service.engine is not None
            for target in self.daemon.registry.of_service(service.name)
        ]

    def on_lease(
        self, newest: LeaseEntry | None, end: int, now: float, written_after: float = NEVER
    ) -> None:
        """Process the newest record from a read of the lease's log.

        Parameters
        ----------
        written_after
            Time at which the record is known not to have been written yet.
        """
        if newest is not None and newest.boot != self.lease.boot and newest.load_s:
            self.load_time.adopt(newest.load_s)
        if newest is not None and newest.boot != self.lease.boot and newest.naming:
            time_of_day = self.time_of_day()
            self.daemon.state.apply_version_ages(
                newest.naming, now, time_of_day, written_after
            )
        if newest is not None and newest.boot != self.lease.boot:
            self._apply_announcement(newest, end, now)
        if newest is not None or not self.lease_read:
            self.lease.observe(newest, end, now)
        elif self.lease.end is None or end > self.lease.end:
            self.lease.skip_records(end, now)
        self.lease_read = True

    def _apply_announcement(self, newest: LeaseEntry, end: int, now: float) -> None:
        """Take over the loads that another host announces."""
        former = self.announced
        if newest.planned is None:
            self.announced = None
        elif former is None or former.end != end:
            self.announced = ReceivedAnnouncement(newest, end, now)
        for load in newest.loaded:
            target = self.daemon.registry.targets.get(load.instance)
            if target is not None:
                target.record_weights(load.model, load.version)
        planned = newest.planned or ()
        announces = newest.planned is not None or former is not None
        if announces and (former is None or former.planned != planned or newest.loaded):
            logger.info(
                "Loads announced.",
                holder=newest.host,
                end=end,
                planned=len(planned),
                loaded=len(newest.loaded),
            )

    def plan_fields(self, now: float) -> dict[str, object]:
        """Return log fields about the announced loads that placement follows."""
        if self.announced is None or not self.announced.planned:
            return {}
        return {
            "plan": self.announced.end,
            "plan_age_s": round(now - self.announced.received_at, 3),
            "plan_loads": len(self.announced.planned),
        }

    def release(self) -> None:
        """Release the lease so that another host can take over quickly."""
        now = self.daemon.now()
        at = self.lease.end
        entry = self.lease.release(now)
        if entry is None or at is None:
            return
        self.announcer.keep_ordered(self.accepted_orders)
        # The next holder may have just started, and then this record is all it has read.
        entry = self._with_observations(entry, now)
        answer = self.daemon.store.append_lease(entry, at)
        logger.info("Lease released.", at=at, done=isinstance(answer, Success))

    def _acquire(self, now: float) -> bool:
        """Append a lease record and return whether the lease is held now."""
        if now < self.store_retry_at:
            return False
        if not self.lease_read:
            return False
        wait_s = self.lease.wait_s(now)
        if wait_s > 0.0 or self.lease.end is None:
            self.store_retry_at = now + min(1.0, max(REFUSED_POLL_S, wait_s))
            return False
        if not self.lease.needs_renewal(now):
            return True
        return self._append(self.lease.end, now)

    def _announce(self, now: float) -> None:
        """Renew the lease ahead of time to announce changed loads."""
        if now >= self.store_retry_at and self.lease.end is not None:
            self._append(self.lease.end, now)

    def _append(self, at: int, now: float) -> bool:
        """Append a lease record and return whether the lease is held now."""
        self.lease.begin_append(at, now)
        entry = self._with_observations(LeaseEntry(self.lease.host, self.lease.boot), now)
        answer = self.daemon.store.append_lease(entry, at)
        if isinstance(answer, Success):
            renewed = self.lease.fencing is not None
            self.lease.complete_append(answer.unwrap())
            self.announcer.record_announced(self.daemon.now())
            if not renewed:
                self.plan.clear()
                self.announcer.clear()
                logger.info("Lease acquired.", fencing=self.lease.fencing)
            return self.lease.remaining_s(self.daemon.now()) > 0.0
        kind = answer.failure().kind
        logger.info("Lease not acquired.", reason=kind.value, at=at)
        if kind is StoreErrorKind.CONFLICT:
            self.lease.mark_lost()
            self.announcer.clear()
        elif self.lease.remaining_s(self.daemon.now()) <= 0.0:
            self.lease.fencing = None
        self.store_retry_at = self.daemon.now() + REFUSED_POLL_S
        return False

    def _with_observations(self, entry: LeaseEntry, now: float) -> LeaseEntry:
        """Return the record with the load time and ages for processes that start later."""
        naming = record_ages(
            self.daemon.state.weights,
            now,
            self.time_of_day(),
            self.daemon.freshness.age_s(now),
        )
        return attrs.evolve(
            entry,
            load_s=self.load_time.known_s,
            naming=naming,
            planned=tuple(sorted(self.announcer.planned, key=attrs.astuple)),
            loaded=tuple(sorted(self.announcer.loaded(), key=attrs.astuple)),
        )

    def _order(self, load: WantedLoad) -> None:
        try:
            self._check_and_order(load)
        finally:
            self.calls_in_flight.discard(load.target.instance)

    def _check_and_order(self, load: WantedLoad) -> None:
        target, plan = load.target, self.plan
        found = self.daemon.engine_control.report(target)
        now = self.daemon.now()
        if not isinstance(found, Success):
            plan.record_order(load, now, UNANSWERED_POLL_S, may_be_loading=False)
            logger.info(
                "Could not read the engine report.",
                target=target.instance,
                reason=found.failure(),
            )
            return
        report = found.unwrap()
        held = report.weights.get(load.model)
        if held is not None:
            target.record_weights(load.model, held)
        if report.loading:
            plan.record_order(load, now, POLL_INTERVAL_S, may_be_loading=True)
            return
        if held is not None and held >= load.version:
            return
        unfinished = report.running + report.waiting
        if unfinished and not may_interrupt(target, now):
            plan.record_order(load, now, POLL_INTERVAL_S, may_be_loading=True)
            return
        fencing = self.lease.fencing
        if fencing is None or self.lease.remaining_s(now) <= 0.0:
            return
        plan.record_order(load, now, first_poll_s(self.load_time.known_s), may_be_loading=True)
        self.lease.ordered_at = now
        outcome = self.daemon.engine_control.order(
            target,
            WeightsOrder(
                model=load.model,
                version=load.version,
                host=self.lease.host,
                fencing=fencing,
                after_orders=report.orders_accepted,
                in_flight_policy=InFlightPolicy.CONTINUE
                if unfinished
                else InFlightPolicy.FINISH_FIRST,
            ),
        )
        self._handle_outcome(load, outcome, fencing, now)

    def _handle_outcome(
        self, load: WantedLoad, outcome: OrderOutcome, fencing: int, sent_at: float
    ) -> None:
        now = self.daemon.now()
        logger.info(
            "Weights order sent.",
            target=load.target.instance,
            model=load.model,
            version=load.version,
            fencing=fencing,
            outcome=outcome.value,
            load_s=round(self.load_time.load_s, 3),
        )
        if outcome is OrderOutcome.ACCEPTED:
            self.accepted_orders[load.target.instance] = AcceptedOrder(load, sent_at)
        if outcome is OrderOutcome.ALREADY_LOADED:
            load.target.record_weights(load.model, load.version)
        elif outcome is OrderOutcome.FENCED:
            self.lease.mark_lost()
            self.plan.clear()
            self.announcer.clear()
        elif outcome is OrderOutcome.UNANSWERED:
            self.plan.record_order(load, now, UNANSWERED_POLL_S, may_be_loading=True)
        elif outcome is not OrderOutcome.ACCEPTED:
            self.plan.record_order(load, now, REFUSED_POLL_S, may_be_loading=False)
