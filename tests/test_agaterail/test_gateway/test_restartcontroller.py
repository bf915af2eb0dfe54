from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace

import gevent
from returns.result import Failure, Success

from agaterail.gateway.restartcontroller import CONFIRMED_VALID_S, RestartController
from agaterail.gateway.targets import Registration, Target
from tests.build_fleet import BuildsTest
from tests.gateway_fleet import LLM


def make_target(**fields):
    values = {"weights": {"m": 1}, "born": 5, "build": "v1", **fields}
    registration = Registration(
        instance="i-1", service="s", address="10.0.0.1:80", domain="z", ready=True, **values
    )
    return Target(registration=registration)


class RestartControllerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.answers = Success(SimpleNamespace(born=5))
        self.asked = 0
        self.controller = RestartController(self.report, lambda: self.now)

    def report(self, _target):
        self.asked += 1
        gevent.sleep(0.01)
        return self.answers

    def test_a_presumption_that_a_target_leaves_outlasts_its_answer(self):
        """Guards against engines out of use, and against requests to those that leave."""
        for leaving in (False, True):
            with self.subTest(leaving=leaving):
                target = make_target()
                target.leaving, target.presumed_until = True, 200.0
                self.answers = Success(SimpleNamespace(born=5, leaving=leaving))
                self.controller.ask_presumed([target, make_target()])
                gevent.sleep(0.05)
                self.assertEqual(target.is_ready, not leaving)
                self.assertIsNone(target.presumed_until)

    def test_a_target_that_reports_its_registered_start_is_confirmed(self):
        target = make_target()
        self.assertTrue(self.controller.confirm(target))
        self.assertTrue(self.controller.confirm(target))
        self.assertEqual(self.asked, 1)
        self.now += 1.0
        self.assertTrue(self.controller.confirm(target))
        self.assertEqual(self.asked, 2)

    def test_requests_share_a_question(self):
        target = make_target()
        waiting = [gevent.spawn(self.controller.confirm, target) for _ in range(20)]
        gevent.joinall(waiting)
        self.assertTrue(all(item.value for item in waiting))
        self.assertEqual(self.asked, 1)

    def test_a_target_that_started_anew_or_does_not_answer_is_not_confirmed(self):
        """A registration read before a restart was taken for the present build."""
        for answers in (Success(SimpleNamespace(born=6)), Failure("refused")):
            with self.subTest(answers):
                self.answers = answers
                self.assertFalse(self.controller.confirm(make_target()))

    def test_a_break_leaves_the_build_unknown_until_the_target_answers(self):
        target = make_target()
        self.controller.record_break(target)
        self.assertEqual(target.build_at(opened_at=100.0), "")
        # A connection that has been open since before is to the former start.
        self.assertEqual(target.build_at(opened_at=99.0), "version:v1")
        gevent.sleep(0.05)
        self.assertEqual(target.build_at(opened_at=100.0), "version:v1")

    def test_an_answer_from_before_a_break_confirms_nothing(self):
        target = make_target()
        question = gevent.spawn(self.controller.confirm, target)
        gevent.sleep(0.005)
        self.now += 0.05
        target.record_break(self.now)
        question.join()
        self.assertFalse(question.value)
        self.assertEqual(target.build_at(opened_at=self.now), "")

    def test_a_restart_is_noticed_when_the_target_can_be_connected_again(self):
        """What a restarted engine said counted for its former start for seconds."""
        target = make_target()
        self.answers = Failure("refused")
        self.controller.record_break(target)
        with gevent.Timeout(0.5):
            while target.instance not in self.controller.silent:
                gevent.sleep(0.005)
        self.answers = Success(SimpleNamespace(born=6))
        self.controller.record_connect(target)
        gevent.sleep(0.02)
        self.assertEqual((self.asked, target.reported_born), (2, 6))
        self.controller.record_connect(target)
        self.assertFalse(self.controller.confirm(target))
        self.assertEqual(self.asked, 2)

    def test_connections_from_before_say_nothing_once_a_restart_is_reported(self):
        """A connection to the new start, opened before any break, passed for the former."""
        target = make_target()
        self.answers = Success(SimpleNamespace(born=6))
        self.controller.record_break(target)
        gevent.sleep(0.05)
        self.now += 1.0
        target.confirm(self.now)
        self.assertEqual(target.build_at(opened_at=99.0), "")

    def test_targets_that_serve_no_model_are_not_asked(self):
        target = make_target(weights={})
        self.assertTrue(self.controller.confirm(target))
        self.controller.record_break(target)
        gevent.sleep(0.02)
        self.assertEqual((self.asked, self.controller.confirm(target)), (0, False))

    def test_the_id_of_a_build_is_unknown_once_a_later_start_has_registered(self):
        target = make_target()
        target.replaced = True
        self.assertEqual(target.build_at(opened_at=99.0), "")


