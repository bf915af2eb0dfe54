from __future__ import annotations

import random
import unittest
from hashlib import blake2b

from agaterail.util.ring import DIGESTS_PER_MEMBER, NUMBER_BYTES, Ring, number_of


def naive_order(key, members):
    """Walk all points of all members upwards from the key."""
    points = []
    for member in members:
        for number in range(DIGESTS_PER_MEMBER):
            digest = blake2b(f"{number} {member}".encode()).digest()
            points += [
                (int.from_bytes(digest[start : start + NUMBER_BYTES], "little"), member)
                for start in range(0, len(digest), NUMBER_BYTES)
            ]
    points.sort()
    walk = [m for point, m in points if point > key] + [m for _, m in points]
    return list(dict.fromkeys(walk))


class RingTest(unittest.TestCase):
    def test_equals_a_walk_over_all_points(self):
        choose = random.Random(4)
        for count in (1, 2, 5, 30):
            members = [f"10.0.0.{number}:80" for number in range(count)]
            ring = Ring(members)
            for key in (0, (1 << 64) - 1, *(choose.getrandbits(64) for _ in range(10))):
                expected = naive_order(key, members)
                found = [members[place] for place in ring.ranked(key, count)]
                self.assertEqual(found, expected)
                self.assertEqual(members[ring.first(key)], expected[0])

    def test_the_order_does_not_depend_on_how_members_are_named(self):
        members = [f"10.0.0.{number}:80" for number in range(20)]
        mixed = random.Random(5).sample(members, len(members))
        one, other = Ring(members), Ring(mixed)
        for number in range(50):
            key = number_of(b"%d" % number)
            self.assertEqual(
                [members[place] for place in one.ranked(key, 20)],
                [mixed[place] for place in other.ranked(key, 20)],
            )
