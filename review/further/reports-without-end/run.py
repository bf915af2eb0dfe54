"""Reports of engines in trouble that never end stop the rollout of new weights for good."""

from __future__ import annotations

import pathlib
import random
import sys
import time
from typing import Any

import gevent

from review.harness import ENGINES, MODEL, PLAIN, ZONES, Fleet, Record, has_trouble, run_case
from standins.platform_engine import PlatformTargetStandIn

REPORT_PATH = "/agaterail/report"
BEFORE_TROUBLE_S, BEFORE_NAMING_S, TROUBLE_S = 5.0, 0.5, 5.5
IN_TROUBLE = 2
ENGINE_COUNT = 5
VERSION_S = 8.0
# Stable time since the ack after which the rule looks at the engines' versions.
JUDGED_AFTER_S = 1.5 * VERSION_S
MEASURED_S = 12.0
MAX_OUTDATED_SHARE = 0.1
LOAD_S = 0.42
# A head that looks sound, and a body of small chunks that never ends.
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)
JUNK = b"10\r\n" + b"#" * 16 + b"\r\n"
JUNK_PAUSE_S = 0.25  # 64 bytes a second, without the sizes of the chunks


class Engine(PlatformTargetStandIn):
    """Engine whose reports are bytes without end while it is in trouble.

    An answer that has begun goes on until its caller closes, also after the trouble.
    """

    def __init__(self, instance: str, fleet: Fleet) -> None:
        super().__init__(instance, MODEL)
        self.fleet = fleet
        self.in_trouble = False
        self.load_s = LOAD_S
        self.reading_since: float | None = None

    def _answer(
        self, sock: Any, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bool:
        if path != REPORT_PATH or not self.in_trouble:
            return super()._answer(sock, method, path, headers, body)
        self.reading_since = time.monotonic()
        self.fleet.record.line(f"server {self.instance}: begins a report that does not end")
        try:
            sock.sendall(HEAD)
            while True:
                sock.sendall(JUNK)
                gevent.sleep(JUNK_PAUSE_S)
        except OSError:
            self.fleet.record.line(f"server {self.instance}: the caller closed the report")
            self.reading_since = None
        return False

    def _order(self, order: dict[str, Any]) -> int:
        status = super()._order(order)
        text = f"order for version {order['version']} from {order['holder']}"
        self.fleet.record.line(f"server {self.instance}: {text}, answered {status}")
        return status

    def _finish_load(self, version: int) -> None:
        super()._finish_load(version)
        self.fleet.record.line(f"server {self.instance}: has version {version}")


def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether VERSION held."""
    fleet.publish(1)
    engines = [Engine(f"e-{number}", fleet) for number in range(ENGINE_COUNT)]
    for number, engine in enumerate(engines):
        fleet.add_server(engine, ENGINES, ZONES[number % len(ZONES)])
    for number, zone in enumerate(ZONES):
        fleet.add_server(PlatformTargetStandIn(f"p-{number}"), PLAIN, zone)
    fleet.start_machines()
    fleet.await_ready()
    for kind, pause_s in (("lookup", 0.2), ("booking", 0.2), ("digest", 0.1), ("help", 0.1)):
        gevent.spawn(fleet.send_forever, kind, pause_s, fleet.in_rotation)
    gevent.sleep(BEFORE_TROUBLE_S)
    troubled = random.sample(engines, IN_TROUBLE)
    if has_trouble():
        for engine in troubled:
            engine.in_trouble = True
        record.say(f"in trouble: {[engine.instance for engine in troubled]}")
    gevent.sleep(BEFORE_NAMING_S)
    named_at = fleet.name_weights(2)
    gevent.sleep(TROUBLE_S - BEFORE_NAMING_S)
    for engine in troubled:
        engine.in_trouble = False
    ended_at = time.monotonic()
    record.say("the trouble has ended")
    # Only time that is clear of the trouble counts.
    gevent.sleep(max(named_at, ended_at) + JUDGED_AFTER_S - time.monotonic())
    judged_at = time.monotonic()
    gevent.sleep(MEASURED_S)
    outdated = [engine.instance for engine in engines if engine.version < 2]
    record.say(f"engines with the former version at the end: {outdated}")
    for engine in engines:
        if engine.reading_since is not None:
            read_s = time.monotonic() - engine.reading_since
            record.say(f"{engine.instance}: a report has been read for {read_s:.1f} s")
    prompts = [
        item
        for item in fleet.requests
        if item.kind in ("digest", "help") and item.sent_at >= judged_at and item.ended_at
    ]
    served = sum(item.served for item in prompts)
    record.say(f"prompts served after that time: {served} of {len(prompts)}")
    return len(outdated) <= max(1, MAX_OUTDATED_SHARE * len(engines))


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).resolve().parent))
