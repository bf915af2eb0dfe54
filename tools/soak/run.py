"""One seeded run of the soak."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import gevent

from tools.soak.callers import Caller
from tools.soak.checks import Evidence
from tools.soak.faults import Faults
from tools.soak.world import World

if TYPE_CHECKING:
    import pathlib

# A gateway takes half a second of a core to start; a few hundred share the cores.
START_S = 15.0
START_S_PER_GATEWAY = 0.4
RECOVERY_S = 7.0
CALM_S = 2.0


@attrs.frozen
class Found:
    """What a run showed."""

    seed: int
    asked: int
    served: int
    faults: int
    problems: list[str]

    @property
    def summary(self) -> str:
        """Return one line."""
        state = "BROKEN" if self.problems else "held"
        return (
            f"seed {self.seed}: {state}; {self.faults} faults, {self.served} of "
            f"{self.asked} requests served"
        )


def soak(
    seed: int,
    seconds: float,
    gateways: int,
    callers: int,
    folder: pathlib.Path,
    deal: bool = False,
) -> Found:
    """Run gateways under faults and check the promises."""
    world = World(folder, gateways)
    try:
        late = _not_started(world)
        if late:
            return Found(seed, 0, 0, 0, late)
        crowd = [Caller(world, number, seed) for number in range(callers)]
        calling = [gevent.spawn(caller.run) for caller in crowd]
        faults = Faults(world, seed, deal)
        faults.run(seconds)
        for gateway in world.gateways:
            world.start(gateway)
        gevent.sleep(RECOVERY_S)
        calm_from = time.monotonic()
        gevent.sleep(CALM_S)
        gevent.killall(calling)
        asked = [item for caller in crowd for item in caller.asked if item.ended_at]
        evidence = Evidence(world, [i for c in crowd for i in c.asked], faults.done, calm_from)
        problems = evidence.check()
    finally:
        world.stop()
    served = sum(item.status == 200 and item.whole for item in asked)
    return Found(seed, len(asked), served, len(faults.done), problems)


def _not_started(world: World) -> list[str]:
    """Wait until all gateways are ready; returns what is known of those that are not."""
    limit_s = START_S + len(world.gateways) * START_S_PER_GATEWAY
    until = time.monotonic() + limit_s
    while any(not gateway.ready for gateway in world.gateways):
        if time.monotonic() >= until:
            late = [gateway for gateway in world.gateways if not gateway.ready]
            return [
                f"{gateway.name}: not ready after {limit_s:.1f} s: {gateway.last_line}"
                for gateway in late
            ]
        gevent.sleep(0.05)
    return []
