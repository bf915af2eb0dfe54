from __future__ import annotations

import json
import unittest

from agaterail.platform.registrations import decode_registration

ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "z1", "state": "ready"}


def decode(**fields):
    return decode_registration("i-1", json.dumps({**ENTRY, **fields}).encode())


class BuildTest(unittest.TestCase):
    def test_build_is_the_version_of_the_software(self):
        models = [{"name": "m", "version": 3}]
        found = decode(version="v1.1", models=models).unwrap()
        self.assertEqual((found.build, found.weights), ("v1.1", {"m": 3}))

    def test_targets_that_name_no_build_still_serve(self):
        for fields in ({}, {"version": 2}, {"version": None}, {"version": ["v1"]}):
            with self.subTest(fields):
                self.assertEqual(decode(**fields).unwrap().build, "")
