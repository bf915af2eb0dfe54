from __future__ import annotations

import unittest
from types import SimpleNamespace

from agaterail.gateway.inbound import InboundRequest, PromptPart
from agaterail.gateway.requestcontext import RequestContext, keys_of

PROMPT = (PromptPart("0AB", 60), PromptPart("cd", 40))


class RequestKeysOfTest(unittest.TestCase):
    def key(self, service="s", workspace="w", **fields):
        asked_for = {"target": b"/a", "prompt": PROMPT, "body_digest": b"d", **fields}
        inbound = InboundRequest(method=b"POST", headers=[], **asked_for)
        return keys_of(inbound, service, SimpleNamespace(name=workspace)).request

    def test_repeats_have_one_key_whatever_attempts_add(self):
        repeat = self.key(
            request_id="r2", last_event_id="7", resumes="r1", time_limit_s=1.0, received_at=9.0
        )
        self.assertEqual(repeat, self.key())

    def test_other_requests_have_other_keys(self):
        others = [
            self.key(service="t"),
            self.key(workspace="v"),
            self.key(target=b"/a?b"),
            self.key(body_digest=b"e"),
            self.key(model="m"),
            self.key(prompt=PROMPT[:1]),
            self.key(host="h"),
        ]
        self.assertEqual(len({self.key(), *others}), len(others) + 1)

    def test_the_last_part_belongs_to_the_request_alone(self):
        inbound = InboundRequest(method=b"POST", target=b"/a", headers=[], prompt=PROMPT)
        self.assertEqual(keys_of(inbound, "s", None).parts, ("ab",))


class PauseTest(unittest.TestCase):
    def context(self, gap_objective_s):
        return RequestContext(
            inbound=InboundRequest(method=b"POST", target=b"/a", headers=[]),
            route=SimpleNamespace(gap_objective_s=gap_objective_s),
            service="s",
            workspace=None,
            deadline=9.0,
            caller=None,
            retry_state=None,
            keys=None,
        )

    def test_the_longest_pause_counts_from_the_first_events_on(self):
        context = self.context(0.3)
        for now in (2.0, 2.2, 2.7, 2.8):
            context.record_events_sent(now)
        self.assertAlmostEqual(context.longest_pause_s, 0.5)
        self.assertTrue(context.has_paused)

    def test_a_route_without_an_objective_has_no_pauses(self):
        context = self.context(0.0)
        context.record_events_sent(1.0)
        context.record_events_sent(8.0)
        self.assertFalse(context.has_paused)
