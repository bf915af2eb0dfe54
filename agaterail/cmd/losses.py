"""The ``losses`` command: why requests got no complete answer in time."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from agaterail.cmd.story import read_logs
from agaterail.losses import find_losses
from agaterail.requesttrace import parse_log_lines

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.losses import LossGroup

EXIT_USAGE = 2
MAX_SLOTS = 5


def print_losses(paths: Sequence[str], slot_s: int) -> int:
    """Print the losses found in logs, largest group first; return the exit status."""
    if slot_s < 1:
        print("--slot: must be at least one second.", file=sys.stderr)
        return EXIT_USAGE
    texts = read_logs(paths)
    if texts is None:
        return EXIT_USAGE
    for loss in find_losses(parse_log_lines(texts), slot_s):
        print(f"{loss.count:6} {loss.cause.value:36} route={loss.route}", end="")
        if loss.urgency is not None:
            print(f" urgency={loss.urgency}", end="")
        print(f" e.g. {' '.join(loss.examples)}")
        print(f"       {_peak_slots(loss)}")
    return 0


def _peak_slots(loss: LossGroup) -> str:
    worst = sorted(loss.by_slot.items(), key=lambda item: -item[1])[:MAX_SLOTS]
    return ", ".join(f"{_clock(slot)} {count}" for slot, count in sorted(worst))


def _clock(seconds_of_day: int) -> str:
    return time.strftime("%H:%M:%S", time.gmtime(seconds_of_day))
