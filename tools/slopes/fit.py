"""Measurement of processor time and memory, and linear fits through the points."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs

MIN_POINTS = 3


@attrs.frozen
class Point:
    """One measured value at one size."""

    size: float
    value: float


@attrs.frozen
class Slope:
    """Least-squares line through points.

    Attributes
    ----------
    per
        Unit of the size.
    error
        Root mean square of the residuals, divided by the mean value.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    error: float

    def __str__(self) -> str:
        sizes = " ".join(f"{point.size:g}:{point.value:.4g}" for point in self.points)
        return (
            f"{self.name:28} {self.slope:12.5g} {self.unit}/{self.per:10} "
            f"+ {self.intercept:10.4g}  error {self.error * 100:5.1f}%  {sizes}"
        )


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through the points.

    Raises
    ------
    ValueError
        If there are fewer than three points.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"{name}: a fit needs at least {MIN_POINTS} points")
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [
        (value - slope * size - intercept) ** 2
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = statistics.fmean(values)
    error = statistics.fmean(squares) ** 0.5 / mean if mean else 0.0
    return Slope(name, unit, per, tuple(points), slope, intercept, error)


def cpu_s(action: Callable[[], object], repeat: int = 3) -> float:
    """Return the shortest processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(repeat):
        started = time.process_time()
        action()
        best = min(best, time.process_time() - started)
    return best


def retained_bytes(build: Callable[[], object]) -> int:
    """Return the bytes retained by a new object and everything it references."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before
