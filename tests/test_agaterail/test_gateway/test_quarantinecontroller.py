from __future__ import annotations

import gevent

from tests.crashing_fleet import CrashingPartTest

FATAL_REQUESTS = 20
# The fifth crash, and the three requests that the rule allows after it.
MAX_ARRIVALS = 8


class QuarantineTest(CrashingPartTest):
    def send_fatal_requests(self):
        for _ in range(FATAL_REQUESTS):
            self.ask_fatal()
            self.ask_sound()
            gevent.sleep(0.1)

    def test_a_part_that_crashes_engines_reaches_few_of_them(self):
        """Each request with the part ended an engine, for as long as such requests came."""
        self.send_fatal_requests()
        self.assertLessEqual(self.fatal_arrivals, MAX_ARRIVALS)

    def test_sound_requests_are_served_while_a_fatal_part_keeps_coming(self):
        """Requests that share the other parts were lost with the engines."""
        self.send_fatal_requests()
        self.wait_for_engines()
        requests = [gevent.spawn(self.ask_fatal) for _ in range(10)]
        self.assertEqual(self.share_served(40), 1.0)
        gevent.joinall(requests)
