from __future__ import annotations

import unittest

from agaterail.errors import ErrorKind
from agaterail.gateway.desired import RequestKind
from agaterail.gateway.retrystate import AttemptOutcome, RetryState
from tests.test_agaterail.test_gateway.test_desired import make_route


class RetryStateTest(unittest.TestCase):
    def test_an_at_most_once_request_is_not_retried_once_it_may_have_run(self):
        # The connection breaks after the request was sent, so it may have run. The
        # caller gets a 502 that says so, and nothing is sent again.
        retry_state = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        retry_state.record_outcome("i-1", AttemptOutcome.BROKEN)
        self.assertFalse(retry_state.may_try_another(1.0))
        self.assertIs(retry_state.error_kind(), ErrorKind.TARGET_LOST)

    def test_a_request_that_did_not_run_is_sent_to_another_target(self):
        retry_state = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=1))
        retry_state.record_outcome("i-1", AttemptOutcome.REFUSED)
        self.assertTrue(retry_state.may_try_another(1.0))
        retry_state.record_outcome("i-2", AttemptOutcome.NOT_CONNECTED)
        self.assertTrue(retry_state.may_try_another(1.0))
        self.assertIs(retry_state.error_kind(), ErrorKind.NO_TARGET)

    def test_a_request_that_all_targets_refused_fails_as_not_run(self):
        retry_state = RetryState(make_route(kind=RequestKind.UNSAFE))
        for number in range(3):
            retry_state.record_outcome(f"i-{number}", AttemptOutcome.REFUSED)
        self.assertFalse(retry_state.may_try_another(1.0))
        self.assertIs(retry_state.error_kind(), ErrorKind.TARGET_REFUSED)

    def test_max_attempts_of_the_route_limits_runs(self):
        retry_state = RetryState(make_route(max_attempts=2))
        retry_state.record_outcome("i-1", AttemptOutcome.FAILED)
        self.assertTrue(retry_state.may_try_another(1.0))
        retry_state.record_outcome("i-2", AttemptOutcome.SILENT)
        self.assertFalse(retry_state.may_try_another(1.0))
        self.assertIs(retry_state.error_kind(), ErrorKind.TARGET_TIMEOUT)

    def test_no_attempt_starts_with_too_little_time_left(self):
        self.assertFalse(RetryState(make_route()).may_try_another(0.001))

    def test_the_timeout_is_all_time_left_without_further_attempts(self):
        once = RetryState(make_route(kind=RequestKind.UNSAFE, max_attempts=3))
        self.assertEqual(once.first_byte_timeout_s(0.6), 0.6)
        last = RetryState(make_route(max_attempts=1))
        self.assertEqual(last.first_byte_timeout_s(0.6), 0.6)

    def test_the_timeout_leaves_time_for_a_second_target(self):
        retry_state = RetryState(make_route(max_attempts=2))
        self.assertLess(retry_state.first_byte_timeout_s(0.6), 0.3)
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
