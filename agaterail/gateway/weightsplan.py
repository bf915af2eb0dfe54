"""Which engines are to load new weights next."""

from __future__ import annotations

import itertools
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from agaterail.gateway.targets import Target

# Loads at once, over all daemons: more of them slow each other down, and what
# is loading serves nobody. Two of five engines leave three to serve.
MAX_LOADING_FRACTION = 0.4
# Most engines that may be out for loads, whatever the hurry: versions that follow each
# other soon would have all of them loading.
MAX_CORDONED_FRACTION = 0.6
# All engines should be done after this part of the time that is allowed, so
# that one failed order can be given again.
ROLLOUT_DEADLINE_FRACTION = 0.85
# An engine that loads is asked how it stands first after this part of the time that
# a load takes, and then so often: its registration says it too, but only with its
# next heartbeat, and until then a loaded engine would stand idle.
FIRST_POLL_FRACTION = 0.9
POLL_INTERVAL_S = 0.15
# Daemons learn of a mark and of an order within so much of each other.
PROPAGATION_DELAY_S = 0.1
# An engine that should have loaded is tried by requests. After so many refusals it
# is left alone until its registration says that it has loaded: the order may have
# been lost, and each refusal is a repeat that all daemons' budget pays for.
MAX_REFUSED_TRIES = 3
# An order without an answer may have been taken or not, or be taken later.
UNANSWERED_POLL_S = 0.6
REFUSED_POLL_S = 0.4
# An engine that is next to load gets nothing new, so that its runs end soon and
# the load begins at once. Should nobody order it, because the lease's holder
# has died, it takes part again after this time.
MAX_CORDON_S = 6.0
HASH_BYTES = 8
# Runs on an engine that is next to load get so long to end; what is left goes on
# under the new weights. Waiting for the longest would keep the engine from everybody
# else, and all others on older weights.
DRAIN_S = 1.0


@attrs.define
class PendingOrder:
    """An order whose effect was not seen yet.

    Attributes
    ----------
    counts
        Whether the engine may be loading, for all that is known.
    """

    target: Target
    model: str
    version: int
    poll_at: float
    may_be_loading: bool = True


@attrs.frozen
class WantedLoad:
    """An engine that should load a version of a model in place of the one held."""

    target: Target
    model: str
    version: int
    held: int


@attrs.frozen(kw_only=True)
class RolloutConditions:
    """What decides how many engines load at once.

    Attributes
    ----------
    outdated_for_s
        Seconds for which the longest outdated engine has been so.
    allowed_s
        Seconds after which older weights must not begin a request.
    demand
        Engines that the offered prompts need when nothing of them is cached,
        as right after a load.
    load_s
        Seconds that an engine needs to load.
    """

    outdated_for_s: float
    allowed_s: float
    demand: float
    load_s: float

    @property
    def unavailable_s(self) -> float:
        """Return the seconds for which an engine is out for a load."""
        return DRAIN_S + self.load_s + PROPAGATION_DELAY_S


def max_concurrent_loads(
    serving: int, outdated_count: int, conditions: RolloutConditions
) -> int:
    """Return how many engines may load at once.

    With all that are to spare a rollout is over soonest. Under load there are none;
    then as few load as are needed to be done in time, since a request on older
    weights is worth more than a late one.
    """
    spare = min(int(serving - conditions.demand), round(serving * MAX_LOADING_FRACTION))
    left_s = max(
        conditions.unavailable_s,
        conditions.allowed_s * ROLLOUT_DEADLINE_FRACTION - conditions.outdated_for_s,
    )
    needed = round(outdated_count * conditions.unavailable_s / left_s)
    return max(1, min(max(spare, needed), max_cordoned(serving)))


def first_poll_s(known_load_s: float | None) -> float:
    """Return after how many seconds an engine that loads is first asked how it stands.

    As long as no load was seen, the engine is asked as often as later on, since the
    first load is what the others are reckoned by.
    """
    if known_load_s is None:
        return POLL_INTERVAL_S
    return max(POLL_INTERVAL_S, known_load_s * FIRST_POLL_FRACTION)


def max_cordoned(serving: int) -> int:
    """Return how many engines may be out for loads, those that wait included."""
    return max(1, int(serving * MAX_CORDONED_FRACTION))


def may_interrupt(target: Target, now: float) -> bool:
    """Tell whether the runs on an engine have had their time to end."""
    return target.cordoned_at is not None and now - target.cordoned_at >= DRAIN_S


