"""Most new channels go to one machine, which stays ready when it takes no more."""

from __future__ import annotations

import pathlib
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3]))

from review.deployment2 import (
    CONTACT_S,
    LIMITS,
    PLAIN,
    CaseError,
    Deployment,
    Gateway,
    Record,
    exchange,
    route,
    run_case,
    services,
)
from standins.platform_engine import PlatformTargetStandIn

import gevent  # isort: skip
from gevent import socket  # isort: skip
from gevent.pool import Group  # isort: skip

GATEWAYS, ENGINES = 2, 3
# Each is used again well before four fifths of the idle limit of 15 s.
CHANNELS, OPENED_PER_S, REUSED_AFTER_S = 1800, 250.0, 8.0
CONSUMERS, TRY_PERIOD_S, TRIED_FOR_S = 10, 0.1, 6.0
READY_PERIOD_S = 1.0
NEEDED_DESCRIPTORS = 6000


class Watch:
    """What a machine says and does with new channels."""

    def __init__(self) -> None:
        self.tried: list[float] = []
        self.taken: list[float] = []
        self.ready: list[tuple[float, bool]] = []

    def longest_refusal_s(self) -> float:
        """Return the longest time without a channel that was taken, while others tried."""
        if not self.tried:
            return 0.0
        marks = sorted([self.tried[0], *self.taken, self.tried[-1]])
        return max(after - before for before, after in zip(marks, marks[1:], strict=False))


def case(record: Record, trouble: bool) -> str:
    """Run the case; return why the rule was broken."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < NEEDED_DESCRIPTORS:
        raise CaseError(f"{hard} descriptors are too few")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, NEEDED_DESCRIPTORS), hard))
    deployment = Deployment(record, GATEWAYS)
    kept: Group = Group()
    try:
        for number in range(ENGINES):
            engine = PlatformTargetStandIn(f"i-{number}")
            engine.work_s = 0.002
            deployment.register(engine.instance, engine.registration(PLAIN, engine.start()))
        deployment.publish(
            version=1,
            routes=[route("stock", "safe", PLAIN)],
            services=services(),
            limits=LIMITS,
            tenants=[{"name": "t1", "api_keys": ["k1"], "priority": 1, "isolated": False}],
        )
        deployment.start_all()
        one = deployment.gateways[0]
        for number in range(CHANNELS):
            # The platform spreads channels evenly unless it is disturbed.
            gateway = one if trouble else deployment.gateways[number % GATEWAYS]
            kept.spawn(keep_channel, gateway, number)
            gevent.sleep(1.0 / OPENED_PER_S)
        record.line(f"{CHANNELS} channels were opened")
        watch = Watch()
        trying: Group = Group()
        trying.spawn(ask_ready, deployment, one, watch)
        for number in range(CONSUMERS):
            trying.spawn(try_channels, record, one, number, watch)
        trying.join()
        return judge(record, watch)
    finally:
        kept.kill(block=False)
        deployment.stop()


def request(request_id: str) -> bytes:
    """Return one request."""
    lines = ["GET /stock/1 HTTP/1.1", "Host: h.example", f"Request-Id: {request_id}"]
    lines += ["Deadline-Ms: 2000", "Authorization: Bearer k1"]
    return "\r\n".join([*lines, "", ""]).encode()


def keep_channel(gateway: Gateway, number: int) -> None:
    """Open a channel and use it again and again."""
    try:
        sock = socket.create_connection((gateway.ip, gateway.caller_port), timeout=1.0)
        sock.settimeout(3.0)
        turn = 0
        while True:
            sock.sendall(request(f"kept-{number}-{turn}"))
            if not sock.recv(65536):
                return
            turn += 1
            gevent.sleep(REUSED_AFTER_S)
    except OSError:
        return


def try_channels(record: Record, gateway: Gateway, number: int, watch: Watch) -> None:
    """Open new channels, one after the other."""
    until, turn = time.monotonic() + TRIED_FOR_S, 0
    while time.monotonic() < until:
        request_id = f"new-{number}-{turn}"
        watch.tried.append(time.monotonic())
        answer = exchange((gateway.ip, gateway.caller_port), request(request_id), 2.0)
        if answer.status:
            watch.taken.append(time.monotonic())
        record.line(f"consumer {number}: {request_id} at {gateway.name}: {answer.status}")
        turn += 1
        gevent.sleep(TRY_PERIOD_S)


def ask_ready(deployment: Deployment, gateway: Gateway, watch: Watch) -> None:
    """Ask the machine once a second whether it is ready, as the platform does."""
    until = time.monotonic() + TRIED_FOR_S
    while time.monotonic() < until:
        is_ready = deployment.is_ready(gateway)
        watch.ready.append((time.monotonic(), is_ready))
        deployment.record.line(f"{gateway.name} ready: {is_ready}")
        gevent.sleep(READY_PERIOD_S)


def judge(record: Record, watch: Watch) -> str:
    """Return why the rule RECOVER was broken."""
    longest_s = watch.longest_refusal_s()
    is_ready = all(ready for _, ready in watch.ready)
    record.say(f"new channels: {len(watch.tried)} tried, {len(watch.taken)} taken")
    record.say(f"said ready: {sum(ready for _, ready in watch.ready)} of {len(watch.ready)}")
    record.say(f"longest time without one that was taken: {longest_s:.1f} s")
    if is_ready and longest_s > CONTACT_S:
        return f"RECOVER: ready, and no channel taken for {longest_s:.1f} s"
    return ""


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
