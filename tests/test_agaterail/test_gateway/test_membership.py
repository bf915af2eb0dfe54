from __future__ import annotations

import unittest
from types import SimpleNamespace

from returns.result import Success

from agaterail.decisions.fleetmembers import FleetMembers
from agaterail.gateway.controlstore import Membership
from agaterail.gateway.membership import (
    MembershipController,
    address_of,
    choose_readers,
    domain_of,
    link_of,
    member_name,
    reader_count,
)
from agaterail.gateway.retrybudget import RetryBudget, RetryBudgetLimits
from agaterail.gateway.storebackoff import StoreBackoff
from agaterail.platform.store import PlatformStore
from agaterail.util.address import Address
from standins.platform_store import PlatformStoreStandIn


class FakeStore:
    """Assigns the first partitions; the test sets the owners that a lookup returns."""

    def __init__(self) -> None:
        self.owners: dict[int, str] = {}

    def join(self, _member, _ttl_s, _generation):
        return Success(Membership(generation=72, share=1 / 64, ranks=frozenset({0})))

    def members(self):
        return Success(dict(self.owners))


class FakeHub:
    """Holds the list of readers."""

    def __init__(self, readers=()) -> None:
        self.store_backoff = StoreBackoff()
        self.readers = readers
        self.members = FleetMembers()

    def set_readers(self, readers):
        self.readers = readers


class ReadersTest(unittest.TestCase):
    def make_membership(self, now, store, hub):
        daemon = SimpleNamespace(
            stopping=False,
            now=lambda: now[0],
            store=store,
            feeds=hub,
            rules=SimpleNamespace(daemons=64.0),
            budget=RetryBudget(RetryBudgetLimits(ratio=0.2, extra=52.0, window_s=10.0)),
            set_fleet_size=lambda _daemons: None,
            settings=SimpleNamespace(
                host="h",
                ip="10.0.0.1",
                peer_ports=(7000, 7010),
                link_mbps=5.0,
                domain="z1",
                store=SimpleNamespace(member_ttl_min_s=1.0),
            ),
            boot="b",
        )
        return MembershipController(daemon)

    def test_former_reader_looks_up_current_readers(self):
        # The fleet changes and two readers lose their partitions. They knew only of each
        # other and told so to every daemon that polled them: all got stale readings and
        # read the store directly, which then refused calls.
        now, store, hub = [100.0], FakeStore(), FakeHub()
        membership = self.make_membership(now, store, hub)
        own = member_name("h", "10.0.0.1:7000", "b")
        store.owners = {0: own, 1: member_name("h", "10.0.0.2:7000", "b")}
        membership.step()
        now[0] += 2.1
        membership.step()
        self.assertIn("10.0.0.1:7000", hub.readers)
        store.join = lambda *_: Success(
            Membership(generation=73, share=1 / 64, ranks=frozenset())
        )
        store.owners = {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(3, 8)}
        now[0] += 2.1
        membership.step()
        self.assertNotIn("10.0.0.1:7000", hub.readers)
        self.assertIn("10.0.0.3:7000", hub.readers)
        # It goes on reading for a grace period, as the others may not know yet.
        self.assertTrue(membership.is_reader)

    def test_stale_readers_are_looked_up_again(self):
        now, store = [100.0], FakeStore()
        hub = FakeHub(("10.0.0.8:7000", "10.0.0.9:7000"))
        membership = self.make_membership(now, store, hub)
        store.join = lambda *_: Success(
            Membership(generation=73, share=1 / 64, ranks=frozenset())
        )
        store.owners = {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(3, 8)}
        membership.step()
        self.assertIn("10.0.0.8:7000", hub.readers)
        membership.readers_stale = True
        now[0] += 2.1
        membership.step()
        self.assertNotIn("10.0.0.8:7000", hub.readers)

    def test_lookup_repeats_until_all_readers_are_known(self):
        # At a start 70 hosts join and the partitions are rebalanced, so that the first
        # lookup finds one owner. Without another lookup, 70 hosts depended on one reader:
        # when the store refused it and 25 other hosts, these accepted no key for 6 s,
        # although 45 hosts could read the store.
        now = [100.0]
        store = FakeStore()
        hub = FakeHub()
        membership = self.make_membership(now, store, hub)
        store.owners = {0: member_name("h", "10.0.0.1:7000", "b")}
        membership.step()
        self.assertEqual(len(hub.readers), 1)
        store.owners |= {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(2, 8)}
        now[0] += 2.1
        membership.step()
        self.assertEqual(len(hub.readers), 3)
        store.owners.clear()
        now[0] += 2.1
        membership.step()
        self.assertEqual(len(hub.readers), 3)


