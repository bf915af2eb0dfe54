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
TARGET_TIMEOUT_RATIO = 0.6
START_TIMEOUT_RATIO = 0.8
# A longer wait says no more than that the prompt is late.
MAX_WAIT = 2.5
# Several times within the shortest objective: the wait of prompts that are still
# waiting shows a flood before their first tokens do.
CONTROL_PERIOD_S = 0.1
# Shorter objectives, or none, are no measure for a prompt.
MIN_OBJECTIVE_S = 0.1
# Share of one sample in the moving mean: a flood shows within two periods, and a
# single prompt with the longest wait does not bring the mean to ``START_WAIT``.
SMOOTHING = 0.3
# Prompts that have waited longer than the mean count before their first token, if
# they are most of those that wait and at least so many: one engine that hangs must
# not stop the prompts to all.
MIN_OVERDUE = 3
# Change of the chance in one period for a wait off its target, and for a change
# of the wait.
INTEGRAL_GAIN = 0.1
PROPORTIONAL_GAIN = 0.3
# Some prompts still go to the engines, else nothing would show that the flood is over.
MAX_REFUSAL_PROBABILITY = 0.9
# Periods without a prompt after which nothing is known any more.
MAX_IDLE_PERIODS = 20
# Hysteresis of the log lines that refusals begin and end.
LOG_ABOVE = 0.2
LOG_BELOW = 0.01


@attrs.define(eq=False)
class PendingPrompt:
    """A prompt whose first token has not come."""

    since: float
    objective_s: float

    def wait(self, now: float) -> float:
        """Return the wait so far in objectives."""
        return min(MAX_WAIT, (now - self.since) / self.objective_s)


class LoadShedder:
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
    timeout_ratio
        Part of its time that a long stream needs.
    level
        The worse of the two, as a wait in objectives.
    refusal_probability
        Chance from 0 to 1 that a prompt is refused.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.waiting: set[PendingPrompt] = set()
        self.samples: list[float] = []
        self.mean_wait = 0.0
        self.refusal_probability = 0.0
        self.stepped_at = now
        self.refusing = False
        self.pace = StreamPace()
        self.timeout_ratio = 0.0
        self.level = 0.0

    def begin(self, objective_s: float, now: float) -> PendingPrompt:
        """Take in that a prompt goes to an engine."""
        waiting = PendingPrompt(now, max(MIN_OBJECTIVE_S, objective_s))
        self.waiting.add(waiting)
        return waiting

    def end(self, waiting: PendingPrompt, now: float, first_token: bool = True) -> None:
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

    def should_refuse(self, number: float, now: float) -> bool:
        """Decide on one prompt by a random number from 0 to 1."""
        self._advance(now)
        return number < self.refusal_probability

    def _advance(self, now: float) -> None:
        periods = int((now - self.stepped_at) / CONTROL_PERIOD_S)
        if periods <= 0:
            return
        self.stepped_at = now
        if periods > MAX_IDLE_PERIODS:
            # No prompt came, or this host was frozen: then all that it waits for
            # looks late, and refusing would turn callers away from idle engines.
            self.samples.clear()
            self.waiting.clear()
            self.mean_wait = self.level = self.refusal_probability = 0.0
        self.timeout_ratio = self.pace.timeout_ratio(now)
        for _ in range(min(MAX_IDLE_PERIODS, periods)):
            self._step(now)
        self._log_transition()

    def _step(self, now: float) -> None:
        before = self.level
        self.mean_wait = self._mean(now)
        self.level = max(self.mean_wait, _wait_for_timeout_ratio(self.timeout_ratio))
        if self.refusal_probability <= 0.0 and self.level < START_WAIT:
            return
        change = INTEGRAL_GAIN * (self.level - TARGET_WAIT)
        change += PROPORTIONAL_GAIN * (self.level - before)
        self.refusal_probability = min(
            MAX_REFUSAL_PROBABILITY, max(0.0, self.refusal_probability + change)
        )

    def _mean(self, now: float) -> float:
        before = self.mean_wait
        samples, self.samples = self.samples, []
        overdue = [wait for item in self.waiting if (wait := item.wait(now)) > before]
        if len(overdue) >= max(MIN_OVERDUE, len(self.waiting) / 2):
            samples += overdue
        if not samples and not self.waiting:
            samples = [0.0]
        if not samples:
            return before
        share = 1.0 - (1.0 - SMOOTHING) ** len(samples)
        return before + share * (sum(samples) / len(samples) - before)

    def _log_transition(self) -> None:
        limit = LOG_BELOW if self.refusing else LOG_ABOVE
        if (self.refusal_probability > limit) == self.refusing:
            return
        self.refusing = not self.refusing
        logger.info(
            "Refusing prompts." if self.refusing else "No longer refusing prompts.",
            service=self.service,
            chance=round(self.refusal_probability, 2),
            mean_wait=round(self.mean_wait, 2),
            strain=round(self.timeout_ratio, 2),
            waiting=len(self.waiting),
        )


def _wait_for_timeout_ratio(ratio: float) -> float:
    """Return the wait for first tokens that calls for as much refusing."""
    part = (ratio - TARGET_TIMEOUT_RATIO) / (START_TIMEOUT_RATIO - TARGET_TIMEOUT_RATIO)
    wait = TARGET_WAIT + part * (START_WAIT - TARGET_WAIT)
    return min(MAX_WAIT, max(0.0, wait))
