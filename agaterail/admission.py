"""Admission to a pool: fair between workspaces, and only what can be in time."""

from __future__ import annotations

import attrs

# Work that one daemon keeps waiting for a first token, for each engine that is
# its part of the pool: a part of the deadline, but never less than QUEUE_MS.
# More would only wait at the engines; less would refuse a short burst of cold
# prompts that all of them could still answer long before their deadline.
QUEUE_MS = 500.0
QUEUE_PART = 1 / 6
# Above this part of the free queue a workspace's requests go behind the others'.
LIGHT_SHARE = 0.25
MAX_PRIORITY = 9
SHARE_STEP = 0.05
# As the cost policy takes it: an engine of which nothing is known holds a prefix
# about every second time.
FIRST_SHARE = 0.5
LOWEST_HEADROOM = 0.5
ROUNDING_MS = 1e-6


class FairGate:
    """Outstanding work for one pool, by workspace.

    A workspace may hold at most as much as is left free, times its weight
    (dynamic thresholds). One flooding workspace so ends with half of the queue
    and the rest stays open, without any count of who is active.

    Attributes
    ----------
    held
        Milliseconds of prefill sent and without a first token, by workspace.
    """

    def __init__(self) -> None:
        self.held: dict[str, float] = {}
        self.total = 0.0

    def admit(self, workspace: str, cost_ms: float, capacity_ms: float, weight: float) -> bool:
        """Take a request in, if its workspace holds less than its threshold."""
        if self.is_full(workspace, cost_ms, capacity_ms, weight):
            return False
        self.held[workspace] = self.held.get(workspace, 0.0) + cost_ms
        self.total += cost_ms
        return True

    def is_full(
        self, workspace: str, cost_ms: float, capacity_ms: float, weight: float
    ) -> bool:
        """Tell whether a workspace holds its threshold already."""
        held = self.held.get(workspace, 0.0)
        return held > 0.0 and held + cost_ms > weight * (capacity_ms - self.total)

    def leave(self, workspace: str, cost_ms: float) -> None:
        """Let a request go that has its first token or failed."""
        self.total = max(0.0, self.total - cost_ms)
        left = self.held[workspace] - cost_ms
        self.held[workspace] = left
        if left <= ROUNDING_MS:
            del self.held[workspace]

    def is_light(self, workspace: str, cost_ms: float, capacity_ms: float) -> bool:
        """Tell whether a workspace holds little even with one more request.

        Measured by what is free: when many small workspaces fill the queue
        together, none is light. Together they could else keep the engines busy
        and the requests behind them would wait until their deadlines.
        """
        held = self.held.get(workspace, 0.0) + cost_ms
        return held <= LIGHT_SHARE * (capacity_ms - self.total)


class MissShare:
    """Part of a prompt that usually must be computed, learnt from known hits.

    Without an answer from the engines' homes the hit is not known. Counted as a
    miss of the whole prompt, requests that the engines hold would be refused as
    soon as homes fall silent.
    """

    def __init__(self) -> None:
        self.value = FIRST_SHARE

    def learn(self, missing_tokens: int, prompt_tokens: int) -> None:
        """Take in one request whose hit was known."""
        share = missing_tokens / max(1, prompt_tokens)
        self.value += SHARE_STEP * (share - self.value)


@attrs.frozen
class Load:
    """One request as admission sees it.

    Attributes
    ----------
    cost_ms
        Prefill that it adds.
    expected_ms
        Expected time to its first token; None when it is not known.
    left_ms
        Time to its deadline.
    """

    workspace: str
    priority: int
    cost_ms: float
    expected_ms: float | None
    left_ms: float


def weight_of(priority: int) -> float:
    """Return the part of the free queue that a priority may use.

    The lowest priority is refused first, when half of the queue is in use; the
    highest may use nearly all that is left.
    """
    return 0.5 * 4.0 ** (priority / MAX_PRIORITY)


def in_time(load: Load) -> bool:
    """Tell whether the first token can be expected before the deadline.

    Lower priorities keep a distance to it, so that under load they go first.
    """
    if load.expected_ms is None:
        return True
    headroom = LOWEST_HEADROOM + (1.0 - LOWEST_HEADROOM) * load.priority / MAX_PRIORITY
    return load.expected_ms <= load.left_ms * headroom


def capacity_of(targets: int, members: int, deadline_ms: float) -> float:
    """Return the queue that one daemon may keep at a pool, in milliseconds.

    Never below one engine's: a daemon that shares few engines with many others
    must still be able to send.
    """
    return max(QUEUE_MS, QUEUE_PART * deadline_ms) * max(1.0, targets / max(1, members))
