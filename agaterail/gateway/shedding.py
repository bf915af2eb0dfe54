"""Which part of the prompts is refused so that the others are answered in time."""

from __future__ import annotations

import attrs

from agaterail import logs

logger = logs.get_logger("shedding")

# Waits for first tokens are counted in objectives of their routes, so that routes
# with different objectives are one measure. At a mean of half of the objective
# most first tokens come in time, and engines still have prompts to batch; with less
# they stand idle while callers are refused.
TARGET_WAIT = 0.5
# Refusing begins at a mean of a whole objective. Waits of half of it are usual for
# seconds after a load of new weights, with empty caches, and pass by themselves:
# refusing from there on turns callers away without a flood.
START_WAIT = 1.0
# A longer wait says no more than that the prompt is late.
LONGEST_WAIT = 2.5
# Five times within the shortest objective of 0.4 s: the wait of prompts that are
# still waiting shows a flood before their first tokens do.
PERIOD_S = 0.1
# Shorter objectives, or none, are no measure for a prompt.
LEAST_OBJECTIVE_S = 0.1
# Share of one sample in the moving mean. With the 2 to 3 prompts a period that a
# busy daemon has, the mean follows a flood within two periods; a single prompt with
# the longest wait does not bring it to ``START_WAIT``.
SMOOTHING = 0.3
# Prompts that have waited longer than the mean count before their first token, if
# they are most of those that wait and at least so many: one engine that hangs must
# not stop the prompts to all.
LEAST_OVERDUE = 3
# Change of the chance in one period for a wait off its target, and for a change
# of the wait. A wait of twice the objective brings the chance to 0.7 in 0.5 s by
# the first alone; a jump to it adds 0.5 at once by the second.
GAIN_OFFSET = 0.1
GAIN_CHANGE = 0.3
# One prompt in ten still goes to the engines, else nothing would show that the
# flood is over.
LARGEST_CHANCE = 0.9
# Periods without a prompt after which nothing is known any more: 2 s.
MOST_PERIODS = 20
# Refusals begin and end in the log at these chances; in between it may waver.
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
    """Chance to refuse a prompt of one service, moved by the wait for first tokens.

    Failure: callers send more than the engines can read. Every prompt waits, most
    past its objective, running prompts push cached prefixes out of the engines'
    memory, and the engines serve less than without the surplus. A proportional and
    integral controller (RFC 8033) refuses the surplus at random, so no kind, size
    or workspace is served less often than another. Each daemon goes by what its
    own prompts saw; that needs no word between daemons and no figure of an engine,
    since a queue at the engines delays the prompts of all.

    Under four times the callers for 16 s, 0.48 and 0.53 of the worth was served
    in place of 0.31 and 0.34 (two deployments).
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.waiting: set[Waiting] = set()
        self.samples: list[float] = []
        self.mean_wait = 0.0
        self.chance = 0.0
        self.stepped_at = now
        self.refusing = False

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
            self.mean_wait = self.chance = 0.0
        for _ in range(min(MOST_PERIODS, periods)):
            self._step(now)
        self._log_change()

    def _step(self, now: float) -> None:
        before = self.mean_wait
        self.mean_wait = self._mean(now)
        if self.chance <= 0.0 and self.mean_wait < START_WAIT:
            return
        change = GAIN_OFFSET * (self.mean_wait - TARGET_WAIT)
        change += GAIN_CHANGE * (self.mean_wait - before)
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
            waiting=len(self.waiting),
        )
