from __future__ import annotations

import unittest
from unittest import mock

from returns.result import Failure, Success

from agaterail.gateway import kvsavecontroller
from agaterail.gateway.inbound import normalize_part_name
from agaterail.gateway.kvsavecontroller import KvSaveController, decode_query, encode_query
from agaterail.gateway.kvstoreindex import CacheChange, CacheChangeBatch, CacheFeed, SaveQuery

STORE = "10.0.0.9:1"
OWN, OTHER = "10.0.0.1:1", "10.0.0.2:1"


class FakeFeed(CacheFeed):
    def __init__(self):
        self.answers = []
        self.asked = []

    def follow(self, address, since, wait_s):
        self.asked.append(since)
        return self.answers.pop(0)


def batch(epoch, next_number, *parts):
    changes = tuple(CacheChange("v1", part, True) for part in parts)
    return Success(CacheChangeBatch(epoch=epoch, next_number=next_number, changes=changes))


def save_query(*parts):
    return SaveQuery(store=STORE, scope="v1", parts=parts)


class KvSaveControllerTest(unittest.TestCase):
    def setUp(self):
        self.clock = 0.0
        self.readers = (OWN,)
        self.feed = FakeFeed()
        self.controller = KvSaveController(
            self.feed, OWN, lambda: self.readers, lambda: self.clock
        )
        patched = mock.patch.object(kvsavecontroller.gevent, "sleep")
        self.slept = patched.start()
        self.addCleanup(patched.stop)

    def test_a_part_reported_as_stored_is_not_saved(self):
        self.feed.answers = [batch(1, 5, "a")]
        self.controller.follow(STORE)
        self.assertFalse(self.controller.should_save(save_query("a")))
        self.assertTrue(self.controller.should_save(save_query("a", "b")))

    def test_events_of_a_restarted_store_are_read_from_the_beginning(self):
        # The store restarts empty. Events numbered below the old position would be
        # missed.
        self.feed.answers = [batch(1, 5, "a"), batch(2, 9), batch(2, 2, "b")]
        for _ in range(3):
            self.controller.follow(STORE)
        self.assertEqual(self.feed.asked, [0, 5, 0])
        self.assertTrue(self.controller.should_save(save_query("a")))
        self.assertFalse(self.controller.should_save(save_query("b")))

    def test_a_daemon_that_is_not_a_reader_does_not_follow(self):
        self.readers = (OTHER,)
        self.controller.follow(STORE)
        self.assertEqual(self.feed.asked, [])

    def test_an_unresponsive_store_is_retried_after_a_pause(self):
        self.feed.answers = [Failure("timed out")]
        self.controller.follow(STORE)
        self.slept.assert_called_with(kvsavecontroller.RETRY_PAUSE_S)

    def test_removed_stores_are_dropped(self):
        spawned = {}

        def spawn(_run_forever, _step, _logger, _event, _pause_s, store):
            spawned[store] = mock.Mock()
            return spawned[store]

        self.controller.set_stores([STORE, "10.0.0.8:1"], spawn)
        self.feed.answers = [batch(1, 5, "a")]
        self.controller.follow(STORE)
        self.controller.set_stores([STORE, "10.0.0.8:1"], spawn)
        self.assertEqual(set(spawned), {STORE, "10.0.0.8:1"})
        self.controller.set_stores(["10.0.0.8:1"], spawn)
        spawned[STORE].kill.assert_called_once_with(block=False)
        spawned["10.0.0.8:1"].kill.assert_not_called()
        self.assertTrue(self.controller.should_save(save_query("a")))

    def test_without_readers_each_prompt_is_saved(self):
        self.readers = ()
        self.assertTrue(self.controller.should_save(save_query("a")))
        self.assertTrue(self.controller.should_save(save_query("a")))

    def test_the_daemon_that_decides_on_a_part_is_asked(self):
        self.readers = (OTHER,)
        with mock.patch.object(self.controller, "_ask", return_value=False) as ask:
            self.assertFalse(self.controller.should_save(save_query("a")))
            # The answer is cached for some seconds.
            self.assertFalse(self.controller.should_save(save_query("a")))
        ask.assert_called_once()

    def test_an_unresponsive_peer_delays_only_one_prompt(self):
        # The peer is suspended. If it were asked for every prompt, all prompts would
        # wait.
        self.readers = (OTHER,)
        with mock.patch.object(self.controller, "_ask", return_value=None) as ask:
            self.assertTrue(self.controller.should_save(save_query("a")))
            self.assertTrue(self.controller.should_save(save_query("b")))
        ask.assert_called_once()

    def test_queries_survive_an_encoding_round_trip(self):
        asked = SaveQuery(store=STORE, scope="v1.w s&", parts=("a1", "b2"))
        query = encode_query(asked).partition("?")[2]
        self.assertEqual(decode_query(query.encode()), asked)
        self.assertEqual(self.controller.answer(query.encode()), b"true")
        self.assertEqual(self.controller.answer(query.encode()), b"false")
        for bad in (b"", b"store=x", b"store=x&scope=&parts="):
            with self.assertRaises(ValueError):
                self.controller.answer(bad)

    def test_part_keys_ignore_case_and_leading_zeros(self):
        self.assertEqual(normalize_part_name("05E4335fcd0e"), "5e4335fcd0e")


if __name__ == "__main__":
    unittest.main()
