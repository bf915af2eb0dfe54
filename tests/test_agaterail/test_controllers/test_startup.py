from __future__ import annotations

import unittest

import attrs
from returns.result import Success

from agaterail import codec
from agaterail.controllers.startup import TablesAnswer, TablesQuery, fetch_tables
from agaterail.records import TABLES_STREAM, TablesRecord
from tests.cluster import Cluster, address_of
from tests.support import chat_route, edit, engine_pool, put


class FetchTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(3)
        workspace = "w" * 300
        routes = [
            put(chat_route(f"route-{number}", workspace=workspace)) for number in range(1500)
        ]
        self.append(edit("e0", put(engine_pool()), *routes))
        self.old = self.cluster.start(0)
        self.cluster.run(2)

    def append(self, record):
        self.cluster.log.append(TABLES_STREAM, codec.encode(record, TablesRecord))

    def test_tables_of_several_chunks_are_fetched_unchanged(self):
        app = self.cluster.start(1)
        fetched = fetch_tables(app, address_of(0), 0).unwrap()
        self.assertEqual(fetched, self.old.tables)

    def test_chunks_of_two_snapshots_are_never_mixed(self):
        # An edit comes into force at the peer between two chunks. The peer must
        # continue with the same snapshot or reject the query.
        handler = self.old.peers.handlers[TablesQuery]
        count = 0

        def with_edit(sender, query):
            nonlocal count
            count += 1
            answer = handler(sender, query)
            if count == 1:
                self.append(edit("e1", put(chat_route("route-7", priority=1), 0)))
                self.cluster.run(2)
            return answer

        self.old.peers.handle(TablesQuery, with_edit)
        app = self.cluster.start(1)
        fetched = fetch_tables(app, address_of(0), 0)
        self.assertGreater(count, 1)
        self.assertEqual(fetched.unwrap().routes["route-7"].row.priority, 5)

    def test_a_damaged_chunk_is_rejected(self):
        handler = self.old.peers.handlers[TablesQuery]
        self.old.peers.handle(
            TablesQuery,
            lambda sender, query: attrs.evolve(handler(sender, query), data=b"damaged"),
        )
        app = self.cluster.start(1)
        self.assertNotIsInstance(fetch_tables(app, address_of(0), 0), Success)

    def test_a_peer_without_tables_is_rejected(self):
        app = self.cluster.start(1)
        self.cluster.start(2)
        self.old.peers.handle(TablesQuery, lambda _s, _q: TablesAnswer(-1, "", 0, b""))
        self.assertNotIsInstance(fetch_tables(app, address_of(0), 0), Success)
