"""Whether a process falls behind with its work, by how late its timers are."""

from __future__ import annotations

import attrs

# A plain request is due within some tenths of a second, and each step of it waits for
# one pass of the event loop.
LATE_S = 0.1
ON_TIME_S = 0.03
# A single late call follows from a pause, such as the decoding of a large record.
LATE_CALLS = 3
# New connections come in at once when a process accepts them again.
RECOVERY_S = 0.5


@attrs.define
class Saturation:
    """State of one process; does no I/O.

    Attributes
    ----------
    is_saturated
        Whether the process does not keep up.
    late_calls
        Consecutive late calls.
    on_time_since
        Time of the first of the consecutive calls that were on time; None after another.
    """

    is_saturated: bool = False
    late_calls: int = 0
    on_time_since: float | None = None

    def record(self, late_s: float, now: float) -> bool:
        """Record how late a periodic call was; return whether the state has changed."""
        before = self.is_saturated
        self.late_calls = self.late_calls + 1 if late_s >= LATE_S else 0
        if late_s > ON_TIME_S:
            self.on_time_since = None
        elif self.on_time_since is None:
            self.on_time_since = now
        if self.late_calls >= LATE_CALLS:
            self.is_saturated = True
        elif self.on_time_since is not None and now - self.on_time_since >= RECOVERY_S:
            self.is_saturated = False
        return self.is_saturated != before
