"""Select the engines that load new weights next."""

from __future__ import annotations

import itertools
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from agaterail.gateway.targets import Target

# Fraction of the engines that may load at once, over all daemons. Concurrent loads slow
# each other down, and a loading engine serves nothing. With five engines, three remain
# in service.
MAX_LOADING_FRACTION = 0.4
# Hard limit on the fraction of engines that are out of service for loads, however late
# the rollout is. Without it, versions in quick succession would take all engines out.
MAX_CORDONED_FRACTION = 0.6
# Engines beyond those that load at once drain ahead only if the others stay below this
# utilization; at full utilization prompts queue.
MAX_UTILIZATION = 0.7
# Engines load only if the requests in flight leave this fraction of the other engines'
# slots free. Requests are placed without knowing the engines' queues, and with fewer free
# slots many of them wait although other engines have some.
FREE_SLOTS_FRACTION = 0.4
# A rollout should complete within this fraction of the allowed time, which leaves time
# to repeat one failed order.
ROLLOUT_DEADLINE_FRACTION = 0.85
# A loading engine is first polled after this fraction of the expected load time and
# then at POLL_INTERVAL_S. Its registration reports the new weights too, but only with
# the next heartbeat, and a loaded engine would stay idle until then.
FIRST_POLL_FRACTION = 0.9
POLL_INTERVAL_S = 0.15
# Upper bound on the delay between daemons in seeing a cordon or an order.
PROPAGATION_DELAY_S = 0.1
# Requests try an engine that should have loaded. After this many refusals it is skipped
# until its registration reports the new weights: the order may have been lost, and
# every refusal causes a retry from the budget that all daemons share.
MAX_REFUSED_TRIES = 3
# An order without an answer may have been accepted, rejected, or still be accepted
# later.
UNANSWERED_POLL_S = 0.6
REFUSED_POLL_S = 0.4
# A cordoned engine gets no new requests, so its running requests finish soon and the
# load can start at once. If nobody orders the load, for example because the lease
# holder has died, the engine returns to service after this time.
MAX_CORDON_S = 6.0
HASH_BYTES = 8
# Requests that are running on a cordoned engine get this long to finish; the rest
# continue on the new weights. Waiting for the longest one would keep the engine out of
# service and delay the rollout to the other engines.
DRAIN_S = 1.0


@attrs.define
class PendingOrder:
    """An order whose effect has not been observed yet.

    Attributes
    ----------
    may_be_loading
        Whether the engine may be loading, as far as is known.
    """

    target: Target
    model: str
    version: int
    poll_at: float
    may_be_loading: bool = True


@attrs.frozen
class WantedLoad:
    """An engine that should replace the version it holds of a model."""

    target: Target
    model: str
    version: int
    held: int


@attrs.frozen(kw_only=True)
class RolloutConditions:
    """Conditions that determine how many engines load at once.

    Attributes
    ----------
    outdated_for_s
        Longest time for which any engine has been outdated, in seconds.
    allowed_s
        Seconds after which outdated weights must not start a request.
    demand
        Engines needed for the offered prompts if nothing is cached, as right
        after a load.
    load_s
        Expected time of a load, in seconds.
    occupied
        Engines whose slots the requests in flight fill.
    """

    outdated_for_s: float
    allowed_s: float
    demand: float
    load_s: float
    occupied: float = 0.0

    @property
    def unavailable_s(self) -> float:
        """Return the seconds for which a load takes an engine out of service."""
        return DRAIN_S + self.load_s + PROPAGATION_DELAY_S

    def spare(self, serving: int, utilization: float = 1.0) -> int:
        """Return how many engines the offered prompts can do without.

        Parameters
        ----------
        utilization
            Fraction of the time for which the other engines may prefill prompts.
        """
        needed = max(self.demand / utilization, self.occupied / (1.0 - FREE_SLOTS_FRACTION))
        return int(serving - needed)


def max_concurrent_loads(
    serving: int, outdated_count: int, conditions: RolloutConditions
) -> int:
    """Return how many engines may load at once.

    Loading on all spare engines completes a rollout soonest. Under full load there
    are no spare engines; then only as many load as are needed to meet the deadline,
    because an answer from outdated weights is better than a late one.
    """
    spare = min(conditions.spare(serving), round(serving * MAX_LOADING_FRACTION))
    left_s = max(
        conditions.unavailable_s,
        conditions.allowed_s * ROLLOUT_DEADLINE_FRACTION - conditions.outdated_for_s,
    )
    needed = round(outdated_count * conditions.unavailable_s / left_s)
    return max(1, min(max(spare, needed), max_cordoned(serving)))


def first_poll_s(known_load_s: float | None) -> float:
    """Return the seconds after which a loading engine is first polled.

    Until a load has been observed, this is the regular poll interval, because the first
    load provides the estimate for all others.
    """
    if known_load_s is None:
        return POLL_INTERVAL_S
    return max(POLL_INTERVAL_S, known_load_s * FIRST_POLL_FRACTION)


def max_cordoned(serving: int) -> int:
    """Return how many engines may be out of service for loads, drains included."""
    return max(1, int(serving * MAX_CORDONED_FRACTION))


def may_interrupt(target: Target, now: float) -> bool:
    """Return whether the drain time of an engine has elapsed."""
    return target.cordoned_at is not None and now - target.cordoned_at >= DRAIN_S


def find_outdated(
    engines: Iterable[Target], desired_versions: Mapping[str, int]
) -> list[WantedLoad]:
    """Return the ready engines whose weights are older than the desired version.

    Engines that hold the oldest version come first. The order is the same on every
    daemon without coordination.
    """
    wanted = []
    for target in engines:
        if not target.is_ready:
            continue
        for model, version in desired_versions.items():
            held = target.weights_of(model)
            if held is not None and held < version:
                wanted.append(WantedLoad(target, model, version, held))
    return sorted(wanted, key=lambda load: (load.held, _tie_breaker(load)))


