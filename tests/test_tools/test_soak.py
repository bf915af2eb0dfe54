from __future__ import annotations

import pathlib
import tempfile
import unittest
from unittest import mock

import gevent

from tools.soak import run, testbed
from tools.soak.run import soak

# Regression seeds, each with the cause of its failure:
# 1: the check reported requests that were in flight at the end as cut.
# 136: the target stand-in executed a request that was cut within its head.
SEEDS = (1, 136)
SECONDS = 5.0
# Long enough for a limit that an engine names to bind for a whole window.
NOTICES_SEED, NOTICES_SECONDS = 11, 12.0
# Long enough for a cut that gateways have learned of.
CUTS_SEED, CUTS_SECONDS = 8, 12.0
# The former product broke 8 streams of this seed.
BUILDS_SEED, BUILDS_SECONDS = 6, 12.0


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_short_fault_series(self):
        for seed in SEEDS:
            with self.subTest(seed), tempfile.TemporaryDirectory() as folder:
                result = soak(seed, SECONDS, 3, 8, pathlib.Path(folder))
                self.assertEqual(result.problems, [])

    def test_guarantees_hold_while_engines_name_limits_rest_and_leave(self):
        with tempfile.TemporaryDirectory() as folder:
            result = soak(NOTICES_SEED, NOTICES_SECONDS, 4, 16, pathlib.Path(folder))
            self.assertEqual(result.problems, [])

    def test_callers_are_served_while_gateways_have_no_paths(self):
        with tempfile.TemporaryDirectory() as folder:
            result = soak(CUTS_SEED, CUTS_SECONDS, 4, 12, pathlib.Path(folder), with_cuts=True)
            self.assertEqual(result.problems, [])

    def test_streams_are_of_one_build_while_engines_of_several_serve(self):
        with tempfile.TemporaryDirectory() as folder:
            result = soak(
                BUILDS_SEED, BUILDS_SECONDS, 4, 16, pathlib.Path(folder), with_builds=True
            )
            self.assertEqual(result.problems, [])

    def test_gateway_that_two_faults_start_is_started_once(self):
        """A second process of a gateway went on after the run, as nobody knew it."""
        started = []

        def start_slowly(*_, **__):
            gevent.sleep(0.01)
            started.append(mock.Mock(poll=lambda: None))
            return started[-1]

        gateway = testbed.Gateway("g-0", "", mock.Mock(), pathlib.Path("g-0.cut"), "", "")
        bed = testbed.Testbed.__new__(testbed.Testbed)
        bed.gateway_module = "agaterail.gateway"
        with mock.patch.object(testbed.subprocess, "Popen", start_slowly):
            gevent.joinall([gevent.spawn(bed.start, gateway) for _ in range(2)])
        self.assertEqual(len(started), 1)

    def test_slow_start_is_reported_as_problem(self):
        """A slow start aborted a series of seeds without showing how far the start came."""
        limits = mock.patch.multiple(run, START_TIMEOUT_S=0.0, START_TIMEOUT_S_PER_GATEWAY=0.0)
        with limits, tempfile.TemporaryDirectory() as folder:
            result = soak(1, SECONDS, 1, 1, pathlib.Path(folder))
        self.assertIn("g-0: not ready after 0.0 s", result.problems[0])
