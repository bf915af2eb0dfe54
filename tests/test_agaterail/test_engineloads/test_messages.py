from __future__ import annotations

import math
import random
import unittest

import attrs
import msgspec
from returns.result import Failure, Success

from agaterail.decisions.engineloads import (
    MAX_BYTES_PER_S,
    DaemonReport,
    EngineRow,
    report_period_s,
)
from agaterail.engineloads import messages
from agaterail.engineloads.gatherer import Gatherer
from agaterail.engineloads.messages import LoadQuestion

BORN = 1_700_000_000_000
ROW = ("e-1", BORN, 3, 900, 1200, 150, 0, 4, -15_600)


def make_row(number, rng=None):
    rng = rng or random.Random(number)
    return EngineRow(
        instance=f"engine-{number:03}",
        start=BORN,
        streams=rng.randint(1, 3),
        prefill_tokens=rng.randint(0, 9_000),
        kv_tokens=rng.randint(900, 30_000),
        heard_s=rng.random(),
        waiting_s=0.0,
        steps=20,
        sum_log_s=-78.0,
    )


def make_question(name, rows, tag=b""):
    report = DaemonReport(daemon=name, domain="z1", period_s=0.5, rows=tuple(rows))
    return LoadQuestion("llm", tag, report)


def encode_rows(*rows, daemon="d", service="llm", period_ms=500, tag=b""):
    return msgspec.msgpack.encode((daemon, "z1", service, period_ms, tag, rows))


class QuestionTest(unittest.TestCase):
    def test_round_trip(self):
        rows = (
            EngineRow(instance="e-1", start=BORN, streams=2, heard_s=0.25, waiting_s=0.5),
            EngineRow(instance="e-2", heard_s=math.inf, steps=3, sum_log_s=-9.5),
        )
        question = make_question("host.1", rows, b"abcd")
        decoded = messages.decode_question(messages.encode_question(question))
        self.assertEqual(decoded, Success(question))

    def test_malformed_messages_are_refused_whole(self):
        for body in (
            b"",
            b"\xc1",
            b"{}",
            encode_rows(ROW)[:-2],
            encode_rows(daemon=""),
            encode_rows(daemon="d" * 300),
            encode_rows(service=7),
            encode_rows(period_ms=0),
            encode_rows(period_ms=10**9),
            encode_rows(tag=b"12345"),
            encode_rows(*[ROW] * (messages.MAX_ROWS + 1)),
        ):
            with self.subTest(body[:40]):
                self.assertIsInstance(messages.decode_question(body), Failure)

    def test_implausible_rows_are_left_out(self):
        """Guards against a daemon that tells of loads that cannot be."""
        for place, value in (
            (0, ""),
            (0, 5),
            (1, -1),
            (2, -1),
            (2, 10**6),
            (2, math.nan),
            (3, 10**12),
            (3, 1.5),
            (4, -5),
            (4, math.inf),
            (5, -1),
            (5, 10**9),
            (6, math.nan),
            (7, -1),
            (7, 10**9),
            (8, math.nan),
            (8, 10**7),
            (8, 10**18),
        ):
            row = (*ROW[:place], value, *ROW[place + 1 :])
            with self.subTest(place=place, value=value):
                question = messages.decode_question(encode_rows(row, ("e-2", *ROW[1:])))
                self.assertEqual(
                    [item.instance for item in question.unwrap().report.rows], ["e-2"]
                )
                self.assertEqual(len(question.unwrap().refused), 1)

    def test_second_row_on_an_engine_is_left_out(self):
        question = messages.decode_question(encode_rows(ROW, ROW)).unwrap()
        self.assertEqual((len(question.report.rows), len(question.refused)), (1, 1))


class AnswerTest(unittest.TestCase):
    def setUp(self):
        engines = (("e-1", 1), ("e-2", 1))
        self.gatherer = Gatherer(lambda _service: engines, lambda: 9.0, lambda: 5.0)
        rows = (
            EngineRow(instance="e-1", start=1, streams=2, heard_s=0.9, waiting_s=0.6),
            EngineRow(instance="e-2", start=1, heard_s=0.1),
        )
        self.gatherer.answer(make_question("a", rows))
        self.answer = self.gatherer.answer(make_question("b", ()))

    def test_round_trip(self):
        self.assertEqual(self.answer.silent, ((0, 1, 1),))
        decoded = messages.decode_answer(messages.encode_answer(self.answer))
        self.assertEqual(decoded, Success(self.answer))

    def test_inconsistent_answers_are_refused(self):
        for fields in (
            {"streams": b"123"},
            {"paces": b""},
            {"engines": (("e-1", 1),)},
            {"silent": ((2, 1, 1),)},
            {"silent": ((0, -1, 1),)},
            {"fraction": 7.0},
            {"tag": b"12345"},
        ):
            with self.subTest(fields):
                body = messages.encode_answer(attrs.evolve(self.answer, **fields))
                self.assertIsInstance(messages.decode_answer(body), Failure)


class SizeTest(unittest.TestCase):
    """Sizes against the budget of a daemon."""

    def answer(self, daemons, engines):
        """Return the steady answer of a gatherer to which all daemons have reported."""
        listed = tuple((f"engine-{number:03}", BORN) for number in range(engines))
        gatherer = Gatherer(lambda _service: listed, lambda: float(daemons), lambda: 5.0)
        rng = random.Random(1)
        for daemon in range(daemons):
            used = rng.sample(range(engines), min(engines, 9))
            rows = [make_row(number, rng) for number in used]
            gatherer.answer(make_question(f"d-{daemon}", rows))
        first = gatherer.answer(make_question("d-0", [make_row(1)]))
        steady = gatherer.answer(make_question("d-0", [make_row(1)], first.tag))
        self.assertIsNone(steady.engines)
        return first, steady

    def test_answers_stay_within_the_budget(self):
        for daemons in (6, 81, 410):
            for engines, size in ((70, 400), (600, 3_200)):
                with self.subTest(daemons=daemons, engines=engines):
                    first, steady = self.answer(daemons, engines)
                    body = messages.encode_answer(steady)
                    self.assertLessEqual(len(body), size)
                    period_s = report_period_s(daemons, 1, len(body))
                    self.assertLessEqual(len(body) / period_s, MAX_BYTES_PER_S)
                    first_body = messages.encode_answer(first)
                    self.assertEqual(messages.figures_size(first, first_body), len(body))

    def test_row_takes_about_forty_bytes(self):
        nine = messages.encode_question(make_question("d-0", map(make_row, range(9)), b"abcd"))
        none = messages.encode_question(make_question("d-0", (), b"abcd"))
        self.assertLessEqual(len(none), 60)
        self.assertLessEqual((len(nine) - len(none)) / 9, 40)
