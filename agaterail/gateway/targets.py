"""Registered targets and this daemon's observations of each."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.ratelimits import TargetPermits
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.decisions.ratelimits import RateLimit

# Exponential backoff of a failing target. 250 ms is half of the shortest objective of a
# stream: one request soon retries the target, and the others use different ones
# meanwhile.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# A target that refuses requests because it is full or changing its weights recovers
# within tens of milliseconds to 2 s, so its backoff starts shorter.
INITIAL_REFUSAL_BACKOFF_S = 0.1
MAX_REFUSAL_BACKOFF_S = 0.8
# Targets register their start at once. In an outage of the store, which shows in the age of
# the former reading, they cannot.
REGISTRATION_DELAY_S = 0.5
# A target that leaves ends within seconds. One that still runs after this time was started
# anew after it had said so.
PRESUMED_LEAVING_S = 15.0
MAX_LEFT = 1024
MAX_DEPARTED = 256
# Beginnings of the ids of builds.
NAMED_BUILD = "version:"
UNNAMED_BUILD = "start:"


def unnamed_build(instance: str, born: int) -> str:
    """Return the id of a build of which only one start of a target is known."""
    return f"{UNNAMED_BUILD}{instance}/{born}"


@attrs.frozen(kw_only=True)
class Registration:
    """A target's own registration in the platform's store.

    Attributes
    ----------
    born
        Start time as a Unix timestamp in milliseconds. It differs after a restart under
        the same id.
    weights
        Weights version of each model that the target serves.
    build
        Version of the target's software; empty if it names none.
    """

    instance: str
    service: str
    address: str
    domain: str
    ready: bool
    slots: int = 0
    born: int = 0
    weights: dict[str, int] = attrs.field(factory=dict)
    build: str = ""

    @property
    def build_id(self) -> str:
        """Return an id that is equal for targets whose events fit together.

        A target that names no build shares it with no other, nor with its next start.
        """
        if self.build:
            return f"{NAMED_BUILD}{self.build}"
        return unnamed_build(self.instance, self.born)


@attrs.define(kw_only=True, eq=False)
class Target:
    """A target with this daemon's own observations.

    Attributes
    ----------
    in_flight
        This daemon's requests in flight at the target.
    prefill_tokens
        Prompt tokens sent to the target whose first event has not arrived.
    kv_tokens
        Tokens of prompts and outputs of the prompts in flight at the target.
    busy_since
        Time since which requests have been in flight there.
    sending
        Requests in flight that wait for their callers to take what has arrived.
    steps, sum_log_step_s
        Samples of the time of a decode step since they were last reported, and the sum
        of the logarithms of these times in seconds.
    cordoned_at
        Time at which it was cordoned to load weights; None if it is not cordoned.
    expected_loaded_at
        Time at which a cordoned target should have loaded.
    heard_at
        Time at which bytes last arrived from it on any connection.
    data_at
        Time at which a part of an answer last arrived from it. It may accept connections
        although it answers nothing.
    rate_limit
        Limit that it names in its answers; None if it names none.
    brittle
        Refusals per second that it bears from all daemons; None if it names no number.
    leaving
        Whether it said in an answer that it leaves. This holds until it starts anew.
    leaving_unconfirmed
        Whether a later start than the registered one may have said so.
    leaving_at
        Time at which it said so last.
    presumed_until
        Time until which it is presumed to leave, as its former start or this one said so;
        None if it is not presumed, infinite until the time is set.
    rest_until
        Time until which it wants no requests of this daemon.
    permits
        Permits to send to it while it names a limit.
    unconfirmed_since
        Time of the first break of a connection after which the target may have started
        anew; None if it surely has not.
    broken_at
        Time of the latest break of a connection.
    confirmed_at
        Time at which it last ran for sure since the start that it registered.
    replaced
        Whether it has registered a later start.
    reported_born
        Later start that it reported and has not registered yet; 0 if there is none.
    lapsed_at
        Time at which its registration was found missing shortly after an outage of the
        store; None if it is present.
    """

    registration: Registration
    in_flight: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    busy_since: float = float("-inf")
    sending: int = 0
    steps: int = 0
    sum_log_step_s: float = 0.0
    failures: int = 0
    refusals: int = 0
    backoff_until: float = 0.0
    lapsed_at: float | None = None
    cordoned_at: float | None = None
    expected_loaded_at: float = float("inf")
    heard_at: float = float("-inf")
    data_at: float = float("-inf")
    rate_limit: RateLimit | None = None
    brittle: RateLimit | None = None
    leaving: bool = False
    leaving_unconfirmed: bool = False
    leaving_at: float = float("-inf")
    presumed_until: float | None = None
    rest_until: float = float("-inf")
    permits: TargetPermits = attrs.field(factory=TargetPermits)
    unconfirmed_since: float | None = None
    broken_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    replaced: bool = False
    reported_born: int = 0
    gone: bool = False
    versions_seen: dict[str, int] = attrs.field(factory=dict)

    @property
    def instance(self) -> str:
        """Return the instance id."""
        return self.registration.instance

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return self.registration.address

    @property
    def is_ready(self) -> bool:
        """Return whether it is registered as ready and has not said that it leaves."""
        return self.registration.ready and not self.leaving and not self.gone

    @property
    def is_confirmed(self) -> bool:
        """Return whether the target surely runs since the start that it registered."""
        return self.unconfirmed_since is None

    def record_break(self, now: float) -> None:
        """Record that a connection broke or could not be opened."""
        self.broken_at = now
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now

    def confirm(self, at: float) -> None:
        """Record that the target ran at a time since the start that it registered."""
        if at >= self.broken_at and not self.reported_born:
            self.unconfirmed_since = None
            self.confirmed_at = max(self.confirmed_at, at)

    @property
    def has_notices(self) -> bool:
        """Return whether the target has said what it bears."""
        is_limited = self.rate_limit is not None or self.brittle is not None
        return is_limited or math.isfinite(self.rest_until) or self.leaving_unconfirmed

    @property
    def start(self) -> int:
        """Return the latest known start time of the target; 0 if none is known."""
        return self.reported_born or self.registration.born

    @property
    def reported_build_id(self) -> str:
        """Return the id of the build of the start that it reported."""
        return unnamed_build(self.instance, self.reported_born)

    def record_restart(self, born: int) -> None:
        """Record a start that was not registered yet; a former one may have left."""
        if born != self.reported_born:
            self.reported_born = born
            if self.leaving and self.leaving_unconfirmed:
                self.presumed_until = math.inf
            else:
                self.leaving = False

    def record_leaving(self, is_start_known: bool, at: float) -> None:
        """Record that the target said that it leaves.

        Parameters
        ----------
        is_start_known
            Whether surely its latest known start said so.
        at
            Time at which it said so.
        """
        self.leaving, self.leaving_at = True, at
        self.leaving_unconfirmed = not is_start_known
        self.presumed_until = None

    def end_presumption(self) -> None:
        """Take back that the target leaves, which a former start may have said."""
        self.leaving = self.leaving_unconfirmed = False
        self.presumed_until = None

    def adopt_notices(self, former: Target, started_after: float = -math.inf) -> None:
        """Take over what the target may have said since the start that it registered now.

        Limits and rests end by themselves. That it leaves holds only for the start that
        said so, and is presumed if that may have been this one.

        Parameters
        ----------
        started_after
            Time after which this start surely began.
        """
        self.rate_limit, self.brittle = former.rate_limit, former.brittle
        self.rest_until, self.permits = former.rest_until, former.permits
        if former.start in (0, self.registration.born):
            self.leaving = self.leaving or former.leaving
            self.leaving_unconfirmed = former.leaving_unconfirmed
            self.presumed_until = former.presumed_until
        elif former.leaving and former.leaving_unconfirmed and not self.leaving:
            if former.leaving_at <= started_after:
                return
            self.leaving = self.leaving_unconfirmed = True
            self.presumed_until = math.inf
        self.leaving_at = former.leaving_at

    def build_at(self, opened_at: float) -> str:
        """Return the id of the build at a connection; empty if it is not known."""
        since = self.unconfirmed_since
        if self.replaced or self.reported_born:
            return ""
        return self.registration.build_id if since is None or opened_at < since else ""

    def weights_of(self, model: str) -> int | None:
        """Return the newest known weights version of a model."""
        known = self.registration.weights.get(model)
        seen = self.versions_seen.get(model)
        if known is None:
            return None
        return known if seen is None else max(known, seen)

    def record_weights(self, model: str, version: int) -> None:
        """Record the weights named in an answer, which may be ahead of the registration."""
        if version > self.versions_seen.get(model, 0):
            self.versions_seen[model] = version

    def is_usable(self, now: float) -> bool:
        """Return whether a new request may be sent to the target."""
        return now >= self.takes_requests_at(now) and now >= self.backoff_until

    def is_only_refusing(self, now: float) -> bool:
        """Return whether only this daemon's backoff from its refusals keeps requests away."""
        is_paused = self.refusals > 0 and self.failures == 0 and now < self.backoff_until
        return now >= self.takes_requests_at(now) and is_paused

    def wants_requests(self, now: float) -> bool:
        """Return whether the target takes requests and has not asked for rest."""
        return self.is_ready and now >= self.rest_until

    def is_over_limit(self, now: float) -> bool:
        """Return whether no more requests fit into what the target says it can bear."""
        is_limited = self.rate_limit is not None or self.brittle is not None
        return is_limited and now < self.permits.denied_until

    def takes_requests_at(self, now: float) -> float:
        """Return when the target takes a request again, or infinity if that is not known.

        This is what the target itself has said. Unlike a backoff, it holds although
        requests that began earlier succeed, and although there is no other target.
        """
        if not self.is_ready:
            return math.inf
        if self.is_over_limit(now):
            return max(self.rest_until, self.permits.denied_until)
        return max(self.rest_until, now)

    def usable_at(self, now: float) -> float:
        """Return when a new request may be sent, or infinity if that is not known."""
        return max(self.takes_requests_at(now), self.backoff_until)

    def begin_request(self, now: float) -> None:
        """Count a request in flight."""
        if not self.in_flight:
            self.busy_since = now
        self.in_flight += 1

    def waiting_s(self, now: float) -> float:
        """Return for how long requests have waited for any byte; 0 if none waits."""
        if self.in_flight <= self.sending:
            return 0.0
        return max(0.0, now - max(self.heard_at, self.busy_since))

    def take_steps(self) -> tuple[int, float]:
        """Return and reset the samples of decode steps."""
        taken = self.steps, self.sum_log_step_s
        self.steps, self.sum_log_step_s = 0, 0.0
        return taken

    def is_failing(self, now: float) -> bool:
        """Return whether the target is in backoff after a failure."""
        return self.failures > 0 and now < self.backoff_until

    def record_success(self) -> None:
        """Reset the backoff."""
        self.failures = self.refusals = 0
        self.backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Start a backoff that doubles with each consecutive failure."""
        pause_s = backoff_s(self.failures, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.failures += 1
        self.backoff_until = max(self.backoff_until, now + pause_s)

    def record_refusal(self, now: float) -> None:
        """Start the shorter backoff of a full or loading target."""
        pause_s = backoff_s(self.refusals, INITIAL_REFUSAL_BACKOFF_S, MAX_REFUSAL_BACKOFF_S)
        self.refusals += 1
        self.backoff_until = max(self.backoff_until, now + pause_s)


class TargetRegistry:
    """All registered targets, by id.

    Registrations also lapse while the platform's store is down although the targets are
    alive; these reappear soon after the store recovers. Targets whose registration vanishes
    during an outage, or is found missing right after it, are therefore kept for
    ``lapse_grace_s`` after the recovery and dropped only then.

    Attributes
    ----------
    left
        Start times of targets that said that they leave and then vanished. Their
        registration may be read once more.
    departed
        Targets that vanished after they had named a limit, a rest or the like. Their
        registration may be renewed, for instance after an outage of the store.
    on_gone
        Called with a target that is dropped.
    on_replaced
        Called with a registration that no longer holds.
    """

    def __init__(self, lapse_grace_s: float) -> None:
        self.lapse_grace_s = lapse_grace_s
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.returned_at: float | None = None
        self.left: dict[str, int] = {}
        self.departed: dict[str, Target] = {}
        self.on_gone: Callable[[Target], None] = lambda _target: None
        self.on_replaced: Callable[[Registration], None] = lambda _registration: None

    def put(self, registration: Registration, started_after: float = -math.inf) -> Target:
        """Add or update a registration; a restart discards earlier observations.

        Parameters
        ----------
        started_after
            Time after which the target surely started, if this start is new.
        """
        known = self.targets.get(registration.instance)
        if not registration.born:
            registration = attrs.evolve(registration, born=self._last_start(registration))
        if known is not None and known.registration.born == registration.born:
            if known.registration.service != registration.service:
                self._remove_from_index(known)
                self._add_to_index(known, registration.service)
            self.on_replaced(known.registration)
            known.registration = registration
            known.lapsed_at = None
            return known
        if known is not None:
            known.replaced = True
            self._drop(known)
        target = Target(registration=registration)
        target.leaving = self.left.get(registration.instance) == registration.born
        former = self.departed.pop(registration.instance, known)
        if former is not None:
            target.adopt_notices(former, started_after)
        self.targets[registration.instance] = target
        self._add_to_index(target, registration.service)
        return target

    def current(self, target: Target) -> Target:
        """Return the registered target with the id of one that may have been replaced.

        An answer that arrives after a later start was registered comes from that start.
        """
        return self.targets.get(target.instance, target)

    def record_leaving(
        self, instance: str, start: int, is_start_known: bool = True, at: float = 0.0
    ) -> bool:
        """Record that a target leaves; return whether this was not known.

        Parameters
        ----------
        start
            Start time of the target that leaves; 0 if it is not known.
        is_start_known
            Whether it surely is that start. A later one may not have registered yet.
        at
            Time at which the target said so.
        """
        target = self.targets.get(instance)
        if target is None:
            is_new = bool(start) and self.left.get(instance) != start
            if is_new:
                self._remember_left(instance, start)
            return is_new
        if start and target.start and start != target.start:
            # Its registration is read later here than where the answer came from.
            target.record_restart(start)
        is_new = not target.leaving
        target.record_leaving(is_start_known, at)
        return is_new

    def remove(self, instance: str, now: float) -> None:
        """Process the removal of a registration."""
        target = self.targets.get(instance)
        if target is None:
            return
        if self._in_grace(now):
            target.lapsed_at = now
            return
        self._drop(target)

    def store_returned(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self.returned_at = now

    def expire_presumptions(self, now: float) -> list[Target]:
        """Take targets back into use that no answer has said leave since they started.

        Returns
        -------
        list
            Targets of which it is presumed no more that they leave.
        """
        ended = []
        for target in self.targets.values():
            if target.presumed_until is None:
                continue
            if target.presumed_until == math.inf:
                target.presumed_until = now + PRESUMED_LEAVING_S
            elif now >= target.presumed_until:
                target.end_presumption()
                ended.append(target)
        return ended

    def expire(self, now: float) -> list[Target]:
        """Drop lapsed targets after the grace period and return them."""
        if self._in_grace(now):
            return []
        gone = [item for item in self.targets.values() if item.lapsed_at is not None]
        for target in gone:
            self._drop(target)
        return gone

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self.by_service.get(service, [])

    def builds_of(self, service: str) -> set[str]:
        """Return the ids of the builds of a service's targets."""
        return {item.registration.build_id for item in self.of_service(service)}

    def most_builds(self) -> int:
        """Return the largest number of builds of one service."""
        return max((len(self.builds_of(name)) for name in self.by_service), default=0)

    def _in_grace(self, now: float) -> bool:
        return self.returned_at is not None and now - self.returned_at < self.lapse_grace_s

    def _drop(self, target: Target) -> None:
        target.gone = True
        if target.leaving:
            self._remember_left(target.instance, target.start)
        if target.has_notices:
            self._remember_departed(target)
        self.targets.pop(target.instance, None)
        self._remove_from_index(target)
        self.on_replaced(target.registration)
        self.on_gone(target)

    def _last_start(self, registration: Registration) -> int:
        """Return the start that an entry is of which names none: it tells of no restart."""
        known = self.targets.get(registration.instance)
        if known is not None:
            return known.registration.born
        return self.left.get(registration.instance, 0)

    def _remember_departed(self, target: Target) -> None:
        self.departed.pop(target.instance, None)
        self.departed[target.instance] = target
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def _remember_left(self, instance: str, start: int) -> None:
        self.left.pop(instance, None)
        self.left[instance] = start
        if len(self.left) > MAX_LEFT:
            del self.left[next(iter(self.left))]

    def _add_to_index(self, target: Target, service: str) -> None:
        self.by_service.setdefault(service, []).append(target)

    def _remove_from_index(self, target: Target) -> None:
        service = target.registration.service
        left = [item for item in self.by_service.get(service, []) if item is not target]
        if left:
            self.by_service[service] = left
        else:
            self.by_service.pop(service, None)
