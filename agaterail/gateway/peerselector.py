"""Selection of the reader that a daemon polls next, with backoff per peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Iterable

# Exponential backoff of a peer whose poll failed. Each poll of a reader that is cut off
# from the store may make the polling daemon read the store itself for a second.
INITIAL_BACKOFF_S = 2.5
MAX_BACKOFF_S = 10.0
# How long the store is read directly after two consecutive failures, or after one when
# few readers are left. The next peer may be cut off too, and changes must not wait for
# a third poll.
DIRECT_READ_S = 1.0
FAILURES_BEFORE_DIRECT_READ = 2
# With fewer other readers than this, one failure is enough to read the store directly.
# The others may be cut off as well, and polling each takes a full wait: when the store
# refused both of two readers at once, a daemon kept the former desired state for longer
# than allowed. With three or more readers, the last one shows its silence one wait
# after the first.
MIN_OTHER_READERS = 2


@attrs.define
class PeerSelector:
    """Round-robin over the readers, with backoff per peer; does no I/O.

    After a failed poll the next reader is polled at once if there are several others.
    If few are left, the store is read directly instead.

    Attributes
    ----------
    poll_count
        Position in the round-robin; daemons start at different positions.
    direct_until
        Time until which the store is read directly.
    consecutive_failures
        Failed polls of any peer since the last success.
    failures
        Consecutive failed polls of each peer.
    backoff_until
        Time until which each failed peer is not polled.
    """

    poll_count: int = 0
    direct_until: float = 0.0
    consecutive_failures: int = 0
    failures: dict[str, int] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)

    def available(self, readers: Iterable[str], own: str, now: float) -> list[str]:
        """Return the readers that may be polled; none in backoff and not this daemon."""
        return [
            address
            for address in readers
            if address != own and now >= self.backoff_until.get(address, 0.0)
        ]

    def pick(self, available: list[str]) -> str:
        """Return the next of the available readers."""
        self.poll_count += 1
        return available[self.poll_count % len(available)]

    def record_success(self, address: str) -> None:
        """Reset the backoff of a peer."""
        self.failures.pop(address, None)
        self.backoff_until.pop(address, None)
        self.consecutive_failures = 0

    def record_failure(self, address: str, others: int, now: float) -> bool:
        """Back off from a peer; return whether to read the store directly.

        Parameters
        ----------
        others
            Number of other readers that may be polled.
        """
        before = self.failures.get(address, 0)
        self.failures[address] = before + 1
        self.backoff_until[address] = now + backoff_s(before, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.consecutive_failures += 1
        if (
            others < MIN_OTHER_READERS
            or self.consecutive_failures >= FAILURES_BEFORE_DIRECT_READ
        ):
            self.direct_until = now + DIRECT_READ_S
            return True
        return False

    def reset(self) -> None:
        """Clear all backoffs, after an outage of the store that hit this daemon too."""
        self.failures.clear()
        self.backoff_until.clear()
        self.consecutive_failures = 0
