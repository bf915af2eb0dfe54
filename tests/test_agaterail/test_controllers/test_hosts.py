from __future__ import annotations

import unittest

from agaterail import codec
from agaterail.events import MembersChanged, ShutdownStarted
from agaterail.hostlists.http import HttpHostList
from agaterail.members import MAX_CONTACTS
from agaterail.records import TABLES_STREAM, TablesRecord
from agaterail.util.address import Address
from standins.hosts import HostsStandIn
from tests.cluster import Cluster, address_of
from tests.support import edit, engine_pool, put


class MembersTest(unittest.TestCase):
    def cluster(self, count):
        cluster = Cluster(count)
        change = edit("e0", put(engine_pool()))
        cluster.log.append(TABLES_STREAM, codec.encode(change, TablesRecord))
        for number in range(count):
            cluster.start(number)
        cluster.run(2)
        return cluster

    def test_messages_per_daemon_do_not_grow_with_their_number(self):
        # In a log outage, daemons query each other. If each queried all others,
        # 410 daemons would overload themselves at that moment.
        rates = []
        for count in (10, 40):
            cluster = self.cluster(count)
            quiet = cluster.network.messages
            cluster.run(10)
            self.assertEqual(cluster.network.messages, quiet)
            cluster.log.down = True
            cluster.run(20)
            rates.append((cluster.network.messages - quiet) / count)
        self.assertLessEqual(rates[1], rates[0])

    def test_callers_of_a_dead_daemon_drop_it_from_their_members(self):
        cluster = self.cluster(3)
        seen = []
        cluster.apps[0].events.subscribe(MembersChanged, seen.append)
        cluster.kill(1)
        for _ in range(30):
            cluster.timers.advance(0.1)
            cluster.apps[0].peers.call(address_of(1), MembersChanged(()))
        cluster.step(0)
        self.assertEqual(seen[-1].members, (address_of(0), address_of(2)))
        self.assertIn(address_of(1), cluster.apps[2].members.live(cluster.timers.now()))

    def test_draining_is_announced_to_recent_contacts_only(self):
        cluster = self.cluster(40)
        leaving = cluster.apps[0]
        before = cluster.network.messages
        leaving.events.publish(ShutdownStarted())
        told = cluster.network.messages - before
        self.assertTrue(0 < told <= MAX_CONTACTS)
        views = [app.members.live(cluster.timers.now()) for app in cluster.apps.values()]
        self.assertEqual(sum(address_of(0) not in view for view in views), told + 1)


class HttpHostListTest(unittest.TestCase):
    def test_an_unchanged_list_is_not_sent_again(self):
        stand_in = HostsStandIn()
        address = stand_in.start()
        self.addCleanup(stand_in.stop)
        stand_in.put("10.0.0.1:1", "router")
        hosts = HttpHostList(Address.parse(address))
        first = hosts.fetch().unwrap()
        sent = stand_in.read_bytes
        self.assertEqual(hosts.fetch().unwrap(), first)
        self.assertEqual(stand_in.read_bytes, sent)
        stand_in.put("10.0.0.2:1", "router")
        self.assertEqual(len(hosts.fetch().unwrap()), 2)