def find_outdated(
    engines: Iterable[Target], desired_versions: Mapping[str, int]
) -> list[WantedLoad]:
    """Return the ready engines whose weights are older than the named ones.

    Those that missed the most come first. The order is the same on every
    daemon, without a word between them.
    """
    wanted = []
    for target in engines:
        if not target.registration.ready or target.gone:
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
    """Mark the engines that are next to load.

    Every daemon marks the same ones, so none sends them requests that they
    would refuse.
    """
    wanted = _reachable(find_outdated(engines, desired_versions), now)
    outdated_instances = {load.target.instance for load in wanted}
    for target in engines:
        if target.instance not in outdated_instances:
            target.cordoned_at = None
    # Whatever is marked stays so until it has loaded: it may be loading, though
    # the number that may load at once has become smaller meanwhile.
    cordoned = [load.target for load in wanted if is_cordoned(load.target, now)]
    for target in cordoned:
        target.expected_loaded_at = (target.cordoned_at or now) + conditions.unavailable_s
    serving = _count_serving(engines, now)
    most = max_concurrent_loads(serving, len(wanted), conditions)
    if cordoned and all(may_interrupt(target, now) for target in cordoned):
        # These load by now. The next ones can end their runs meanwhile, if there
        # are engines to spare for that too.
        ahead = min(2 * most, int(serving - conditions.demand), max_cordoned(serving))
        most = max(most, ahead)
    uncordoned = (load.target for load in wanted if load.target.cordoned_at is None)
    for target in itertools.islice(uncordoned, max(0, most - len(cordoned))):
        target.cordoned_at = now
        target.expected_loaded_at = now + conditions.unavailable_s
        target.refusals = 0


def uncordon_all(engines: Iterable[Target]) -> None:
    """Take the marks off all engines, as nobody can order them to load."""
    for target in engines:
        target.cordoned_at = None


def is_cordoned(target: Target, now: float) -> bool:
    """Tell whether an engine is next to load and soon will."""
    return target.cordoned_at is not None and now - target.cordoned_at < MAX_CORDON_S


def should_have_loaded(target: Target, now: float) -> bool:
    """Tell whether an engine that was next to load is worth a try with the new weights.

    An engine refuses what it gets while it loads and what names other weights than
    it has, so a try that comes too soon costs milliseconds.
    """
    if target.cordoned_at is None or target.refusals >= MAX_REFUSED_TRIES:
        return False
    return now >= target.expected_loaded_at


class WeightsPlan:
    """Orders given and the next ones to give."""

    def __init__(self) -> None:
        self.pending: dict[str, PendingOrder] = {}

    def next_loads(
        self,
        engines: Sequence[Target],
        desired_versions: Mapping[str, int],
        conditions: RolloutConditions,
        now: float,
    ) -> list[WantedLoad]:
        """Return the engines to be ordered now."""
        wanted = find_outdated(engines, desired_versions)
        self._drop_completed(wanted)
        wanted = _reachable(wanted, now)
        most = max_concurrent_loads(_count_serving(engines, now), len(wanted), conditions)
        free = most - sum(order.may_be_loading for order in self.pending.values())
        due = [load for load in wanted if self._is_due(load, now)]
        # An engine already counted as loading takes no place of its own.
        repeated = [load for load in due if self._may_be_loading(load)]
        new = [load for load in due if not self._may_be_loading(load)]
        return repeated + new[: max(0, free)]

    def record_order(
        self, load: WantedLoad, now: float, wait_s: float, may_be_loading: bool
    ) -> None:
        """Note an order and when to look again whether it was done."""
        self.pending[load.target.instance] = PendingOrder(
            load.target, load.model, load.version, now + wait_s, may_be_loading
        )

    def clear(self) -> None:
        """Drop what is known, as when another host gives the orders."""
        self.pending.clear()

    def _drop_completed(self, wanted: list[WantedLoad]) -> None:
        outdated_instances = {load.target.instance for load in wanted}
        for instance, order in list(self.pending.items()):
            if instance not in outdated_instances or order.target.gone:
                del self.pending[instance]

    def _is_due(self, load: WantedLoad, now: float) -> bool:
        order = self.pending.get(load.target.instance)
        return order is None or now >= order.poll_at

    def _may_be_loading(self, load: WantedLoad) -> bool:
        order = self.pending.get(load.target.instance)
        return order is not None and order.may_be_loading


def _reachable(wanted: list[WantedLoad], now: float) -> list[WantedLoad]:
    """Put off the engines that fail at present; these neither serve nor load."""
    return [load for load in wanted if not load.target.is_failing(now)]


def _count_serving(engines: Iterable[Target], now: float) -> int:
    return sum(
        target.registration.ready and not target.gone and not target.is_failing(now)
        for target in engines
    )


def _tie_breaker(load: WantedLoad) -> bytes:
    name = f"{load.model} {load.version} {load.target.instance}"
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()
