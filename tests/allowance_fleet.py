"""A fleet of daemons on a manual clock that keeps allowances together."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque

import attrs

from agaterail.decisions.allowances import (
    Allowance,
    CostUnit,
    FleetLedger,
    Tolerance,
    Verdict,
    WorkspaceCredit,
)
from agaterail.limits import TokenBucket

TOLERANCE = Tolerance(window_s=8.0, overage=0.1, slack=110_000.0)
STEP_S = 0.1


@attrs.define(kw_only=True)
class Load:
    """Requests of one workspace.

    Attributes
    ----------
    allowance
        What it may send.
    usual
        Part of the rate that it sends usually.
    surge
        Start, end and factor by which it sends more.
    pause
        Start and end of a time without requests.
    callers
        Number of its callers; each uses one daemon.
    moves_every_s
        Time after which its callers move to other daemons; None for never.
    mean_tokens
        Mean cost of a request.
    """

    allowance: Allowance
    usual: float = 0.55
    surge: tuple[float, float, float] = (0.0, 0.0, 1.0)
    pause: tuple[float, float] = (0.0, 0.0)
    callers: int = 20
    moves_every_s: float | None = None
    mean_tokens: float = 9000.0

    def rate_at(self, now: float) -> float:
        if self.pause[0] <= now < self.pause[1]:
            return 0.0
        start, end, factor = self.surge
        return self.allowance.rate_per_s * self.usual * (factor if start <= now < end else 1)


@attrs.define
class Outcome:
    """What was seen of one workspace."""

    sent: list[tuple[float, float]] = attrs.field(factory=list)
    refused_below: int = 0
    within: int = 0

    def worst_window(self, window_s: float) -> float:
        window: deque[tuple[float, float]] = deque()
        total = worst = 0.0
        for at, cost in self.sent:
            window.append((at, cost))
            total += cost
            while window[0][0] <= at - window_s:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst

    @property
    def part_refused_below(self) -> float:
        return self.refused_below / max(1, self.within)


def bound(allowance: Allowance, tolerance: Tolerance = TOLERANCE) -> float:
    allowed = allowance.rate_per_s * tolerance.window_s + allowance.burst
    return allowed * (1.0 + tolerance.overage) + tolerance.slack


def tokens(rate: float, burst: float | None = None) -> Allowance:
    return Allowance(
        rate_per_s=rate,
        burst=rate if burst is None else burst,
        unit=CostUnit.TOKENS,
        plain_tokens=200,
    )


class CreditFleet:
    """Daemons with credits from one coordinator, which may be away or replaced."""

    def __init__(self, daemons: int, lost: float = 0.0, seed: int = 1) -> None:
        self.daemons = daemons
        self.lost = lost
        self.random = random.Random(seed)
        self.ledger = FleetLedger(TOLERANCE)
        self.credits = [{} for _ in range(daemons)]
        self.down = (0.0, 0.0)
        self.away: set[int] = set()
        self.messages = 0
        self.ledger.responsible_since = -100.0

    def admit(self, daemon, name, allowance, cost, now) -> bool:
        credit = self.credits[daemon].setdefault(name, WorkspaceCredit())
        verdict = credit.check(cost, now)
        if verdict is Verdict.ASK:
            report = credit.report(name, now, cost)
            if self.exchange(daemon, credit, report, allowance, now):
                verdict = credit.check(cost, now)
            else:
                number = self.random.random()
                wait_s = credit.take_fallback(cost, allowance, self.daemons, number, now)
                verdict = Verdict.REFUSE if wait_s else Verdict.ADMIT
        if verdict is Verdict.ADMIT:
            credit.spend(cost, now)
        return verdict is Verdict.ADMIT

    def tick(self, loads, now) -> None:
        for daemon, credits in enumerate(self.credits):
            for name, credit in credits.items():
                if credit.is_report_due(now):
                    report = credit.report(name, now)
                    self.exchange(daemon, credit, report, loads[name].allowance, now)

    def exchange(self, daemon, credit, report, allowance, now) -> bool:
        self.messages += 1
        start, end = self.down
        lost = self.random.random()
        if start <= now < end or daemon in self.away or lost < self.lost / 2:
            credit.record_unanswered(report, now)
            return False
        grant = self.ledger.settle(str(daemon), report, allowance, now)
        if lost < self.lost:  # the answer is lost
            credit.record_unanswered(report, now)
            return False
        credit.apply(report, grant, now, now)
        return True

    def replace_coordinator(self, now) -> None:
        self.ledger.keep_only((), now)


def play(fleet, loads, seconds=24.0, seed=1, events=()) -> dict[str, Outcome]:
    """Play requests; events are pairs of a time and a function of the fleet."""
    numbers = random.Random(seed)
    outcomes = {name: Outcome() for name in loads}
    ideal = {
        name: TokenBucket(load.allowance.rate_per_s, 0.0, load.allowance.burst)
        for name, load in loads.items()
    }
    homes = {
        name: [numbers.randrange(fleet.daemons) for _ in range(load.callers)]
        for name, load in loads.items()
    }
    moved = Counter()
    queue = [(numbers.random() * STEP_S, name) for name in loads]
    heapq.heapify(queue)
    ticks, pending = 0, sorted(events, key=lambda event: event[0])
    while queue:
        now, name = heapq.heappop(queue)
        if now >= seconds:
            continue
        while ticks * STEP_S <= now:
            at = ticks * STEP_S
            while pending and pending[0][0] <= at:
                pending.pop(0)[1](fleet)
            fleet.tick(loads, at)
            ticks += 1
        load = loads[name]
        rate = load.rate_at(now)
        if not rate:
            heapq.heappush(queue, (now + STEP_S, name))
            continue
        heapq.heappush(queue, (now + numbers.expovariate(rate / load.mean_tokens), name))
        if load.moves_every_s and int(now / load.moves_every_s) > moved[name]:
            moved[name] += 1
            homes[name] = [numbers.randrange(fleet.daemons) for _ in homes[name]]
        cost = float(round(load.mean_tokens * numbers.uniform(0.4, 1.6)))
        daemon = numbers.choice(homes[name])
        bucket = ideal[name]
        bucket.refill(now)
        owed = bucket.level >= cost
        if owed:
            bucket.charge(cost)
            outcomes[name].within += 1
        if fleet.admit(daemon, name, load.allowance, cost, now):
            outcomes[name].sent.append((now, cost))
        elif owed:
            outcomes[name].refused_below += 1
    return outcomes
