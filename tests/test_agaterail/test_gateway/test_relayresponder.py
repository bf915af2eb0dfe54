from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from agaterail.gateway import relayprotocol, relayresponder
from agaterail.gateway.inbound import InboundRequest
from agaterail.gateway.metrics import GatewayMetrics
from agaterail.gateway.relayresponder import FORGET_S, MAX_FORWARDED, RelayResponder

ORIGIN = "10.0.0.9:7"


class RelayResponderTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.obstacle = ""
        self.stopping = False
        self.handled = []
        self.responder = RelayResponder(
            lambda inbound, _caller, origin: self.handled.append((inbound.target, origin)),
            lambda _service: self.obstacle,
            lambda: self.stopping,
            lambda _service: 0.4,
            lambda: ["10.0.0.1:7", ORIGIN, "10.0.0.2:7"],
            GatewayMetrics(),
            lambda: self.time,
            random.Random(1),
        )

    def ask(self):
        query = relayprotocol.encode_query("s", ORIGIN).partition("?")[2]
        return relayprotocol.decode_status(self.responder.answer(query.encode())).unwrap()

    def forward(self):
        caller = SimpleNamespace(extra_lines=(), send_answer=mock.Mock())
        headers = [
            (b"Relay-From", ORIGIN.encode()),
            (b"Relay-Service", b"s"),
            (b"Relay-Tried", b"i-1"),
        ]
        inbound = InboundRequest(
            method=b"GET", target=relayprotocol.REQUEST_PREFIX + b"/x", headers=headers
        )
        self.responder.handle(inbound, caller)
        return caller

    def test_the_answer_names_other_daemons_than_the_one_that_asks(self):
        status = self.ask()
        self.assertEqual((status.reason, status.fraction), ("", 0.4))
        self.assertEqual(set(status.daemons), {"10.0.0.1:7", "10.0.0.2:7"})

    def test_what_keeps_it_from_forwarding_is_said(self):
        self.obstacle = "no path"
        self.assertEqual(self.ask().reason, "no path")
        self.responder.in_flight = MAX_FORWARDED
        self.assertEqual(self.ask().reason, "full")
        self.stopping = True
        self.assertEqual(self.ask().reason, "stopping")

    def test_a_request_is_handled_as_its_caller_sent_it(self):
        caller = self.forward()
        origin = relayprotocol.RelayOrigin(ORIGIN, "s", frozenset({"i-1"}))
        self.assertEqual(self.handled, [(b"/x", origin)])
        self.assertEqual(caller.extra_lines, relayprotocol.forwarded_lines())
        self.assertEqual(self.responder.in_flight, 0)

    def test_a_daemon_that_does_not_forward_says_that_nothing_ran(self):
        self.stopping = True
        caller = self.forward()
        self.assertEqual(self.handled, [])
        refusal = relayprotocol.refusal_lines(relayresponder.UNAVAILABLE_HERE)
        self.assertEqual(caller.extra_lines, refusal)
        caller.send_answer.assert_called_once_with(503, [], b"")

    def test_beginning_and_end_are_logged_once(self):
        with mock.patch.object(relayresponder, "logger") as logger:
            self.forward()
            self.forward()
            self.responder.step()
            self.time += FORGET_S + 0.1
            self.responder.step()
            self.responder.step()
        lines = [call.args[0] for call in logger.info.mock_calls]
        self.assertEqual(
            lines,
            ["Forwarding for another daemon.", "Stopped forwarding for another daemon."],
        )