def cordon(
    engines: Sequence[Target],
    desired_versions: Mapping[str, int],
    conditions: RolloutConditions,
    now: float,
) -> None:
    """Cordon the engines that load next.

    Every daemon selects the same engines, so none sends them requests that they
    would refuse.
    """
    wanted = _reachable(find_outdated(engines, desired_versions), now)
    outdated_instances = {load.target.instance for load in wanted}
    for target in engines:
        if target.instance not in outdated_instances:
            target.cordoned_at = None
    # An engine stays cordoned until it has loaded, even if the number of concurrent
    # loads has shrunk meanwhile: it may already be loading.
    cordoned = [load.target for load in wanted if is_cordoned(load.target, now)]
    for target in cordoned:
        target.expected_loaded_at = (target.cordoned_at or now) + conditions.unavailable_s
    serving = _count_serving(engines, now)
    most = max_concurrent_loads(serving, len(wanted), conditions)
    if cordoned and all(may_interrupt(target, now) for target in cordoned):
        # All cordoned engines are loading by now. The next ones can drain meanwhile if
        # there are enough spare engines.
        ahead = min(2 * most, conditions.spare(serving, MAX_UTILIZATION))
        ahead = min(ahead, max_cordoned(serving))
        most = max(most, ahead)
    uncordoned = (load.target for load in wanted if load.target.cordoned_at is None)
    for target in itertools.islice(uncordoned, max(0, most - len(cordoned))):
        start_cordon(target, conditions, now)


def start_cordon(target: Target, conditions: RolloutConditions, now: float) -> None:
    """Cordon one engine from now on."""
    target.cordoned_at = now
    target.expected_loaded_at = now + conditions.unavailable_s
    target.refusals = 0


def uncordon_all(engines: Iterable[Target]) -> None:
    """Uncordon all engines, for example while nobody can order them to load."""
    for target in engines:
        target.cordoned_at = None


def is_cordoned(target: Target, now: float) -> bool:
    """Return whether an engine is cordoned and the cordon has not expired."""
    return target.cordoned_at is not None and now - target.cordoned_at < MAX_CORDON_S


def should_have_loaded(target: Target, now: float) -> bool:
    """Return whether a cordoned engine is worth trying with the new weights.

    While it loads, an engine refuses all requests, and later those that ask for weights
    it does not have. A try that comes too early therefore costs only milliseconds.
    """
    if target.cordoned_at is None or target.refusals >= MAX_REFUSED_TRIES:
        return False
    return now >= target.expected_loaded_at


class WeightsPlan:
    """Pending orders and the selection of the next ones."""

    def __init__(self) -> None:
        self.pending: dict[str, PendingOrder] = {}

    def next_loads(
        self,
        engines: Sequence[Target],
        desired_versions: Mapping[str, int],
        conditions: RolloutConditions,
        now: float,
        may_order: Callable[[str, float], bool] = lambda _instance, _now: True,
    ) -> list[WantedLoad]:
        """Return the loads to order now.

        Parameters
        ----------
        may_order
            Whether an engine may get its first order at this time. The order of engines
            changes with the version, so that the first ones are not always those that may.
        """
        wanted = find_outdated(engines, desired_versions)
        self._drop_completed(wanted)
        wanted = _reachable(wanted, now)
        most = max_concurrent_loads(_count_serving(engines, now), len(wanted), conditions)
        free = most - sum(order.may_be_loading for order in self.pending.values())
        due = [load for load in wanted if self._is_due(load, now)]
        # An engine that already counts as loading needs no additional slot.
        repeated = [load for load in due if self._may_be_loading(load)]
        new = [
            load
            for load in due
            if not self._may_be_loading(load) and may_order(load.target.instance, now)
        ]
        return repeated + new[: max(0, free)]

    def record_order(
        self, load: WantedLoad, now: float, wait_s: float, may_be_loading: bool
    ) -> None:
        """Record an order and when to poll the engine for its effect."""
        self.pending[load.target.instance] = PendingOrder(
            load.target, load.model, load.version, now + wait_s, may_be_loading
        )

    def clear(self) -> None:
        """Discard all pending orders, for example when the lease changes hands."""
        self.pending.clear()

    def _drop_completed(self, wanted: list[WantedLoad]) -> None:
        outdated_instances = {load.target.instance for load in wanted}
        for instance, order in list(self.pending.items()):
            held = order.target.weights_of(order.model)
            # A completed load of a former version would otherwise occupy a slot.
            completed = held is not None and held >= order.version
            if instance not in outdated_instances or completed or order.target.gone:
                del self.pending[instance]

    def _is_due(self, load: WantedLoad, now: float) -> bool:
        order = self.pending.get(load.target.instance)
        return order is None or now >= order.poll_at

    def _may_be_loading(self, load: WantedLoad) -> bool:
        order = self.pending.get(load.target.instance)
        return order is not None and order.may_be_loading


def _reachable(wanted: list[WantedLoad], now: float) -> list[WantedLoad]:
    """Leave out the engines that are failing, which neither serve nor load."""
    return [load for load in wanted if not load.target.is_failing(now)]


def _count_serving(engines: Iterable[Target], now: float) -> int:
    return sum(target.is_ready and not target.is_failing(now) for target in engines)


def _tie_breaker(load: WantedLoad) -> bytes:
    name = f"{load.model} {load.version} {load.target.instance}"
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()
