from __future__ import annotations

import unittest

from tools.run_tests import _test_id


def make_failing_case() -> unittest.TestCase:
    class Case(unittest.TestCase):
        def runTest(self):  # noqa: N802
            for number in range(2):
                with self.subTest(number):
                    self.fail()

    return Case()


class TestIdTest(unittest.TestCase):
    def test_subtests_count_as_their_test(self):
        # Two failed subtests of one test closed a run with "-1 passed, 2 failed", and a
        # known red test with subtests failed the run.
        case, result = make_failing_case(), unittest.TestResult()
        case.run(result)
        self.assertEqual(len(result.failures), 2)
        self.assertEqual({_test_id(test) for test, _ in result.failures}, {case.id()})
