from __future__ import annotations

import unittest

import gevent

from agaterail.gateway.controlstore import Feed
from agaterail.gateway.peerprotocol import FeedNews, PeerAnswer
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from tests.gateway_fleet import BOUNDS, Fleet, free_port
from tests.large_state import make_rows, make_state

PEER = "127.0.0.1:9"


def answer(age_s, heard_s, waited_s=0.0):
    """Return an answer without records of a peer with a reading of this age."""
    news = FeedNews(age_s, known_s=9.0, heard_s=heard_s, next_offset=0, records=())
    return PeerAnswer({Feed.OPERATORS: news, Feed.TARGETS: news}, (), waited_s)


class BusyReaderTest(unittest.TestCase):
    """A reader that was receiving a large record was considered cut off from the store."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.daemon = self.fleet.daemons[0]
        self.poller = self.daemon.feeds.poller

    def test_old_reading_with_recent_store_contact_is_accepted(self):
        sent_at = self.daemon.now()
        problem = self.poller.apply_answer(PEER, answer(1.95, heard_s=0.05), sent_at)
        self.assertEqual(problem, "")

    def test_reader_without_store_contact_is_rejected(self):
        sent_at = self.daemon.now()
        problem = self.poller.apply_answer(PEER, answer(1.3, heard_s=1.3), sent_at)
        self.assertIn("heard of", problem)

    def test_reading_beyond_staleness_bound_is_rejected(self):
        old_s = BOUNDS.config_s + 0.1
        sent_at = self.daemon.now()
        problem = self.poller.apply_answer(PEER, answer(old_s, heard_s=0.05), sent_at)
        self.assertIn("old", problem)

    def test_reading_age_is_counted_from_peer_answer(self):
        # The query waits at the peer for new records. Counted from the query, the reading
        # would seem older by that wait.
        sent_at = self.daemon.now()
        self.poller.apply_answer(PEER, answer(0.1, heard_s=0.0, waited_s=0.6), sent_at + 9.0)
        self.assertAlmostEqual(self.daemon.freshness.confirmed_at, sent_at + 9.5)

    def test_partial_data_of_large_record_counts_as_contact(self):
        heard = []
        self.daemon.store.on_data = heard.append
        gevent.sleep(0.7)  # until the read that is waiting at the store returns
        heard.clear()
        self.fleet.store.put("keyed.op", "config", make_state(5, make_rows(2800)))
        self.fleet.wait(lambda: self.daemon.state.desired.version == 5)
        self.assertGreater(heard.count(Feed.OPERATORS), 2)


class ReaderListTest(unittest.TestCase):
    def test_reader_ignores_reader_list_of_peer(self):
        # After a change of the fleet, one reader has looked up the new readers and another
        # has not. If readers copied lists, the old one would circulate between the two, and
        # all daemons would poll former readers.
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        daemon = fleet.daemons[0]
        fleet.wait(lambda: daemon.membership.is_reader)
        found = daemon.feeds.readers
        stale = PeerAnswer({}, ("10.0.0.8:1", "10.0.0.9:1"))
        daemon.feeds.poller.apply_answer(PEER, stale, daemon.now())
        self.assertEqual(daemon.feeds.readers, found)


class OutageOrderTest(unittest.TestCase):
    def test_no_daemon_is_asked_twice_before_each_was_asked(self):
        """Keys were refused while a daemon that had no news was drawn again and again."""
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        poller = fleet.daemons[0].feeds.poller
        poller.pollers = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
        fleet.daemons[0].feeds.readers = ("10.0.0.4:1",)
        asked = [poller._next_in_outage() for _ in range(8)]
        for four in (asked[:4], asked[4:]):
            self.assertEqual(len(set(four)), 4)


class ReadersOutOfReachTest(unittest.TestCase):
    """The store turned away all readers and a third of the daemons, and served the others."""

    def setUp(self):
        self.fleet = Fleet(gateways=4)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait(lambda: all(item.feeds.poller.pollers for item in self.polling))
        self.fleet.wait(lambda: all(len(item.feeds.readers) == 2 for item in self.polling))

    @property
    def polling(self):
        return [item for item in self.fleet.daemons if not item.membership.is_reader]

    def cut_off(self, daemon):
        daemon.store.connections = HttpConnections(Address("127.0.0.1", free_port()), 0.1)

    def test_a_daemon_without_the_store_keeps_its_keys(self):
        self.fleet.wait(lambda: len(self.polling) == 2)
        cut, _ = self.polling
        for daemon in self.fleet.daemons:
            if daemon is cut or daemon.membership.is_reader:
                self.cut_off(daemon)
        accepted = []
        for _ in range(90):
            gevent.sleep(0.1)
            accepted.append(cut.freshness.allows_keys(cut.now()))
        self.assertTrue(all(accepted), accepted)
