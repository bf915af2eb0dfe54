"""A tenant becomes isolated while engines keep parts that its requests made."""

from __future__ import annotations

import json
import pathlib
import sys
import time
from collections.abc import Iterator
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.deployment2 import (
    LIMITS,
    LLM,
    MODEL,
    Answer,
    Deployment,
    Gateway,
    Record,
    route,
    run_case,
    services,
)
from standins.platform_engine import PlatformTargetStandIn, Run

import attrs  # isort: skip
import gevent  # isort: skip

GATEWAYS, ENGINES = 2, 2
CONFIG_S = 2.0
SETTLE_S = 0.5
REQUESTS = 10
PARTS = ("5c1e07a2", "91bd3f06")
TENANTS = {"clinic": "key-clinic", "shop": "key-shop"}


@attrs.frozen
class Use:
    """A request that used a cached part."""

    part: str
    salt: str
    made_by: str
    used_by: str
    at: float


class CachingEngine(PlatformTargetStandIn):
    """Engine that keeps the shared parts of prompts under their salt, and who made them."""

    def __init__(self, instance: str, record: Record) -> None:
        super().__init__(instance, MODEL, events=4)
        self.record = record
        self.cache: dict[tuple[str, str], str] = {}
        self.uses: list[Use] = []

    def _stream(self, sock: Any, run: Run, answer_headers: dict[str, str]) -> bool:
        tenant, salt = run.headers.get("tenant", ""), run.headers.get("cache-salt", "")
        entries = run.headers["prompt-prefix"].split(",")[:-1]
        found = True
        for part in (entry.partition(":")[0].strip() for entry in entries):
            made_by = self.cache.get((salt, part)) if found else None
            found = made_by is not None
            if made_by is None:
                self.cache[salt, part] = tenant
            elif made_by != tenant:
                self.uses.append(Use(part, salt, made_by, tenant, time.monotonic()))
            self.record.line(
                f"{self.instance} runs {run.request_id} of {tenant}: part {part} under salt "
                f"{salt or 'none'} {'made by ' + made_by if made_by else 'read now'}"
            )
        return super()._stream(sock, run, answer_headers)


def case(record: Record, trouble: bool) -> str:
    """Run the case; return why the rule was broken."""
    deployment = Deployment(record, GATEWAYS)
    engines = [CachingEngine(f"i-{number}", record) for number in range(ENGINES)]
    try:
        for engine in engines:
            address = engine.start()
            deployment.register(engine.instance, engine.registration(LLM, address))
        deployment.name_weights(1)
        # Without the disruption the tenant is isolated from the start.
        publish(deployment, 1, clinic_isolated=not trouble)
        deployment.start_all()
        numbers = iter(range(1000))
        ask_all(deployment, "clinic", numbers)
        if trouble:
            publish(deployment, 2, clinic_isolated=True)
        gevent.sleep(CONFIG_S + SETTLE_S)
        isolated_from = time.monotonic()
        ask_all(deployment, "shop", numbers)
        ask_all(deployment, "clinic", numbers)
        return judge(record, engines, isolated_from)
    finally:
        deployment.stop()


def publish(deployment: Deployment, version: int, clinic_isolated: bool) -> None:
    """Publish a desired state."""
    isolated = {"clinic": clinic_isolated, "shop": False}
    deployment.publish(
        version=version,
        routes=[route("ask", "streaming", LLM, resumable=True)],
        services=services(),
        limits=LIMITS,
        tenants=[
            {"name": name, "api_keys": [key], "priority": 1, "isolated": isolated[name]}
            for name, key in TENANTS.items()
        ],
    )
    deployment.record.line(f"operator: clinic is{'' if clinic_isolated else ' not'} isolated")


def ask_all(deployment: Deployment, tenant: str, numbers: Iterator[int]) -> None:
    """Send some prompts of a tenant, with the same shared parts, one after the other."""
    for _ in range(REQUESTS):
        number = next(numbers)
        ask(deployment, deployment.gateways[number % GATEWAYS], tenant, number)


def ask(deployment: Deployment, gateway: Gateway, tenant: str, number: int) -> Answer:
    """Send one prompt."""
    shared = ",".join(f"{part}:400" for part in PARTS)
    headers = {
        "Model": MODEL,
        "Token-Usage": "1000,20",
        "Prompt-Prefix": f"{shared},{number + 4096:x}:200",
    }
    return deployment.ask(
        gateway,
        "/ask/1",
        f"{tenant}-{number}",
        key=TENANTS[tenant],
        headers=headers,
        body=json.dumps({"number": number}).encode(),
    )


def judge(record: Record, engines: list[CachingEngine], isolated_from: float) -> str:
    """Return why the rule WALL was broken."""
    uses = [use for engine in engines for use in engine.uses if use.at >= isolated_from]
    for use in uses[:4]:
        record.say(f"part {use.part} made by {use.made_by} was used by {use.used_by}")
    record.say(f"parts used across the wall: {len(uses)}")
    return f"WALL: {len(uses)} uses of parts of an isolated tenant" if uses else ""


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
