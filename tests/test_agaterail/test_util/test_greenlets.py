from __future__ import annotations

import unittest
from unittest import mock

import gevent

from agaterail.util.greenlets import run_forever


class RunForeverTest(unittest.TestCase):
    def test_a_step_that_raises_is_logged_and_the_next_one_runs(self):
        # A bug in one step must not end the loop that keeps the daemon up to date.
        logger = mock.Mock()
        steps = iter([None, ValueError("no"), None, gevent.GreenletExit()])

        def step():
            found = next(steps)
            if found is not None:
                raise found

        with self.assertRaises(gevent.GreenletExit):
            run_forever(step, logger, "Raised.", 0.0, store="s")
        logger.exception.assert_called_once_with("Raised.", store="s")
        self.assertIsNone(next(steps, None))


if __name__ == "__main__":
    unittest.main()
