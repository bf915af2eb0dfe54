from __future__ import annotations

import unittest

from agaterail.errors import ErrorKind
from agaterail.gateway.attempts import AttemptOutcome, Attempts
from agaterail.gateway.desired import RequestKind
from tests.test_agaterail.test_gateway.test_desired import make_route


class AttemptsTest(unittest.TestCase):
    def test_a_request_that_must_not_run_twice_ends_once_it_may_have_run(self):
        # The connection breaks after the request was sent: it may have run.
        # The caller is told so (502) and nothing is sent again.
        attempts = Attempts(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        attempts.note("i-1", AttemptOutcome.BROKEN)
        self.assertFalse(attempts.may_go_on(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_LOST)

    def test_it_goes_on_while_targets_say_that_it_did_not_run(self):
        attempts = Attempts(make_route(kind=RequestKind.UNSAFE, max_attempts=1))
        attempts.note("i-1", AttemptOutcome.REFUSED)
        self.assertTrue(attempts.may_go_on(1.0))
        attempts.note("i-2", AttemptOutcome.NOT_CONNECTED)
        self.assertTrue(attempts.may_go_on(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.NO_TARGET)

    def test_a_request_that_only_was_refused_is_answered_as_not_run(self):
        attempts = Attempts(make_route(kind=RequestKind.UNSAFE))
        for number in range(3):
            attempts.note(f"i-{number}", AttemptOutcome.REFUSED)
        self.assertFalse(attempts.may_go_on(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_REFUSED)

    def test_runs_are_bounded_by_the_route(self):
        attempts = Attempts(make_route(max_attempts=2))
        attempts.note("i-1", AttemptOutcome.FAILED)
        self.assertTrue(attempts.may_go_on(1.0))
        attempts.note("i-2", AttemptOutcome.SILENT)
        self.assertFalse(attempts.may_go_on(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_TIMEOUT)

    def test_nothing_is_sent_that_cannot_be_answered_in_time(self):
        self.assertFalse(Attempts(make_route()).may_go_on(0.001))

    def test_silence_is_waited_out_where_no_other_target_may_be_asked(self):
        once = Attempts(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        self.assertEqual(once.patience_s(0.6), 0.6)
        last = Attempts(make_route(max_attempts=1))
        self.assertEqual(last.patience_s(0.6), 0.6)

    def test_a_second_target_is_asked_while_it_can_still_answer(self):
        attempts = Attempts(make_route(max_attempts=2))
        self.assertLess(attempts.patience_s(0.6), 0.3)
        stream = Attempts(
            make_route(
                kind=RequestKind.STREAM,
                resumable=True,
                prompted=True,
                max_attempts=2,
                objective_s=0.5,
            )
        )
        self.assertGreaterEqual(stream.patience_s(2.0), 1.0)
