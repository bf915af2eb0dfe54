"""Engines that end at a part of a prompt, behind several gateways."""

from __future__ import annotations

import itertools
import unittest

import gevent

from tests.gateway_fleet import LLM, MODEL, Fleet

FATAL_PART = "bad"
SHARED_PART = "ab"
SHARED_PARTS = f"{SHARED_PART}:60"
ENGINES = 6
BACK_S = 0.6


class CrashingPartTest(unittest.TestCase):
    """Each engine ends when it begins to answer a prompt with one part, and comes back."""

    gateways = 3
    crash_after = 0

    def setUp(self):
        self.fleet = Fleet(gateways=self.gateways)
        self.addCleanup(self.fleet.stop)
        for number in range(2, ENGINES):
            self.fleet.add_target(f"e-{number}", LLM, MODEL)
        self.fleet.wait(
            lambda: all(len(d.registry.targets) == ENGINES + 2 for d in self.fleet.daemons)
        )
        for engine in self.engines:
            engine.crash_parts, engine.crash_after = frozenset({FATAL_PART}), self.crash_after
            self.fleet.restart_after_crashes(engine.instance, BACK_S)
        self.numbers = itertools.count()

    @property
    def engines(self):
        return [item for item in self.fleet.targets.values() if item.model]

    @property
    def fatal_arrivals(self):
        """Return how often a request with the part reached an engine."""
        return sum(
            request_id.startswith("fatal")
            for engine in self.engines
            for _, request_id in engine.arrivals
        )

    def ask(self, name, parts, path="/resumed/x"):
        """Send a request to the gateways in turn; return the answer."""
        number = next(self.numbers)
        parts = f"{parts},{number:x}0:40"
        return self.fleet.ask(
            path,
            number % len(self.fleet.daemons),
            request_id=f"{name}-{number}",
            stream=True,
            parts=parts,
        )

    def ask_fatal(self, **fields):
        return self.ask("fatal", f"{SHARED_PARTS},{FATAL_PART}:20", **fields)

    def ask_sound(self, parts=SHARED_PARTS, **fields):
        return self.ask("sound", parts, **fields)

    def share_served(self, count):
        answers = [self.ask_sound() for _ in range(count)]
        return sum(answer.whole_stream for answer in answers) / count

    def wait_for_engines(self):
        """Wait until all engines are back and in use again."""
        gevent.sleep(BACK_S)
        self.fleet.wait(
            lambda: all(
                target.is_usable(daemon.now())
                for daemon in self.fleet.daemons
                for target in daemon.registry.of_service(LLM)
            )
        )