class RestartedEngineTest(BuildsTest):
    """An engine that starts again under its id, and whose registration is read later."""

    gateways = 2

    def test_streams_are_not_taken_up_at_another_build_under_the_same_id(self):
        """An engine was taken for the build that it had before its restart."""
        self.begin("r1")
        engine = self.engine_of("r1")
        [same] = [
            item for item in self.engines if item.build == engine.build and item != engine
        ]
        engine.build, engine.born = "v9", 2
        answer = self.take_up("s1", "r1", "3")
        self.assertEqual((answer.builds, answer.whole_stream), ({same.build}, True))
        gevent.sleep(CONFIRMED_VALID_S)
        same.build, same.born = "v9", 2
        answer = self.take_up("s2", "r1", "3")
        self.assertEqual((answer.status, answer.builds), (503, set()))
        self.assertEqual(sum(run.request_id == "s2" for run in self.fleet.runs()), 0)

    def test_streams_that_break_do_not_go_on_at_another_build_under_the_same_id(self):
        """A stream went on at an engine that had started anew since its registration."""
        self.fleet.ask("/resumed/x", request_id="r0", stream=True)
        engine = self.engine_of("r0")
        for item in self.engines:
            if item is not engine and item.build == engine.build:
                item.build, item.born = "v9", 2
        answer = self.begin("r1", goes_on=True)
        self.assertEqual((answer.builds, answer.whole_stream), ({engine.build}, False))

    def test_a_stream_that_begins_after_a_break_is_of_an_unknown_build(self):
        """A stream was recorded with the build that its engine had before its restart."""
        self.fleet.ask("/resumed/x", request_id="r0", stream=True)
        engine = self.engine_of("r0")
        daemon = self.daemons[0]
        target = daemon.registry.targets[engine.instance]
        daemon.restarts.report = lambda _target: Failure("no answer")
        daemon.restarts.record_break(target)
        daemon.connection_pool.drop(target)
        self.begin("r1")
        self.assertEqual(self.engine_of("r1"), engine)
        self.assertEqual(self.take_up("s1", "r1", "3").status, 503)
        self.assertEqual(len(daemon.registry.of_service(LLM)), 4)

    def test_idle_connections_that_end_show_a_possible_restart(self):
        """A host whose connections were idle took a restarted engine for the former one."""
        self.fleet.ask("/resumed/x", request_id="r0", stream=True)
        engine = self.engine_of("r0")
        daemon = self.daemons[0]
        target = daemon.registry.targets[engine.instance]
        daemon.restarts.report = lambda _target: Failure("no answer")
        for connection in daemon.connection_pool.idle[engine.instance]:
            connection.sock.shutdown(socket.SHUT_RDWR)
        self.fleet.ask("/resumed/x", request_id="r1", stream=True)
        self.assertEqual(self.engine_of("r1"), engine)
        self.assertFalse(target.is_confirmed)
        self.assertEqual(self.take_up("s1", "r1", "3").status, 503)

    def test_a_stream_that_a_restarted_engine_began_unnoticed_does_not_go_on(self):
        """A host without connections to an engine took its new start for the former one."""
        self.fleet.ask("/resumed/x", request_id="r0", stream=True)
        engine = self.engine_of("r0")
        former = engine.build
        engine.build, engine.born = "v9", 2
        answer = self.begin("r1", goes_on=True)
        self.assertEqual(self.engine_of("r1"), engine)
        self.assertEqual((answer.builds, answer.whole_stream), ({"v9"}, False))
        self.assertTrue(any(item.build == former for item in self.engines))
        gevent.sleep(0.05)
        self.assertEqual(self.take_up("s1", "r1", "3").status, 503)

    def test_a_restart_in_an_outage_of_the_store_joins_two_builds(self):
        """Guards against a stream that goes on at the build of an engine's former start.

        The store is silent, so that the new start is not read, and the engine is gone when
        its stream has broken off, so that it cannot be asked.
        """
        engine = self.restart_unnoticed()
        answer = self.begin("r1", goes_on=True)
        self.assertEqual(self.engine_of("r1"), engine)
        self.assertEqual((answer.builds, answer.whole_stream), ({"v9"}, False))
        self.assertEqual(self.take_up("s1", "r1", "3").status, 503)

    def test_a_hedge_in_an_outage_of_the_store_joins_two_builds(self):
        """Guards against a hedge at the build of an engine's former start."""
        engine = self.restart_unnoticed()
        engine.pause_before, engine.pause_s = 4, 1.3
        answer = self.fleet.ask("/resumed/x", request_id="r1", stream=True)
        self.assertEqual(self.engine_of("r1"), engine)
        self.assertEqual(answer.builds, {"v9"})

    def restart_unnoticed(self):
        """Start an engine with another build while the store is silent; return it.

        No daemon has a connection to it, and it does not answer questions.
        """
        self.fleet.ask("/resumed/x", request_id="r0", stream=True)
        engine = self.engine_of("r0")
        for daemon in self.daemons:
            target, report = daemon.registry.targets[engine.instance], daemon.restarts.report
            daemon.restarts.report = lambda item, gone=target, report=report: (
                Failure("no answer") if item is gone else report(item)
            )
            daemon.connection_pool.drop(target)
        self.fleet.store.silent = True
        self.addCleanup(setattr, self.fleet.store, "silent", False)
        gevent.sleep(1.6)  # longer than readings come apart
        engine.build, engine.born = "v9", 2
        return engine
