from __future__ import annotations

import collections
import random
import unittest

from agaterail.homes import HomeMap

ENGINES = [f"10.0.1.{number}:80" for number in range(200)]
MEMBERS = [f"10.0.0.{number}:81" for number in range(40)]


def homes_of(members, own=MEMBERS[0]):
    homes = HomeMap(own)
    homes.set_members(members)
    return {engine: homes.home_of(engine) for engine in ENGINES}


class HomeMapTest(unittest.TestCase):
    def test_all_daemons_name_the_same_home(self):
        shuffled = random.Random(1).sample(MEMBERS, len(MEMBERS))
        self.assertEqual(homes_of(MEMBERS), homes_of(shuffled, MEMBERS[7]))

    def test_changes_of_members_equal_a_fresh_start(self):
        # Ranking all pairs of 600 engines and 410 daemons at each restart of a
        # daemon would take too long, so the map uses a ring and caches homes. The
        # result must not depend on earlier members.
        choose = random.Random(2)
        homes = HomeMap(MEMBERS[0])
        for _ in range(30):
            members = choose.sample(MEMBERS, choose.randrange(1, len(MEMBERS)))
            homes.set_members(members)
            found = {engine: homes.home_of(engine) for engine in ENGINES}
            self.assertEqual(found, homes_of(members))

    def test_a_lost_member_moves_only_its_own_engines(self):
        before, after = homes_of(MEMBERS), homes_of(MEMBERS[:-1])
        moved = {engine for engine in ENGINES if before[engine] != after[engine]}
        self.assertEqual(moved, {e for e in ENGINES if before[e] == MEMBERS[-1]})

    def test_engines_are_spread(self):
        counts = collections.Counter(homes_of(MEMBERS).values())
        self.assertGreater(len(counts), 35)
        self.assertLess(max(counts.values()), 16)

    def test_a_daemon_that_is_not_on_the_list_counts_itself(self):
        homes = HomeMap("10.9.9.9:81")
        homes.set_members(())
        self.assertTrue(homes.is_own(ENGINES[0]))
