from __future__ import annotations

import unittest

from agaterail.decisions.fleetmembers import ABSENT_VALID_S, FleetMembers


class FleetMembersTest(unittest.TestCase):
    def setUp(self):
        self.members = FleetMembers()
        self.members.update({"a:1": "z1", "b:1": "z2"}, 0.0)

    def test_daemons_that_a_rebalance_hides_are_kept(self):
        """A lookup in the middle of a rebalance finds only some daemons."""
        self.members.update({"a:1": "z1"}, 1.0)
        self.members.expire(1.0 + ABSENT_VALID_S)
        self.assertEqual(self.members.domains, {"a:1": "z1", "b:1": "z2"})
        self.members.update({"b:1": "z2"}, 11.0)
        self.members.expire(20.0)
        self.assertEqual(set(self.members.domains), {"a:1", "b:1"})

    def test_daemons_that_are_gone_are_dropped_without_a_further_lookup(self):
        self.members.update({"a:1": "z1"}, 1.0)
        self.members.expire(1.1 + ABSENT_VALID_S)
        self.assertEqual(self.members.domains, {"a:1": "z1"})

    def test_an_empty_lookup_changes_nothing(self):
        self.members.update({}, 1.0)
        self.members.expire(99.0)
        self.assertEqual(set(self.members.domains), {"a:1", "b:1"})

    def test_equal_lists_have_equal_tags(self):
        other = FleetMembers()
        other.update({"b:1": "z2"}, 5.0)
        self.assertNotEqual(other.tag, self.members.tag)
        other.update({"a:1": "z1", "b:1": "z2"}, 6.0)
        self.assertEqual(other.tag, self.members.tag)
