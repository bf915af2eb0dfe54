"""Answers that have neither a length nor chunks and end with their connection."""

from __future__ import annotations

import itertools
import unittest

from standins.path_cuts import CutKind, PathCut
from tests.gateway_fleet import LLM, Fleet

EVENTS = 8


class UndelimitedAnswersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(gateways=2)
        self.addCleanup(self.fleet.stop)
        for target in self.fleet.targets.values():
            target.undelimited = True

    def set_all(self, **faults):
        for target in self.fleet.targets.values():
            for name, value in faults.items():
                setattr(target, name, value)

    def stream(self, request_id="r1", path="/resumed/x", **fields):
        return self.fleet.ask(path, request_id=request_id, stream=True, **fields)

    def test_a_stream_whose_engine_ended_is_broken_off(self):
        """A caller took a stream for complete whose engine had ended after some events."""
        for name in ("e-0", "e-1"):
            engine = self.fleet.targets[name]
            engine.crash_parts, engine.crash_after = frozenset({"ab"}), 3
        self.assertFalse(self.stream("r1", "/once/x").whole_stream)

    def test_whole_answers_are_whole_and_their_connections_are_not_used_again(self):
        for number in range(3):
            plain = self.fleet.ask("/safe/x", request_id=f"p{number}")
            self.assertEqual((plain.status, plain.body.count(b" p%d" % number)), (200, 20))
            for path in ("/resumed/x", "/once/x"):
                answer = self.stream(f"s{number}", path)
                self.assertTrue(answer.whole_stream)
                self.assertEqual(len(answer.events), EVENTS)
        idle = self.fleet.daemons[0].connection_pool.idle
        for connection in itertools.chain.from_iterable(idle.values()):
            self.assertEqual(connection.head_bytes, 0)  # it has carried no answer

    def test_a_stream_that_ends_inside_an_event_is_broken_off(self):
        """A caller took a stream for complete whose last event had been cut."""
        self.set_all(cut_after=9)
        self.assertFalse(self.stream("r1", "/once/x").whole_stream)
        answer = self.stream("r2")
        self.assertFalse(answer.whole_stream)
        self.assertEqual(len(answer.events), EVENTS - 1)

    def test_a_stream_without_an_event_is_broken_off(self):
        """A caller took a stream for complete whose engine had ended at its beginning."""
        self.set_all(events=0)
        answer = self.stream("r1", "/once/x")
        self.assertFalse(answer.whole_stream)
        self.assertNotEqual(answer.status, 200)

    def test_a_reset_is_no_end(self):
        self.set_all(reset=True)
        self.assertNotEqual(self.fleet.ask("/unsafe/x", body=b"x").status, 200)
        self.assertFalse(self.stream("r1", "/once/x").whole_stream)

    def test_a_stream_that_was_broken_off_goes_on_at_another_engine(self):
        self.fleet.targets["e-0"].cut_after = 9
        for number in range(4):
            answer = self.stream(f"r{number}")
            self.assertTrue(answer.whole_stream)
            self.assertEqual(len(answer.events), EVENTS)

    def test_the_beginning_of_a_head_is_no_answer(self):
        """A caller got an empty 200 of a target that had stopped within its head."""
        cuts = (1, 12, 16, 17, 40, 60)
        for undelimited, cut in itertools.product((True, False), cuts):
            self.set_all(undelimited=undelimited, cut_head=cut)
            for path in ("/safe/x", "/unsafe/x"):
                with self.subTest(undelimited=undelimited, cut=cut, path=path):
                    request_id = f"{undelimited}-{cut}{path}"
                    plain = self.fleet.ask(path, request_id=request_id, body=b"x")
                    self.assertGreaterEqual(plain.status, 500)
            for path in ("/resumed/x", "/once/x"):
                with self.subTest(undelimited=undelimited, cut=cut, path=path):
                    answer = self.stream(f"{undelimited}-{cut}{path}", path)
                    self.assertGreaterEqual(answer.status, 500)

    def test_forwarded_answers(self):
        """The daemon that forwards must not make a broken answer look whole."""
        PathCut(self.fleet.daemons[0]).begin(CutKind.RESET)
        self.stream("r0")
        self.fleet.wait(lambda: self.fleet.daemons[0].paths.is_lost(LLM))
        self.assertTrue(self.stream("r1").whole_stream)
        self.assertEqual(self.fleet.ask("/safe/x", request_id="p1").status, 200)
        self.set_all(cut_after=9)
        self.assertFalse(self.stream("r2", "/once/x").whole_stream)
        self.set_all(cut_head=40)
        self.assertNotEqual(self.stream("r3", "/once/x").status, 200)
        self.assertNotEqual(self.fleet.ask("/safe/x", request_id="p2").status, 200)
