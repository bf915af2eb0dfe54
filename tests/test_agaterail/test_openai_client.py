from __future__ import annotations

import unittest

import openai
from returns.result import Success

from agaterail import codec
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.engine import EngineConfig, EngineStandIn
from tests.support import (
    API_KEY,
    MODEL,
    LocalDaemon,
    chat_route,
    edit,
    engine_pool,
    put,
    wait_until,
)

FAST = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0)
MESSAGES = [{"role": "user", "content": "Where is my order?"}]


class OpenAIClientTest(unittest.TestCase):
    def setUp(self):
        self.engine = EngineStandIn(FAST)
        log = MemoryLogStore()
        change = edit("e0", put(engine_pool([self.engine.start()])), put(chat_route()))
        appended = log.append(TABLES_STREAM, codec.encode(change, TablesRecord))
        self.assertIsInstance(appended, Success)
        self.daemon = LocalDaemon(log)
        wait_until(lambda: self.daemon.app.ready)
        self.client = self.make_client(API_KEY)

    def tearDown(self):
        self.client.close()
        self.daemon.stop()
        self.engine.stop()

    def make_client(self, api_key, max_retries=0):
        return openai.OpenAI(
            base_url=f"http://{self.daemon.address}/v1",
            api_key=api_key,
            max_retries=max_retries,
        )

    def ask(self, client=None, model=MODEL, **fields):
        client = client or self.client
        return client.chat.completions.create(
            model=model, messages=MESSAGES, max_tokens=5, **fields
        )

    def test_models(self):
        self.assertEqual([model.id for model in self.client.models.list()], [MODEL])
        self.assertEqual(self.client.models.retrieve(MODEL).owned_by, "agaterail")
        with self.assertRaises(openai.NotFoundError):
            self.client.models.retrieve("other")

    def test_a_completion_with_usage(self):
        completion = self.ask()
        self.assertEqual(completion.choices[0].finish_reason, "stop")
        self.assertEqual(completion.usage.completion_tokens, 5)
        self.assertGreater(completion.usage.prompt_tokens, 0)

    def test_a_stream_with_usage(self):
        chunks = list(self.ask(stream=True, stream_options={"include_usage": True}))
        deltas = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
        self.assertEqual(len([delta for delta in deltas if delta]), 5)
        self.assertEqual(chunks[-1].usage.completion_tokens, 5)

    def test_each_refusal_has_its_exception_class_code_and_message(self):
        with self.assertRaises(openai.AuthenticationError) as caught:
            self.ask(self.make_client("wrong"))
        self.assertEqual(caught.exception.code, "unauthenticated")
        with self.assertRaises(openai.NotFoundError) as caught:
            self.ask(model="other")
        self.assertEqual(caught.exception.code, "no_route")
        with self.assertRaises(openai.BadRequestError) as caught:
            self.ask(extra_body={"messages": []})
        self.assertEqual(caught.exception.type, "invalid_request_error")
        self.assertIn("'messages'", caught.exception.message)
        self.engine.faults.refuse = True
        with self.assertRaises(openai.InternalServerError) as caught:
            self.ask()
        self.assertEqual(caught.exception.body["outcome"], "not_run")

    def test_a_broken_stream_raises(self):
        # The stream loses a frame and cannot be resumed. The client must raise an
        # exception: if the loop over its chunks simply ended, the answer would look
        # complete.
        self.engine.faults.skip_frame = 1
        self.engine.faults.no_resume = True
        with self.assertRaises(openai.APIError):
            list(self.ask(stream=True))

    def test_an_unknown_outcome_is_not_sent_again_by_the_client(self):
        # The engine may have run the request before its answer is lost. The client
        # retries a 502 on its own; the router tells it not to.
        self.engine.faults.crossed = 1
        with self.assertRaises(openai.InternalServerError):
            self.ask(self.make_client(API_KEY, max_retries=2))
        self.assertEqual(len(self.engine.journal), 1)
