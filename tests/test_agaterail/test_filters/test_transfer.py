from __future__ import annotations

import unittest

import gevent
from returns.result import Failure, Success

from agaterail.errors import Outcome
from agaterail.exchange import Exchange, Reply
from agaterail.filters.transfer import TransferFilter
from agaterail.policies import Decision
from agaterail.prefix import Prefix
from agaterail.tables import Tables
from agaterail.transfers import ExportQueue, ImportLimits, Transfer
from tests.support import engine_pool

ENGINE = "10.0.0.1:80"
STORE = "10.0.0.9:80"
KEYS = tuple(bytes([number]) * 16 for number in range(4))


class Engine:
    def __init__(self, answer, delay_s=0.0):
        self.answer = answer
        self.delay_s = delay_s
        self.imported = []

    def import_blocks(self, keys, source):
        gevent.sleep(self.delay_s)
        self.imported.append((keys, source))
        return self.answer


class App:
    def __init__(self, engine):
        self.imports = ImportLimits()
        self.exports = ExportQueue()
        self.timers = self
        self.metrics = self
        self.engine = engine

    def now(self):
        return 0.0

    def count(self, *_):
        pass

    def engine_at(self, _address):
        return self.engine


def exchange(queue_ms=0.0, transfer_ms=10.0):
    transfer = Transfer(source=STORE, start=1, end=3, transfer_ms=transfer_ms, saved_ms=100.0)
    return Exchange(
        request_id="r",
        method="POST",
        path="/",
        query="",
        headers={},
        body=b"",
        received_at=0.0,
        tables=Tables(),
        pool=engine_pool(import_ms_per_block=5.0),
        prefix=Prefix(KEYS, (1, 3), 40, KEYS[0]),
        decision=Decision(
            address=ENGINE, reason="cost_hit", queue_ms=queue_ms, transfer=transfer
        ),
    )


class TransferFilterTest(unittest.TestCase):
    def handle(self, app, item):
        imported_before = []

        def proceed(_exchange):
            imported_before.extend(app.engine.imported)
            return Success(Reply(status=200, headers={}))

        result = TransferFilter(app).handle(item, proceed)
        self.assertIsInstance(result, Success)
        return imported_before

    def test_missing_blocks_are_imported_before_the_request(self):
        app = App(Engine(Success(2)))
        self.assertEqual(self.handle(app, exchange()), [(KEYS[1:3], STORE)])

    def test_a_queued_request_does_not_wait_for_the_import(self):
        app = App(Engine(Success(2), delay_s=0.05))
        self.assertEqual(self.handle(app, exchange(queue_ms=1000.0)), [])

    def test_a_failed_import_does_not_fail_the_request(self):
        # The store is down. The request is still sent to the engine, which computes the
        # prefix, and the next request does not try the store.
        app = App(Engine(Failure("down")))
        self.handle(app, exchange())
        self.handle(app, exchange())
        self.assertEqual(len(app.engine.imported), 1)

    def test_a_hanging_import_times_out(self):
        # The store accepts the call but never answers. The wait must end at twice the
        # estimate, otherwise the caller would get its first token too late.
        app = App(Engine(Success(2), delay_s=30.0))
        self.assertEqual(self.handle(app, exchange(transfer_ms=1.0)), [])

    def test_only_shared_blocks_are_recorded_for_export(self):
        app = App(Engine(Success(2)))
        item = exchange()
        self.handle(app, item)
        self.assertEqual(len(app.exports.uses), 0)
        item.finish(Outcome.COMPLETED)
        self.assertEqual([use.keys for use in app.exports.uses.values()], [KEYS[:3]])
