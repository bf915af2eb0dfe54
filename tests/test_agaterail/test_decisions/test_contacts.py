from __future__ import annotations

import unittest

from agaterail.decisions.contacts import FleetContacts


class FleetContactsTest(unittest.TestCase):
    def test_coordinators_of_two_parts_of_the_fleet_share_the_allowance(self):
        # Daemons knew different lists of readers, and two coordinators granted all of it.
        granted = 0.0
        for size in (4, 6):
            contacts = FleetContacts()
            for number in range(size):
                contacts.record(str(number), 100.0)
            granted += contacts.fleet_fraction(10.0, 100.0)
        self.assertLessEqual(granted, 1.4)
        self.assertEqual(contacts.fleet_fraction(10.0, 100.0), 1.0)
        self.assertEqual(contacts.fleet_fraction(10.0, 110.0), 0.1)
