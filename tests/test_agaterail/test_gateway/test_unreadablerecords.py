"""Records of other writers that cannot be decoded, in every feed of the store."""

from __future__ import annotations

import json
import unittest

from agaterail.gateway.controlstore import Feed
from agaterail.platform import names
from agaterail.platform.store import LEASE_TOPIC
from tests.gateway_fleet import MODEL, PLAIN, Fleet, make_desired

DEPTH = 60_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
ENTRY = {"service": PLAIN, "address": "127.0.0.1:9", "zone": "z1", "state": "ready"}
HUGE = int("9" * 400)


def with_member(fields, name, text):
    """Return the JSON text of an object with one more member."""
    return json.dumps(fields).encode()[:-1] + b', "%s": %s}' % (name.encode(), text)


UNREADABLE = {
    "never closed": b"[" * 5000,
    "lists": NESTED,
    "objects": b'{"a":' * 40_000 + b"1" + b"}" * 40_000,
    "an unused member": with_member(ENTRY, "unused", NESTED),
    "models": with_member(ENTRY, "models", NESTED),
    "another type": json.dumps({**ENTRY, "zone": {}}).encode(),
    "a huge number": json.dumps({**ENTRY, "slots": HUGE}).encode(),
    "a lone surrogate": json.dumps({**ENTRY, "address": "\ud800:80"}).encode(),
}


