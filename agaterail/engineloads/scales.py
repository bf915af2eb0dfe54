"""Figures of engines as one byte each."""

from __future__ import annotations

import math
import sys
from bisect import bisect_right

MAX_CODE = 254
UNKNOWN_CODE = 255


class LogScale:
    """Logarithmic scale from 0 to a largest value; all above it count as that.

    Parameters
    ----------
    unit
        Value below which steps are about constant; relative to the value above it.
    largest
        Largest value.
    unknown
        Value of the code for what is not known.

    Attributes
    ----------
    values
        Value of each code.
    bounds
        Values from which the next code holds.
    """

    def __init__(self, unit: float, largest: float, unknown: float = 0.0) -> None:
        factor = MAX_CODE / math.log1p(largest / unit)
        self.values = [unit * math.expm1(code / factor) for code in range(UNKNOWN_CODE)]
        self.values.append(unknown)
        self.bounds = [unit * math.expm1((code + 0.5) / factor) for code in range(MAX_CODE)]
        self.bounds.append(sys.float_info.max)

    def encode(self, value: float) -> int:
        """Return the code of a value; infinity is what is not known."""
        return bisect_right(self.bounds, value)


class RatioScale:
    """Logarithmic scale of ratios around 1."""

    def __init__(self, largest: float) -> None:
        self.limit = math.log(largest)
        middle = MAX_CODE / 2.0
        self.factor = middle / self.limit
        self.middle = round(middle)
        self.values = [
            math.exp((code - self.middle) / self.factor) for code in range(UNKNOWN_CODE)
        ]
        self.values.append(1.0)

    def encode(self, ratio: float) -> int:
        """Return the code of a positive ratio."""
        log = max(-self.limit, min(self.limit, math.log(ratio)))
        return self.middle + round(self.factor * log)


STREAMS = LogScale(unit=8.0, largest=10_000.0)
TOKENS = LogScale(unit=64.0, largest=1e7)
HEARD_S = LogScale(unit=0.05, largest=600.0, unknown=float("inf"))
PACE = RatioScale(largest=4.0)
