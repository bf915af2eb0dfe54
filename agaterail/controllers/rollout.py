"""Send the orders of rollouts to engines while this daemon holds the lease."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING, Any

import attrs
from gevent.pool import Pool as GreenletPool
from returns.result import Success

from agaterail import codec, logs
from agaterail.controllers import Controller
from agaterail.controllers.leases import LeasesController
from agaterail.engines import EngineOrder, EngineRequest, OrderAnswer
from agaterail.prefix import Scope
from agaterail.records import ROLLOUT_STREAM
from agaterail.rollout import (
    DesiredState,
    EngineView,
    Revision,
    Step,
    StepKind,
    plan_steps,
    update_view,
)
from agaterail.tables import NO_VERSION, Pool, PoolKind, Versioned

if TYPE_CHECKING:
    from agaterail.application import Application

logger = logs.get_logger("rollout")

ORDER_TIMEOUT_S = 2.0
SETTLED_READS_PER_STEP = 8
MAX_PARALLEL_READS = 8
PROBE_DEADLINE_MS = 5000
PROBE_WORKSPACE = "agaterail-probe"
PROBE_PREFIX = "probe-"
ID_BYTES = 8
HTTP_OK = 200


@attrs.frozen(kw_only=True)
class RolloutHalted:
    """Log record of a failed revision, which stops the next lease holder from retrying it."""

    revision: Revision
    reason: str
    fencing: int


class RolloutController(Controller):
    """Reads engine states, plans the next steps and sends orders.

    Every order states the full desired state and carries the fencing number. An
    engine that ignores fencing numbers may accept a stale order from a former
    holder that was paused between its lease check and the send. The next read
    then finds the engine in the wrong state, and the order is sent again.
    """

    name = "rollout"
    period_s = 0.5

    def __init__(self, app: Application, leases: LeasesController) -> None:
        self.app = app
        self.leases = leases
        self.engines: dict[str, EngineView] = {}
        self.halted: dict[Revision, str] = {}
        self.fencing = NO_VERSION
        self.orders_allowed_at = 0.0
        self.halts_offset = 0
        self.next_settled = 0

    def reconcile(self) -> None:
        """Advance the rollouts by one step, or stop leading without the lease."""
        now = self.app.timers.now()
        if self.leases.keeper.remaining_s(now) <= 0.0:
            self.fencing = NO_VERSION
            return
        if self.fencing != self.leases.keeper.view.fencing:
            self._take_over(now)
        if not self._read_halts():
            return
        pools = self._rollout_pools()
        self._read_states(pools)
        if self.app.timers.now() < self.orders_allowed_at:
            return
        for step in plan_steps(
            pools, self.engines, frozenset(self.halted), self.app.timers.now()
        ):
            if not self._execute(step):
                return

    def status(self) -> dict[str, Any]:
        """Return the halted revisions, the busy engines and whether this daemon leads."""
        now = self.app.timers.now()
        halted = {f"{item.pool}@{item.version}": why for item, why in self.halted.items()}
        busy = [address for address, view in self.engines.items() if view.may_be_loading(now)]
        return {"halted": halted, "busy": busy, "leading": self.fencing != NO_VERSION}

    def _take_over(self, now: float) -> None:
        # The orders of the former holder are unknown here. All engine states
        # are read first, and orders wait until the former holder's last order
        # in flight has timed out, so that it cannot arrive after the first one
        # of this holder.
        self.engines = {}
        self.fencing = self.leases.keeper.view.fencing
        self.orders_allowed_at = now + ORDER_TIMEOUT_S
        logger.info("Took over the rollouts.", fencing=self.fencing)

    def _rollout_pools(self) -> list[Versioned[Pool]]:
        now = self.app.timers.now()
        pools = [
            versioned
            for versioned in self.app.tables.pools.values()
            if versioned.row.kind is PoolKind.ENGINE and versioned.row.weights_version
        ]
        for versioned in pools:
            for entry in versioned.row.targets:
                self.engines.setdefault(entry.address, EngineView(unread_since=now))
        return pools

    def _read_states(self, pools: list[Versioned[Pool]]) -> None:
        readers = GreenletPool(MAX_PARALLEL_READS)
        due = self._engines_to_read(pools)
        reads = readers.map(lambda address: self.app.engine_at(address).state(), due)
        for address, read in zip(due, reads, strict=True):
            view = self.engines[address]
            update_view(view, read.value_or(None), self.app.timers.now())

    def _engines_to_read(self, pools: list[Versioned[Pool]]) -> list[str]:
        # Engines that are not verified in the desired state are read at every
        # step. The others are read round-robin, which detects a stale order
        # without 600 reads per step.
        unsettled: list[str] = []
        settled: list[str] = []
        for versioned in pools:
            desired = DesiredState.of(versioned.row)
            for entry in versioned.row.targets:
                verified = self.engines[entry.address].verified(desired)
                (settled if verified else unsettled).append(entry.address)
        count = min(SETTLED_READS_PER_STEP, len(settled))
        start = self.next_settled
        self.next_settled += count
        return unsettled + [settled[(start + step) % len(settled)] for step in range(count)]

    def _execute(self, step: Step) -> bool:
        if self.leases.keeper.remaining_s(self.app.timers.now()) <= ORDER_TIMEOUT_S:
            # An order that is still in flight when the lease expires could
            # arrive after orders of the next holder.
            return False
        if step.kind is StepKind.ORDER:
            self._send_order(step)
        elif step.kind is StepKind.PROBE:
            self._probe(step)
        else:
            self._halt(step.revision, step.reason)
        return True

    def _send_order(self, step: Step) -> None:
        assert step.desired is not None
        view = self.engines[step.address]
        view.ordered = step.desired
        view.ordered_at = self.app.timers.now()
        view.ordered_for = step.revision
        order = EngineOrder(
            order_id=secrets.token_hex(ID_BYTES),
            fencing=self.fencing,
            model=step.desired.model,
            weights_version=step.desired.weights_version,
            adapters=step.desired.adapters,
            role=step.desired.role,
        )
        answer = self.app.engine_at(step.address).order(order)
        logger.info(
            "Sent an order to an engine.",
            target=step.address,
            pool=step.revision.pool,
            version=step.desired.weights_version,
            fencing=self.fencing,
            answer=answer.map(lambda item: item.value).value_or("none"),
        )
        if answer == Success(OrderAnswer.FAILED):
            view.ordered = None
            view.failed = step.revision
        elif answer == Success(OrderAnswer.STALE):
            view.ordered = None
            self.fencing = NO_VERSION

    def _probe(self, step: Step) -> None:
        assert step.desired is not None
        view = self.engines[step.address]
        assert view.state is not None
        if self._probe_succeeds(step.address, step.desired):
            view.probed = (view.state.incarnation, step.desired)
            logger.info("Engine passed the probe.", target=step.address)
        else:
            view.failed = step.revision
            logger.warning("Engine failed the probe.", target=step.address)

    def _probe_succeeds(self, address: str, desired: DesiredState) -> bool:
        request_id = f"{PROBE_PREFIX}{secrets.token_hex(ID_BYTES)}"
        body = {
            "model": desired.model,
            "messages": [{"role": "user", "content": "ping"}],
            "max_tokens": 1,
        }
        request = EngineRequest(
            request_id=request_id,
            body=json.dumps(body).encode(),
            cache_salt=Scope(PROBE_WORKSPACE, desired.model, "", desired.weights_version).salt,
            priority=0,
            deadline_ms=PROBE_DEADLINE_MS,
            stream=False,
        )
        opened = self.app.engine_at(address).open(request)
        if not isinstance(opened, Success):
            return False
        reply = opened.unwrap()
        try:
            while reply.read_available():
                pass
        except OSError:
            reply.discard()
            return False
        matches = reply.weights_version == desired.weights_version
        return reply.status == HTTP_OK and reply.request_id == request_id and matches

    def _halt(self, revision: Revision, reason: str) -> None:
        self.halted[revision] = reason
        record = RolloutHalted(revision=revision, reason=reason, fencing=self.fencing)
        self.app.log_store.append(ROLLOUT_STREAM, codec.encode(record))
        logger.warning("Halted a rollout.", pool=revision.pool, reason=reason)

    def _read_halts(self) -> bool:
        read = self.app.log_store.read(ROLLOUT_STREAM, self.halts_offset)
        if not isinstance(read, Success):
            return False
        log_slice = read.unwrap()
        for record in log_slice.records:
            decoded = codec.decode(record.data, RolloutHalted)
            if isinstance(decoded, Success):
                halted: RolloutHalted = decoded.unwrap()
                self.halted.setdefault(halted.revision, halted.reason)
        self.halts_offset = (
            log_slice.records[-1].offset + 1 if log_slice.records else log_slice.end
        )
        return self.halts_offset >= log_slice.end


def setup(app: Application) -> None:
    """Register the controller."""
    leases = app.controllers["leases"]
    assert isinstance(leases, LeasesController)
    app.add_controller(RolloutController(app, leases))
