"""Records of another writer in the feeds of the store, which nobody can decode."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING

import gevent

from agaterail.platform import names

if TYPE_CHECKING:
    from tools.soak.testbed import Testbed

MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 0.6
NESTED = b"[" * 60_000 + b"]" * 60_000
ENTRY = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1", "state": "ready"}
VALUES = (
    b"[" * 5000,
    NESTED,
    json.dumps(ENTRY).encode()[:-1] + b', "models": ' + NESTED + b"}",
    json.dumps({**ENTRY, "zone": {}, "slots": int("9" * 400)}).encode(),
    b"\x00\xff",
)
# Topics that other writers can reach, and keys in them that belong to nobody.
PLACES = (
    (names.TARGETS_TOPIC, "foreign-{}"),
    (names.CRASHES_TOPIC, "crash/9{}"),
    (names.OPERATOR_TOPIC, names.VERSION_KEY_PREFIX + "foreign-{}"),
)


class ForeignInjector:
    """Writes records that stand until the end of the run.

    They are no disturbance: no check excuses anything for them.
    """

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"foreign {seed}")
        self.count = 0

    def run(self, seconds: float) -> None:
        """Write records for a duration."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            gevent.sleep(self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            topic, key = self.random.choice(PLACES)
            value = self.random.choice(VALUES)
            self.testbed.store.put(topic, key.format(self.count % 9), value)
            self.count += 1
