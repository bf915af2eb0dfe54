"""Admission control of a pool: fairness between workspaces and deadline checks."""

from __future__ import annotations

import attrs

# Bound on the outstanding prefill work of one daemon, per engine in its share of
# the pool: a share of the deadline, but at least MIN_QUEUE_MS. More work would
# only wait at the engines. Less would refuse short bursts of cold prompts that
# the engines could still answer long before their deadlines.
MIN_QUEUE_MS = 500.0
QUEUE_DEADLINE_SHARE = 1 / 6
# Requests of a workspace that holds more than this share of the free queue are
# served after those of the others.
LIGHT_SHARE = 0.25
MAX_PRIORITY = 9
MISS_RATIO_EWMA_WEIGHT = 0.05
# Same assumption as DEFAULT_HIT_SHARE of the cost policy: an engine without a
# known state has a prefix cached about half of the time.
INITIAL_MISS_RATIO = 0.5
MIN_HEADROOM = 0.5
ROUNDING_ERROR_MS = 1e-6


class FairGate:
    """Limits the outstanding work of each workspace in one pool.

    A workspace may hold at most as much of the queue as is free, times the
    weight of the request (dynamic thresholds). With a weight of 1, a single
    flooding workspace thus ends up with half of the queue and the other half
    stays free, without tracking which workspaces are active.

    Attributes
    ----------
    outstanding_ms
        Prefill work sent but still without a first token, by workspace.
    """

    def __init__(self) -> None:
        self.outstanding_ms: dict[str, float] = {}
        self.total_ms = 0.0

    def admit(self, workspace: str, cost_ms: float, capacity_ms: float, weight: float) -> bool:
        """Admit a request if its workspace stays below its threshold."""
        if self.is_full(workspace, cost_ms, capacity_ms, weight):
            return False
        self.outstanding_ms[workspace] = self.outstanding_ms.get(workspace, 0.0) + cost_ms
        self.total_ms += cost_ms
        return True

    def is_full(
        self, workspace: str, cost_ms: float, capacity_ms: float, weight: float
    ) -> bool:
        """Return whether one more request would exceed a workspace's threshold.

        A workspace without outstanding work is never full.
        """
        outstanding_ms = self.outstanding_ms.get(workspace, 0.0)
        return outstanding_ms > 0.0 and outstanding_ms + cost_ms > weight * (
            capacity_ms - self.total_ms
        )

    def release(self, workspace: str, cost_ms: float) -> None:
        """Release the work of a request that has its first token or has failed."""
        self.total_ms = max(0.0, self.total_ms - cost_ms)
        left = self.outstanding_ms[workspace] - cost_ms
        self.outstanding_ms[workspace] = left
        if left <= ROUNDING_ERROR_MS:
            del self.outstanding_ms[workspace]

    def is_light(self, workspace: str, cost_ms: float, capacity_ms: float) -> bool:
        """Return whether a workspace holds little, including one more request.

        The measure is the free part of the queue: if many small workspaces fill
        the queue together, none of them is light. Otherwise they could keep the
        engines busy together, and the requests behind theirs would wait until
        their deadlines.
        """
        outstanding_ms = self.outstanding_ms.get(workspace, 0.0) + cost_ms
        return outstanding_ms <= LIGHT_SHARE * (capacity_ms - self.total_ms)


class MissRatio:
    """Moving average of the share of a prompt that is not cached.

    It replaces the cache hit if the engines' homes do not answer. If the whole
    prompt counted as a miss instead, requests whose prefixes are cached would
    be refused as soon as homes stop answering.
    """

    def __init__(self) -> None:
        self.value = INITIAL_MISS_RATIO

    def update(self, missing_tokens: int, prompt_tokens: int) -> None:
        """Update the average with a request whose cache hit was known."""
        share = missing_tokens / max(1, prompt_tokens)
        self.value += MISS_RATIO_EWMA_WEIGHT * (share - self.value)


@attrs.frozen
class AdmissionRequest:
    """Properties of a request that admission control depends on.

    Attributes
    ----------
    cost_ms
        Prefill time that the request adds.
    expected_ms
        Expected time to first token, or None if unknown.
    remaining_ms
        Time left until the deadline.
    """

    workspace: str
    priority: int
    cost_ms: float
    expected_ms: float | None
    remaining_ms: float


def priority_weight(priority: int) -> float:
    """Return the threshold weight of a priority, 0.5 for the lowest to 2 for the highest.

    The lowest priority is refused first: if no other workspace uses the queue,
    its requests may fill one third of it, those of the highest two thirds.
    """
    return 0.5 * 4.0 ** (priority / MAX_PRIORITY)


def can_meet_deadline(request: AdmissionRequest) -> bool:
    """Return whether the first token is expected before the deadline.

    Lower priorities need a safety margin, so under load they are refused first.
    """
    if request.expected_ms is None:
        return True
    headroom = MIN_HEADROOM + (1.0 - MIN_HEADROOM) * request.priority / MAX_PRIORITY
    return request.expected_ms <= request.remaining_ms * headroom


def queue_capacity_ms(targets: int, members: int, deadline_ms: float) -> float:
    """Return the outstanding work that one daemon may keep in a pool.

    It is at least that of one engine: a daemon that shares few engines with
    many others must still be able to send requests.
    """
    return max(MIN_QUEUE_MS, QUEUE_DEADLINE_SHARE * deadline_ms) * max(
        1.0, targets / max(1, members)
    )