class UnreadableRecordsTest(unittest.TestCase):
    gateways = 1

    def setUp(self):
        self.fleet = Fleet(self.gateways)
        self.addCleanup(self.fleet.stop)

    def end(self, feed_topic):
        return len(self.fleet.store.topics[feed_topic, 0])

    def wait_until_read(self, feed, topic):
        """Wait until all daemons have read a feed to its end."""
        end = self.end(topic)
        self.fleet.wait(
            lambda: all(item.feeds.offsets.get(feed) == end for item in self.fleet.daemons)
        )

    def restart(self):
        """Replace all daemons by new ones, which know nothing but what the store holds."""
        for daemon in self.fleet.daemons:
            daemon.close()
        self.fleet.daemons = [
            self.fleet.add_gateway(f"new-{number}", self.fleet.daemons[0].settings.bounds)
            for number in range(self.gateways)
        ]
        self.fleet.wait(lambda: all(daemon.ready for daemon in self.fleet.daemons))

    def assert_served(self):
        for number in range(self.gateways):
            answer = self.fleet.ask("/safe/1", gateway=number, request_id=f"r{number}")
            self.assertEqual(answer.status, 200)

    def test_an_unreadable_registration_leaves_restarted_daemons_without_targets(self):
        """Guards against a feed that stops at one record and never lists the others."""
        for name, value in UNREADABLE.items():
            with self.subTest(name):
                self.fleet.store.put("keyed.servers", "x-1", value)
                self.wait_until_read(Feed.TARGETS, names.TARGETS_TOPIC)
                self.restart()
                self.assertEqual(len(self.fleet.daemons[0].registry.targets), 4)
                self.assert_served()

    def test_an_unreadable_registration_hides_a_target_that_leaves(self):
        """Guards against a follower that reads the same record again and again."""
        self.fleet.store.put("keyed.servers", "x-1", UNREADABLE["lists"])
        entry = json.loads(
            self.fleet.targets["p-0"].registration(*self.fleet.addresses["p-0"])
        )
        entry["state"] = "draining"
        self.fleet.store.put("keyed.servers", "p-0", json.dumps(entry).encode())
        registry = self.fleet.daemons[0].registry
        self.fleet.wait(lambda: not registry.targets["p-0"].registration.ready)

    def test_a_listing_with_an_unreadable_entry_removes_its_target(self):
        """Guards against a target that is lost when its entry is overwritten and listed."""
        self.fleet.store.put("keyed.servers", "p-0", UNREADABLE["lists"])
        self.wait_until_read(Feed.TARGETS, names.TARGETS_TOPIC)
        for daemon in self.fleet.daemons:
            daemon.feeds.reset(Feed.TARGETS)
        self.wait_until_read(Feed.TARGETS, names.TARGETS_TOPIC)
        for daemon in self.fleet.daemons:
            self.assertIn("p-0", daemon.registry.targets)

    def test_an_unused_member_of_a_desired_state_ends_all_service(self):
        """Guards against a valid state that is unreadable because of a member we ignore."""
        for name, text in (
            ("member", with_member(make_desired(2), "unused", NESTED)),
            ("row", _with_nested_route(make_desired(3))),
        ):
            with self.subTest(name):
                self.fleet.store.put("keyed.op", "config", text)
                version = json.loads(text.replace(NESTED, b"0"))["version"]
                self.wait_until_read(Feed.OPERATORS, names.OPERATOR_TOPIC)
                self.assertEqual(self.fleet.daemons[0].state.desired.version, version)
                self.assertEqual(len(self.fleet.daemons[0].state.desired.routes), 5)
                self.restart()
                self.assert_served()

    def test_an_unreadable_desired_state_replaces_the_one_in_force(self):
        """Guards against a record without a valid state that ends the service."""
        for text in (NESTED, b"[" * 5000, b'{"version": 9, "routes": "x"}', b'{"version": 9'):
            self.fleet.store.put("keyed.op", "config", text)
            self.wait_until_read(Feed.OPERATORS, names.OPERATOR_TOPIC)
            self.assert_served()

    def test_an_unused_member_hides_a_weights_version(self):
        """Guards against new weights that are never loaded."""
        text = with_member({"model": MODEL, "version": 2}, "unused", NESTED)
        self.fleet.store.put("keyed.op", f"version/{MODEL}", text)
        state = self.fleet.daemons[0].state
        self.fleet.wait(lambda: MODEL in state.weights and state.weights[MODEL].newest == 2)
        self.restart()
        state = self.fleet.daemons[0].state
        self.fleet.wait(lambda: MODEL in state.weights and state.weights[MODEL].newest == 2)

    def test_an_unreadable_crash_record_keeps_daemons_from_being_ready(self):
        """Guards against a daemon that waits for the records of crashes for ever."""
        for key in ("crash/1", "survived/1", "part/x", "other"):
            self.fleet.store.put(names.CRASHES_TOPIC, key, NESTED)
        self.wait_until_read(Feed.CRASHES, names.CRASHES_TOPIC)
        self.restart()
        self.assert_served()

    def test_an_unreadable_lease_record_stops_the_lease(self):
        """Guards against a lease that nobody can follow or take over."""
        self.fleet.store._append_record(LEASE_TOPIC, 0, NESTED)
        self.wait_until_read(Feed.LEASE, LEASE_TOPIC)
        self.fleet.store.put(
            "keyed.op", f"version/{MODEL}", json.dumps({"model": MODEL, "version": 3}).encode()
        )
        for target in self.fleet.targets.values():
            target.announced_version = 3
        engines = [self.fleet.targets[name] for name in ("e-0", "e-1")]
        self.fleet.wait(lambda: all(item.version == 3 for item in engines), 15.0)

    def test_a_skipped_record_is_counted_once(self):
        """Guards against a line in the log at each listing of the same record."""
        self.fleet.store.put("keyed.servers", "x-1", NESTED)
        self.wait_until_read(Feed.TARGETS, names.TARGETS_TOPIC)
        daemon = self.fleet.daemons[0]
        for _ in range(3):
            listing = daemon.store.listing(Feed.TARGETS).unwrap()
            self.assertEqual(len(daemon.store.decode(Feed.TARGETS, listing.records)), 4)
        self.assertEqual(daemon.store.decoder.skipped[Feed.TARGETS], 1)
        page = daemon.metrics.render(daemon).decode()
        self.assertIn('agaterail_records_skipped{feed="targets"} 1.0', page)


class RelayedUnreadableRecordsTest(UnreadableRecordsTest):
    gateways = 4

    def test_an_unreadable_registration_leaves_restarted_daemons_without_targets(self):
        """Guards against daemons that stop at a record which a peer passed on."""
        self.fleet.store.put("keyed.servers", "x-1", NESTED)
        self.wait_until_read(Feed.TARGETS, names.TARGETS_TOPIC)
        self.restart()
        self.assert_served()


def _with_nested_route(desired):
    text = json.dumps(desired).encode()
    return text.replace(b'"name": "safe"', b'"name": "safe", "unused": ' + NESTED, 1)
