from __future__ import annotations

import unittest

from agaterail.errors import ErrorKind
from agaterail.gateway.desired import RequestKind
from agaterail.gateway.retrystate import AttemptOutcome, RetryState
from tests.test_agaterail.test_gateway.test_desired import make_route


class RetryStateTest(unittest.TestCase):
    def test_a_request_that_must_not_run_twice_ends_once_it_may_have_run(self):
        # The connection breaks after the request was sent: it may have run.
        # The caller is told so (502) and nothing is sent again.
        attempts = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        attempts.record_outcome("i-1", AttemptOutcome.BROKEN)
        self.assertFalse(attempts.may_try_another(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_LOST)

    def test_it_goes_on_while_targets_say_that_it_did_not_run(self):
        attempts = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=1))
        attempts.record_outcome("i-1", AttemptOutcome.REFUSED)
        self.assertTrue(attempts.may_try_another(1.0))
        attempts.record_outcome("i-2", AttemptOutcome.NOT_CONNECTED)
        self.assertTrue(attempts.may_try_another(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.NO_TARGET)

    def test_a_request_that_only_was_refused_is_answered_as_not_run(self):
        attempts = RetryState(make_route(kind=RequestKind.UNSAFE))
        for number in range(3):
            attempts.record_outcome(f"i-{number}", AttemptOutcome.REFUSED)
        self.assertFalse(attempts.may_try_another(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_REFUSED)

    def test_runs_are_bounded_by_the_route(self):
        attempts = RetryState(make_route(max_attempts=2))
        attempts.record_outcome("i-1", AttemptOutcome.FAILED)
        self.assertTrue(attempts.may_try_another(1.0))
        attempts.record_outcome("i-2", AttemptOutcome.SILENT)
        self.assertFalse(attempts.may_try_another(1.0))
        self.assertIs(attempts.error_kind(), ErrorKind.TARGET_TIMEOUT)

    def test_nothing_is_sent_that_cannot_be_answered_in_time(self):
        self.assertFalse(RetryState(make_route()).may_try_another(0.001))

    def test_the_timeout_is_all_time_left_without_further_attempts(self):
        once = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        self.assertEqual(once.first_byte_timeout_s(0.6), 0.6)
        last = RetryState(make_route(max_attempts=1))
        self.assertEqual(last.first_byte_timeout_s(0.6), 0.6)

    def test_the_timeout_leaves_time_for_a_second_target(self):
        attempts = RetryState(make_route(max_attempts=2))
        self.assertLess(attempts.first_byte_timeout_s(0.6), 0.3)
        stream = RetryState(
            make_route(
                kind=RequestKind.STREAM,
                resumable=True,
                prompted=True,
                max_attempts=2,
                objective_s=0.5,
            )
        )
        self.assertGreaterEqual(stream.first_byte_timeout_s(2.0), 1.0)