class ShareTest(unittest.TestCase):
    """Of 410 daemons 154 got no partition and took themselves for a fleet of one."""

    DAEMONS = 410
    PARTITIONS = 32

    def test_each_daemon_of_a_large_fleet_has_a_partition(self):
        stand_in = PlatformStoreStandIn(partitions=self.PARTITIONS)
        address = stand_in.start()
        self.addCleanup(stand_in.stop)
        store = PlatformStore(Address.parse(address), self.PARTITIONS)
        for number in range(self.DAEMONS):
            store.join(f"member-{number}", 60.0, 0).unwrap()
        shares, ranks = [], set()
        for number in range(0, self.DAEMONS, 41):
            found = store.join(f"member-{number}", 60.0, 0).unwrap()
            shares.append(found.share)
            ranks |= found.ranks
        self.assertGreater(min(shares), 0.0)
        for share in shares:
            self.assertLess(1.0 / share, 2 * self.DAEMONS)
        self.assertLessEqual(max(ranks, default=0), 7)


class MemberNameTest(unittest.TestCase):
    def test_member_name_round_trip(self):
        name = member_name("edge-1", "10.0.0.1:7340", "ab12")
        self.assertEqual(address_of(name), "10.0.0.1:7340")
        self.assertEqual(link_of(member_name("edge-1", "10.0.0.1:7340", "ab12", 62.5)), 62.0)
        self.assertEqual(domain_of(member_name("h", "a:1", "b", 5.0, "z1")), "z1")
        former = "h.b~62@10.0.0.1:7340"
        self.assertEqual((domain_of(name), domain_of(former), domain_of("x")), ("",) * 3)
        self.assertEqual((link_of(name), link_of("foreign"), link_of("a~b@c")), (0.0,) * 3)
        self.assertEqual(address_of("foreign"), "")

    def test_readers_are_distinct_daemons(self):
        # One member holds two of the ranks. Counted as two readers, its failure would cut
        # off all daemons from changes.
        ranked = {0: "a@1:1", 1: "a@1:1", 2: "foreign", 3: "b@2:2", 4: "c@3:3"}
        self.assertEqual(choose_readers(ranked, 6.0), ("1:1", "2:2"))

    def test_readers_with_fast_links_are_preferred(self):
        """Changes were late through readers with slow links, although others had fast ones."""
        slow = {n: member_name("s", f"s{n}:1", "b", 5.0) for n in range(8)}
        fast = {n: member_name("f", f"f{n}:1", "b", 100.0) for n in range(20, 22)}
        readers = choose_readers(slow | fast, 71.0)
        self.assertEqual(readers, ("f20:1", "f21:1", "s0:1"))

    def test_links_above_sufficient_bandwidth_rank_equally(self):
        # Otherwise the few hosts with the fastest links would always be the readers, in
        # whatever state they are.
        links = (200.0, 1000.0, 60.0)
        members = {n: member_name("h", f"h{n}:1", "b", link) for n, link in enumerate(links)}
        self.assertEqual(choose_readers(members, 6.0), ("h0:1", "h1:1"))

    def test_reader_count_scales_with_fleet_size(self):
        self.assertEqual(reader_count(1.0), 2)
        self.assertEqual(reader_count(6.0), 2)
        self.assertEqual(reader_count(81.0), 4)
        self.assertEqual(reader_count(410.0), 8)
