"""Admission to a pool: fair between workspaces, and only what can be in time."""

from __future__ import annotations

import attrs

# Work that one daemon keeps waiting for a first token, for each engine that is
# its part of the pool: a part of the deadline, but never less than MIN_QUEUE_MS.
# More would only wait at the engines; less would refuse a short burst of cold
# prompts that all of them could still answer long before their deadline.
MIN_QUEUE_MS = 500.0
QUEUE_DEADLINE_SHARE = 1 / 6
# Above this part of the free queue a workspace's requests go behind the others'.
LIGHT_SHARE = 0.25
MAX_PRIORITY = 9
MISS_RATIO_EWMA_WEIGHT = 0.05
# As the cost policy takes it: an engine of which nothing is known holds a prefix
# about every second time.
INITIAL_MISS_RATIO = 0.5
MIN_HEADROOM = 0.5
ROUNDING_ERROR_MS = 1e-6


class FairGate:
    """Outstanding work for one pool, by workspace.

    A workspace may hold at most as much as is left free, times its weight
    (dynamic thresholds). One flooding workspace so ends with half of the queue
    and the rest stays open, without any count of who is active.

    Attributes
    ----------
    outstanding_ms
        Milliseconds of prefill sent and without a first token, by workspace.
    """

    def __init__(self) -> None:
        self.outstanding_ms: dict[str, float] = {}
        self.total_ms = 0.0

    def admit(self, workspace: str, cost_ms: float, capacity_ms: float, weight: float) -> bool:
        """Take a request in, if its workspace holds less than its threshold."""
        if self.is_full(workspace, cost_ms, capacity_ms, weight):
            return False
        self.outstanding_ms[workspace] = self.outstanding_ms.get(workspace, 0.0) + cost_ms
        self.total_ms += cost_ms
        return True

    def is_full(
        self, workspace: str, cost_ms: float, capacity_ms: float, weight: float
    ) -> bool:
        """Tell whether a workspace holds its threshold already."""
        outstanding_ms = self.outstanding_ms.get(workspace, 0.0)
        return outstanding_ms > 0.0 and outstanding_ms + cost_ms > weight * (
            capacity_ms - self.total_ms
        )

    def release(self, workspace: str, cost_ms: float) -> None:
        """Let a request go that has its first token or failed."""
        self.total_ms = max(0.0, self.total_ms - cost_ms)
        left = self.outstanding_ms[workspace] - cost_ms
        self.outstanding_ms[workspace] = left
        if left <= ROUNDING_ERROR_MS:
            del self.outstanding_ms[workspace]

    def is_light(self, workspace: str, cost_ms: float, capacity_ms: float) -> bool:
        """Tell whether a workspace holds little even with one more request.

        Measured by what is free: when many small workspaces fill the queue
        together, none is light. Together they could else keep the engines busy
        and the requests behind them would wait until their deadlines.
        """
        outstanding_ms = self.outstanding_ms.get(workspace, 0.0) + cost_ms
        return outstanding_ms <= LIGHT_SHARE * (capacity_ms - self.total_ms)


class MissRatio:
    """Part of a prompt that usually must be computed, learnt from known hits.

    Without an answer from the engines' homes the hit is not known. Counted as a
    miss of the whole prompt, requests that the engines hold would be refused as
    soon as homes fall silent.
    """

    def __init__(self) -> None:
        self.value = INITIAL_MISS_RATIO

    def update(self, missing_tokens: int, prompt_tokens: int) -> None:
        """Take in one request whose hit was known."""
        share = missing_tokens / max(1, prompt_tokens)
        self.value += MISS_RATIO_EWMA_WEIGHT * (share - self.value)


@attrs.frozen
class AdmissionRequest:
    """One request as admission sees it.

    Attributes
    ----------
    cost_ms
        Prefill that it adds.
    expected_ms
        Expected time to its first token; None when it is not known.
    remaining_ms
        Time to its deadline.
    """

    workspace: str
    priority: int
    cost_ms: float
    expected_ms: float | None
    remaining_ms: float


def priority_weight(priority: int) -> float:
    """Return the part of the free queue that a priority may use.

    The lowest priority is refused first, when half of the queue is in use; the
    highest may use nearly all that is left.
    """
    return 0.5 * 4.0 ** (priority / MAX_PRIORITY)


def can_meet_deadline(load: AdmissionRequest) -> bool:
    """Tell whether the first token can be expected before the deadline.

    Lower priorities keep a distance to it, so that under load they go first.
    """
    if load.expected_ms is None:
        return True
    headroom = MIN_HEADROOM + (1.0 - MIN_HEADROOM) * load.priority / MAX_PRIORITY
    return load.expected_ms <= load.remaining_ms * headroom


def queue_capacity_ms(targets: int, members: int, deadline_ms: float) -> float:
    """Return the queue that one daemon may keep at a pool, in milliseconds.

    Never below one engine's: a daemon that shares few engines with many others
    must still be able to send.
    """
    return max(MIN_QUEUE_MS, QUEUE_DEADLINE_SHARE * deadline_ms) * max(
        1.0, targets / max(1, members)
    )
