"""Load shedding: refuse part of the prompts so that the others are served in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail import logs
from agaterail.decisions.refusalorder import RefusalOrder
from agaterail.gateway.streampace import StreamPace

if TYPE_CHECKING:
    from agaterail.decisions.refusalorder import Offer, RefusalChance

logger = logs.get_logger("shedding")

# Set point of the controller. Waits for first tokens are measured in units of the
# route's objective, which makes routes with different objectives comparable. A lower
# set point would leave engines idle while callers are refused.
TARGET_WAIT = 0.5
# Shedding starts at this wait (hysteresis). After a rollout of new weights, with cold
# caches, waits between the set point and this value are normal for several seconds and
# recover without shedding.
START_WAIT = 1.0
# Projected duration of a long stream relative to its time limit: the ratios that count
# as a wait of TARGET_WAIT and of START_WAIT. Engines slow down for seconds after a
# prompt was admitted, so shedding starts below 1.
TARGET_TIMEOUT_RATIO = 0.6
START_TIMEOUT_RATIO = 0.8
# Longer waits are clamped: they say no more than that the prompt is late.
MAX_WAIT = 2.5
# Several control periods fit into the shortest objective: the waits so far of pending
# prompts show an overload before their first tokens do.
CONTROL_PERIOD_S = 0.1
# Lower bound on the objective of a route, also used if the route has none.
MIN_OBJECTIVE_S = 0.1
# Weight of one sample in the moving average. An overload shows within two periods,
# while a single prompt at MAX_WAIT does not raise the average to START_WAIT.
SMOOTHING = 0.3
# Pending prompts that have waited longer than the average count before their first
# token, but only if there are at least this many and they are at least half of all
# pending prompts. A single unresponsive engine must not stop traffic to all engines.
MIN_OVERDUE = 3
# Change of the refusal probability per period, for the deviation of the wait from its
# set point and for the change of the wait.
INTEGRAL_GAIN = 0.1
PROPORTIONAL_GAIN = 0.3
# Some prompts are always admitted; otherwise nothing would show that the overload is
# over. This bounds the part of the load that is refused, whatever the order.
MAX_REFUSAL_PROBABILITY = 0.9
# The state is reset after this many periods without a prompt.
MAX_IDLE_PERIODS = 20
# Shedding is logged as started above LOG_ABOVE and as stopped at LOG_BELOW or less, so
# that small fluctuations of the refusal probability are not logged.
LOG_ABOVE = 0.2
LOG_BELOW = 0.01


@attrs.define(eq=False)
class PendingPrompt:
    """A prompt whose first token has not arrived."""

    since: float
    objective_s: float

    def wait(self, now: float) -> float:
        """Return the wait so far, in objectives."""
        return min(MAX_WAIT, (now - self.since) / self.objective_s)


class LoadShedder:
    """Controller of the part of one service's load that is refused.

    When prompts arrive faster than the engines can prefill them, every prompt waits,
    most miss their objective, running prompts evict cached prefixes from the engines'
    memory, and long streams hit their time limit. A proportional-integral controller
    (RFC 8033) refuses the excess at random. With one urgency, no kind of request, prompt
    size or workspace is refused more often than another; otherwise the refusal order
    divides the excess. Its input is the worse of two
    measures: the wait for first tokens, and the projected duration of long streams at
    the current pace. Each daemon uses only its own requests. This needs neither
    coordination between daemons nor data from the engines, because a queue at the
    engines delays the requests of all daemons.

    Attributes
    ----------
    mean_wait
        Moving average of the waits for first tokens, in objectives.
    timeout_ratio
        Projected duration of a long stream relative to its time limit.
    level
        The worse of the two measures, expressed as a wait in objectives.
    refusal_probability
        Part of the load that is refused: the probability that a prompt is refused, if
        all have the same one.
    order
        Divides that part among urgencies, workspaces and returning callers.
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
        self.order = RefusalOrder()

    def begin(self, objective_s: float, now: float) -> PendingPrompt:
        """Register a prompt that is sent to an engine."""
        prompt = PendingPrompt(now, max(MIN_OBJECTIVE_S, objective_s))
        self.waiting.add(prompt)
        return prompt

    def end(self, prompt: PendingPrompt, now: float, first_token: bool = True) -> None:
        """Record a prompt's first token, or the end of its wait without one.

        If the prompt was refused, broken off or abandoned, its wait is only a lower bound
        on the wait for its first token, so it counts only if it is above the average.
        Otherwise the quick refusals of a full engine would count as quick first tokens.
        """
        if prompt not in self.waiting:
            return
        self.waiting.discard(prompt)
        wait = prompt.wait(now)
        if first_token or wait > self.mean_wait:
            self.samples.append(wait)

    def should_refuse(self, number: float, now: float, offer: Offer | None = None) -> bool:
        """Decide on one prompt by a random number from 0 to 1.

        Parameters
        ----------
        offer
            The prompt in the order of refusals; None if all are refused alike.
        """
        self._advance(now)
        if offer is None:
            return number < self.refusal_probability
        chance = self.chance(offer, now)
        self.order.record_chance(chance, now)
        return number < chance.probability

    def chance(self, offer: Offer, now: float) -> RefusalChance:
        """Return the probability that an offered prompt is refused, and its inputs."""
        return self.order.chance(offer, self.refusal_probability, now)

    def _advance(self, now: float) -> None:
        periods = int((now - self.stepped_at) / CONTROL_PERIOD_S)
        if periods <= 0:
            return
        self.stepped_at = now
        if periods > MAX_IDLE_PERIODS:
            # Either there was no prompt, or this host was suspended. In the latter case
            # all pending prompts look late, and shedding would refuse callers while the
            # engines are idle.
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
            "Load shedding started." if self.refusing else "Load shedding stopped.",
            service=self.service,
            chance=round(self.refusal_probability, 2),
            mean_wait=round(self.mean_wait, 2),
            strain=round(self.timeout_ratio, 2),
            waiting=len(self.waiting),
        )


def _wait_for_timeout_ratio(ratio: float) -> float:
    """Return the wait for first tokens that is equivalent to a timeout ratio."""
    part = (ratio - TARGET_TIMEOUT_RATIO) / (START_TIMEOUT_RATIO - TARGET_TIMEOUT_RATIO)
    wait = TARGET_WAIT + part * (START_WAIT - TARGET_WAIT)
    return min(MAX_WAIT, max(0.0, wait))
