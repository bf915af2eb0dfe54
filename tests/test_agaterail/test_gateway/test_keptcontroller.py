from __future__ import annotations

import unittest
from unittest import mock

from returns.result import Failure, Success

from agaterail.gateway import keptcontroller
from agaterail.gateway.inbound import normalize_part_name
from agaterail.gateway.keptcontroller import KeptController, decode_question, encode_question
from agaterail.gateway.keptparts import CacheChange, CacheFeed, CacheNews, SaveQuestion

STORE = "10.0.0.9:1"
OWN, OTHER = "10.0.0.1:1", "10.0.0.2:1"


class FakeFeed(CacheFeed):
    def __init__(self):
        self.answers = []
        self.asked = []

    def follow(self, address, since, wait_s):
        self.asked.append(since)
        return self.answers.pop(0)


def news(epoch, next_number, *parts):
    changes = tuple(CacheChange("v1", part, True) for part in parts)
    return Success(CacheNews(epoch=epoch, next_number=next_number, changes=changes))


def question(*parts):
    return SaveQuestion(store=STORE, scope="v1", parts=parts)


class KeptControllerTest(unittest.TestCase):
    def setUp(self):
        self.clock = 0.0
        self.readers = (OWN,)
        self.feed = FakeFeed()
        self.kept = KeptController(self.feed, OWN, lambda: self.readers, lambda: self.clock)
        patched = mock.patch.object(keptcontroller.gevent, "sleep")
        self.slept = patched.start()
        self.addCleanup(patched.stop)

    def test_what_the_events_name_is_not_saved(self):
        self.feed.answers = [news(1, 5, "a")]
        self.kept.follow(STORE)
        self.assertFalse(self.kept.should_save(question("a")))
        self.assertTrue(self.kept.should_save(question("a", "b")))

    def test_a_store_that_restarts_is_read_from_its_start(self):
        # It is down and returns empty; events after the old number would be missed.
        self.feed.answers = [news(1, 5, "a"), news(2, 9), news(2, 2, "b")]
        for _ in range(3):
            self.kept.follow(STORE)
        self.assertEqual(self.feed.asked, [0, 5, 0])
        self.assertTrue(self.kept.should_save(question("a")))
        self.assertFalse(self.kept.should_save(question("b")))

    def test_a_daemon_that_is_no_reader_does_not_follow(self):
        self.readers = (OTHER,)
        self.kept.follow(STORE)
        self.assertEqual(self.feed.asked, [])

    def test_a_store_that_does_not_answer_is_asked_again_later(self):
        self.feed.answers = [Failure("timed out")]
        self.kept.follow(STORE)
        self.slept.assert_called_with(keptcontroller.FAILED_PAUSE_S)

    def test_stores_that_are_used_no_more_are_forgotten(self):
        spawned = {}

        def spawn(_repeat, _step, _logger, _sentence, _pause_s, store):
            spawned[store] = mock.Mock()
            return spawned[store]

        self.kept.use_stores([STORE, "10.0.0.8:1"], spawn)
        self.feed.answers = [news(1, 5, "a")]
        self.kept.follow(STORE)
        self.kept.use_stores([STORE, "10.0.0.8:1"], spawn)
        self.assertEqual(set(spawned), {STORE, "10.0.0.8:1"})
        self.kept.use_stores(["10.0.0.8:1"], spawn)
        spawned[STORE].kill.assert_called_once_with(block=False)
        spawned["10.0.0.8:1"].kill.assert_not_called()
        self.assertTrue(self.kept.should_save(question("a")))

    def test_without_readers_each_prompt_is_saved(self):
        self.readers = ()
        self.assertTrue(self.kept.should_save(question("a")))
        self.assertTrue(self.kept.should_save(question("a")))

    def test_the_daemon_that_decides_on_a_part_is_asked(self):
        self.readers = (OTHER,)
        with mock.patch.object(self.kept, "_ask", return_value=False) as ask:
            self.assertFalse(self.kept.should_save(question("a")))
            # The answer holds for some seconds.
            self.assertFalse(self.kept.should_save(question("a")))
        ask.assert_called_once()

    def test_a_peer_that_hangs_holds_up_one_prompt(self):
        # It is frozen. Were it asked for each prompt, all would wait for it.
        self.readers = (OTHER,)
        with mock.patch.object(self.kept, "_ask", return_value=None) as ask:
            self.assertTrue(self.kept.should_save(question("a")))
            self.assertTrue(self.kept.should_save(question("b")))
        ask.assert_called_once()

    def test_questions_are_read_as_they_were_written(self):
        asked = SaveQuestion(store=STORE, scope="v1.w s&", parts=("a1", "b2"))
        query = encode_question(asked).partition("?")[2]
        self.assertEqual(decode_question(query.encode()), asked)
        self.assertEqual(self.kept.answer(query.encode()), b"true")
        self.assertEqual(self.kept.answer(query.encode()), b"false")
        for bad in (b"", b"store=x", b"store=x&scope=&parts="):
            with self.assertRaises(ValueError):
                self.kept.answer(bad)

    def test_names_of_parts_are_compared_as_numbers(self):
        self.assertEqual(normalize_part_name("05E4335fcd0e"), "5e4335fcd0e")


if __name__ == "__main__":
    unittest.main()
