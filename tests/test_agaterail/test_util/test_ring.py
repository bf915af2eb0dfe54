from __future__ import annotations

import random
import unittest
from hashlib import blake2b

from agaterail.util.ring import DIGESTS_PER_MEMBER, HASH_BYTES, HashRing, hash_64


def order_by_full_scan(key, members):
    """Return the members in the order of their points, starting at the key."""
    points = []
    for member in members:
        for number in range(DIGESTS_PER_MEMBER):
            digest = blake2b(f"{number} {member}".encode()).digest()
            points += [
                (int.from_bytes(digest[start : start + HASH_BYTES], "little"), member)
                for start in range(0, len(digest), HASH_BYTES)
            ]
    points.sort()
    walk = [m for point, m in points if point > key] + [m for _, m in points]
    return list(dict.fromkeys(walk))


class HashRingTest(unittest.TestCase):
    def test_the_order_matches_a_scan_of_all_points(self):
        rng = random.Random(4)
        for count in (1, 2, 5, 30):
            members = [f"10.0.0.{number}:80" for number in range(count)]
            ring = HashRing(members)
            for key in (0, (1 << 64) - 1, *(rng.getrandbits(64) for _ in range(10))):
                expected = order_by_full_scan(key, members)
                found = [members[index] for index in ring.ranked_indices(key, count)]
                self.assertEqual(found, expected)
                self.assertEqual(members[ring.first_index(key)], expected[0])

    def test_the_order_does_not_depend_on_the_order_of_members(self):
        members = [f"10.0.0.{number}:80" for number in range(20)]
        shuffled = random.Random(5).sample(members, len(members))
        one, other = HashRing(members), HashRing(shuffled)
        for number in range(50):
            key = hash_64(b"%d" % number)
            self.assertEqual(
                [members[index] for index in one.ranked_indices(key, 20)],
                [shuffled[index] for index in other.ranked_indices(key, 20)],
            )
