"""Run the unit tests and print ``N passed, N failed`` as the last line.

Tests listed in KNOWN-RED.txt may fail; such failures are printed as known and count
neither as passed nor as failed.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import pathlib
import sys
import time
import unittest

import hypothesis

from agaterail import logs

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
SLOWEST_SHOWN = 5


class TimedResult(unittest.TextTestResult):
    """Test result that also records the duration of each test."""

    def __init__(self, *arguments: object, **named: object) -> None:
        super().__init__(*arguments, **named)  # type: ignore[arg-type]
        self.times: list[tuple[float, str]] = []
        self.started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the start time."""
        self.started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the duration."""
        self.times.append((time.monotonic() - self.started_at, test.id()))
        super().stopTest(test)


def main() -> None:
    """Run the tests with the given dotted names, or all tests if there are none."""
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None, print_blob=False
    )
    hypothesis.settings.load_profile("ci")
    logs.configure("error")
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(resultclass=TimedResult, verbosity=1, buffer=True)
    result = runner.run(suite)
    assert isinstance(result, TimedResult)
    known = _known_red_tests()
    broken = {_test_id(test) for test, _ in [*result.failures, *result.errors]}
    red = sorted(broken & known)
    failed = len(broken) - len(red) + len(result.unexpectedSuccesses)
    for seconds, name in sorted(result.times, reverse=True)[:SLOWEST_SHOWN]:
        print(f"slow: {seconds:.2f} s {name}")
    for name in red:
        print(f"known red: {name}")
    for command in _known_red_commands():
        print(f"known red, not run here: {command}")
    passed = result.testsRun - len(broken) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed or len(known) > MAX_KNOWN_RED or not result.testsRun else 0)


def _test_id(test: unittest.TestCase) -> str:
    """Return the id of a test, also for one of its subtests."""
    return getattr(test, "test_case", test).id()


def _known_red_tests() -> set[str]:
    return {line.split()[0] for line in _known_red_lines()}


def _known_red_commands() -> list[str]:
    """Return the lines that name a command to run by hand instead of a test."""
    return [line for line in _known_red_lines() if not line.startswith("tests.")]


def _known_red_lines() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


if __name__ == "__main__":
    main()
