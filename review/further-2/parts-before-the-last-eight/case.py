"""A part near the beginning of long prompts ends each engine that begins to answer."""

from __future__ import annotations

import pathlib
import random
import sys
import time
from collections.abc import Sequence

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3]))

from review.deployment2 import (
    CONTACT_S,
    LIMITS,
    LLM,
    MODEL,
    Deployment,
    Record,
    route,
    run_case,
    services,
)
from standins.platform_engine import PlatformTargetStandIn

import attrs  # isort: skip
import gevent  # isort: skip
from gevent.pool import Group  # isort: skip

GATEWAYS, ENGINES = 2, 8
SECONDS = 40.0
BACK_S = 2.0
FATAL_PERIOD_S, SOUND_PERIOD_S = 0.5, 0.1
FATAL_PART = "fa7a1"
SYSTEM_PART = "5c1e07a2"
# Turns of conversations, which fatal and sound prompts share.
TURNS = [f"{0xB00000 + number:x}" for number in range(40)]
TURNS_IN_PROMPT = 9
FREE_CRASHES, MAX_ARRIVALS = 5, 3


@attrs.define
class Sent:
    """A fatal request at an engine."""

    request_id: str
    at: float


class Fleet:
    """Engines that end under the fatal part and come back after some seconds."""

    def __init__(self, deployment: Deployment, fatal: bool) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.engines = [self._engine(f"i-{number}", fatal) for number in range(ENGINES)]

    def _engine(self, instance: str, fatal: bool) -> PlatformTargetStandIn:
        engine = PlatformTargetStandIn(instance, MODEL)
        engine.crash_parts = frozenset({FATAL_PART} if fatal else ())
        address = engine.start()
        port = int(address.rpartition(":")[2])
        engine.on_crashed = lambda: gevent.spawn(self._bring_back, engine, port)
        self.deployment.register(instance, engine.registration(LLM, address))
        return engine

    def _bring_back(self, engine: PlatformTargetStandIn, port: int) -> None:
        self.record.line(f"{engine.instance} ended under {engine.ends[-1][1]}")
        gevent.sleep(BACK_S)
        engine.born += 1
        address = engine.start(port=port)
        self.deployment.register(engine.instance, engine.registration(LLM, address))
        self.record.line(f"{engine.instance} is back")

    @property
    def ends(self) -> list[float]:
        """Return when engines ended."""
        return sorted(at for engine in self.engines for at, _ in engine.ends)

    @property
    def fatal_arrivals(self) -> list[Sent]:
        """Return the fatal requests that reached an engine."""
        found = [Sent(name, at) for engine in self.engines for at, name in engine.arrivals]
        return sorted(
            (item for item in found if item.request_id.startswith("fatal")),
            key=lambda item: item.at,
        )


def case(record: Record, trouble: bool) -> str:
    """Run the case; return why the rule was broken."""
    deployment = Deployment(record, GATEWAYS)
    try:
        deployment.name_weights(1)
        fleet = Fleet(deployment, fatal=trouble)
        deployment.publish(
            version=1,
            routes=[route("chat", "streaming", LLM, resumable=True)],
            services=services(),
            limits=LIMITS,
            tenants=[{"name": "t1", "api_keys": ["k1"], "priority": 1, "isolated": False}],
        )
        deployment.start_all()
        asked: Group = Group()
        random_turns = random.Random(7)
        until, number = time.monotonic() + SECONDS, 0
        fatal_every = round(FATAL_PERIOD_S / SOUND_PERIOD_S)
        statuses: dict[str, list[bool]] = {"fatal": [], "sound": []}

        def ask(kind: str, number: int, parts: Sequence[str]) -> None:
            answer = deployment.ask(
                deployment.gateways[number % GATEWAYS],
                "/chat/1",
                f"{kind}-{number}",
                key="k1",
                headers={
                    "Model": MODEL,
                    "Token-Usage": "2000,20",
                    "Prompt-Prefix": ",".join(f"{part}:150" for part in parts),
                },
                body=b"{}",
            )
            statuses[kind].append(answer.status == 200 and answer.complete)

        while time.monotonic() < until:
            number += 1
            turns = random_turns.sample(TURNS, TURNS_IN_PROMPT)
            own = f"{0xD00000 + number:x}"
            asked.spawn(ask, "sound", number, [SYSTEM_PART, *turns, own])
            if number % fatal_every == 0:
                parts = [SYSTEM_PART, FATAL_PART, *turns, f"e{own}"]
                asked.spawn(ask, "fatal", number, parts)
            gevent.sleep(SOUND_PERIOD_S)
        asked.join(timeout=5.0)
        for kind, served in statuses.items():
            record.say(f"{kind} requests served: {sum(served)} of {len(served)}")
        return judge(record, fleet)
    finally:
        deployment.stop()


def judge(record: Record, fleet: Fleet) -> str:
    """Return why the rule BUDGET was broken."""
    ends = fleet.ends
    record.say(f"ends of engines: {len(ends)}")
    if len(ends) < FREE_CRASHES:
        return ""
    from_s = ends[FREE_CRASHES - 1] + CONTACT_S
    late = [item for item in fleet.fatal_arrivals if item.at > from_s]
    record.say(
        f"fatal requests at engines over {CONTACT_S} s after the fifth end: {len(late)}"
    )
    if len(late) <= MAX_ARRIVALS:
        return ""
    return f"BUDGET: {len(late)} requests with the part, {MAX_ARRIVALS} allowed"


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
