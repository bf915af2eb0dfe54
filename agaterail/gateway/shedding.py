"""Which part of the prompts is refused so that the others are answered in time."""

from __future__ import annotations

import attrs

from agaterail import logs
from agaterail.gateway.streampace import StreamPace

logger = logs.get_logger("shedding")

# Waits for first tokens are counted in objectives of their routes, so that routes
# with different objectives are one measure. A shorter target would leave engines idle
# while callers are refused.
TARGET_WAIT = 0.5
# Hysteresis: waits between the target and this are usual for seconds after a load of
# new weights, with empty caches, and pass by themselves.
START_WAIT = 1.0
# Part of their time that long streams need, as bad as a wait at the target and as one
# at the start of refusing. Engines get slower for seconds after a prompt was admitted,
# so the start lies below 1.
TARGET_STRAIN = 0.6
START_STRAIN = 0.8
# A longer wait says no more than that the prompt is late.
LONGEST_WAIT = 2.5
# Several times within the shortest objective: the wait of prompts that are still
# waiting shows a flood before their first tokens do.
PERIOD_S = 0.1
# Shorter objectives, or none, are no measure for a prompt.
LEAST_OBJECTIVE_S = 0.1
# Share of one sample in the moving mean: a flood shows within two periods, and a
# single prompt with the longest wait does not bring the mean to ``START_WAIT``.
SMOOTHING = 0.3
# Prompts that have waited longer than the mean count before their first token, if
# they are most of those that wait and at least so many: one engine that hangs must
# not stop the prompts to all.
LEAST_OVERDUE = 3
# Change of the chance in one period for a wait off its target, and for a change
# of the wait.
GAIN_OFFSET = 0.1
GAIN_CHANGE = 0.3
# Some prompts still go to the engines, else nothing would show that the flood is over.
LARGEST_CHANCE = 0.9
# Periods without a prompt after which nothing is known any more.
MOST_PERIODS = 20
# Hysteresis of the log lines that refusals begin and end.
LOGGED_FROM = 0.2
LOGGED_UNTIL = 0.01


@attrs.define(eq=False)
class Waiting:
    """A prompt whose first token has not come."""

    since: float
    objective_s: float

    def wait(self, now: float) -> float:
        """Return the wait so far in objectives."""
        return min(LONGEST_WAIT, (now - self.since) / self.objective_s)


class Shedder:
    """Chance to refuse a prompt of one service.

    Under more prompts than the engines can read every prompt waits, most past its
    objective, running prompts push cached prefixes out of the engines' memory, and
    long streams end at their time limit. A proportional and integral controller
    (RFC 8033) refuses the surplus at random, so no kind, size or workspace is served
    less often than another. It goes by the worse of two measures: the wait for first
    tokens, and the time that long streams need at the pace of the running ones. Each
    daemon goes by its own requests; that needs no word between daemons and no figure
    of an engine, since a queue at the engines delays the requests of all.

    Attributes
    ----------
    mean_wait
        Moving mean of the waits for first tokens, in objectives.
    strain
        Part of its time that a long stream needs.
    level
        The worse of the two, as a wait in objectives.
    chance
        Chance from 0 to 1 that a prompt is refused.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.waiting: set[Waiting] = set()
        self.samples: list[float] = []
        self.mean_wait = 0.0
        self.chance = 0.0
        self.stepped_at = now
        self.refusing = False
        self.pace = StreamPace()
        self.strain = 0.0
        self.level = 0.0

    def begin(self, objective_s: float, now: float) -> Waiting:
        """Take in that a prompt goes to an engine."""
        waiting = Waiting(now, max(LEAST_OBJECTIVE_S, objective_s))
        self.waiting.add(waiting)
        return waiting

    def end(self, waiting: Waiting, now: float, first_token: bool = True) -> None:
        """Take in that a prompt's first token came, or that it is not waited for.

        How long a prompt waited that was refused, broken or left says only that its
        first token would have come later; a full engine's quick refusals must not
        pass for quick tokens.
        """
        if waiting not in self.waiting:
            return
        self.waiting.discard(waiting)
        wait = waiting.wait(now)
        if first_token or wait > self.mean_wait:
            self.samples.append(wait)

    def refuses(self, number: float, now: float) -> bool:
        """Decide on one prompt by a random number from 0 to 1."""
        self._advance(now)
        return number < self.chance

    def _advance(self, now: float) -> None:
        periods = int((now - self.stepped_at) / PERIOD_S)
        if periods <= 0:
            return
        self.stepped_at = now
        if periods > MOST_PERIODS:
            # No prompt came, or this host was frozen: then all that it waits for
            # looks late, and refusing would turn callers away from idle engines.
            self.samples.clear()
            self.waiting.clear()
            self.mean_wait = self.level = self.chance = 0.0
        self.strain = self.pace.strain(now)
        for _ in range(min(MOST_PERIODS, periods)):
            self._step(now)
        self._log_change()

    def _step(self, now: float) -> None:
        before = self.level
        self.mean_wait = self._mean(now)
        self.level = max(self.mean_wait, _wait_of_strain(self.strain))
        if self.chance <= 0.0 and self.level < START_WAIT:
            return
        change = GAIN_OFFSET * (self.level - TARGET_WAIT)
        change += GAIN_CHANGE * (self.level - before)
        self.chance = min(LARGEST_CHANCE, max(0.0, self.chance + change))

    def _mean(self, now: float) -> float:
        before = self.mean_wait
        samples, self.samples = self.samples, []
        overdue = [wait for item in self.waiting if (wait := item.wait(now)) > before]
        if len(overdue) >= max(LEAST_OVERDUE, len(self.waiting) / 2):
            samples += overdue
        if not samples and not self.waiting:
            samples = [0.0]
        if not samples:
            return before
        share = 1.0 - (1.0 - SMOOTHING) ** len(samples)
        return before + share * (sum(samples) / len(samples) - before)

    def _log_change(self) -> None:
        limit = LOGGED_UNTIL if self.refusing else LOGGED_FROM
        if (self.chance > limit) == self.refusing:
            return
        self.refusing = not self.refusing
        logger.info(
            "Refusing prompts." if self.refusing else "No longer refusing prompts.",
            service=self.service,
            chance=round(self.chance, 2),
            mean_wait=round(self.mean_wait, 2),
            strain=round(self.strain, 2),
            waiting=len(self.waiting),
        )


def _wait_of_strain(strain: float) -> float:
    """Return the wait for first tokens that calls for as much refusing."""
    part = (strain - TARGET_STRAIN) / (START_STRAIN - TARGET_STRAIN)
    wait = TARGET_WAIT + part * (START_WAIT - TARGET_WAIT)
    return min(LONGEST_WAIT, max(0.0, wait))
