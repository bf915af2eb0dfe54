"""A part of prompts ends each engine that begins to answer, together with its machine."""

from __future__ import annotations

import contextlib
import pathlib
import socket as std_socket
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3]))

from review.deployment2 import (
    CONTACT_S,
    LIMITS,
    LLM,
    MODEL,
    CaseError,
    Deployment,
    Record,
    route,
    run_case,
    services,
)
from standins.platform_engine import LINGER_RESET, PlatformTargetStandIn, Run

import gevent  # isort: skip
from gevent import select, socket  # isort: skip
from gevent.pool import Group  # isort: skip
from gevent.server import StreamServer  # isort: skip

GATEWAYS, ENGINES = 2, 8
SECONDS = 40.0
DARK_S = 3.0
FATAL_PERIOD_S, SOUND_PERIOD_S = 2.0, 0.1
FATAL_PART, SHARED_PART = "fa7a1", "5c1e07a2"
FREE_CRASHES, MAX_ARRIVALS = 5, 3
BACKLOG = 16
MAX_FILLERS = 4 * BACKLOG
POLL_S = 0.05


class DarkEngine(PlatformTargetStandIn):
    """Engine whose machine goes dark under the fatal part and comes back after a while.

    Open channels fall silent without an end and new ones are not accepted. Once the machine
    is back, former channels are reset when something arrives on them.
    """

    def __init__(self, instance: str, deployment: Deployment, fatal: bool) -> None:
        super().__init__(instance, MODEL)
        self.deployment = deployment
        self.crash_parts = frozenset({FATAL_PART} if fatal else ())
        self.is_dark = False
        self.fillers: list[Any] = []
        self.address = ""

    def begin(self) -> None:
        """Listen and register."""
        listener = socket.socket()
        listener.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", 0))
        listener.listen(BACKLOG)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.server = StreamServer(listener, self._serve)
        self.server.start()
        self.register()

    def register(self) -> None:
        """Write the engine's entry."""
        entry = self.registration(LLM, self.address)
        self.deployment.register(self.instance, entry)

    def _answer(
        self, sock: Any, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bool:
        start = self.born
        if self.is_dark:
            return self._stay_silent(sock)
        try:
            goes_on = super()._answer(sock, method, path, headers, body)
        except OSError:
            goes_on = False
        if self.is_dark or self.born != start:
            return self._stay_silent(sock)
        return goes_on

    def _stream(self, sock: Any, run: Run, answer_headers: dict[str, str]) -> bool:
        if self._is_fatal(run):
            self._go_dark(run)
            return False
        return super()._stream(sock, run, answer_headers)

    def _go_dark(self, run: Run) -> None:
        if self.is_dark:
            return
        self.is_dark = True
        self.ends.append((time.monotonic(), run.request_id))
        self.deployment.record.line(f"{self.instance} ended under {run.request_id}")
        for other in self.runs:
            if other.outcome == "open":
                other.end("crashed")
        assert self.server is not None
        self.server.stop_accepting()
        self._fill_backlog()
        gevent.spawn_later(DARK_S, self._come_back)

    def _fill_backlog(self) -> None:
        """Leave no room for new channels, so that the kernel drops what opens one."""
        host, _, port = self.address.rpartition(":")
        while len(self.fillers) < MAX_FILLERS:
            filler = std_socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)

    def _come_back(self) -> None:
        assert self.server is not None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.born += 1
        self.is_dark = False
        self.server.start_accepting()
        self.register()
        self.deployment.record.line(f"{self.instance} is back")

    def _stay_silent(self, sock: Any) -> bool:
        """Send nothing; once the machine is back, reset the channel when something comes."""
        while self.is_dark:
            gevent.sleep(POLL_S)
        with contextlib.suppress(OSError, ValueError):
            select.select([sock], [], [])
            sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, LINGER_RESET)
        return False


def case(record: Record, trouble: bool) -> str:
    """Run the case; return why the rule was broken."""
    deployment = Deployment(record, GATEWAYS)
    try:
        deployment.name_weights(1)
        engines = [DarkEngine(f"i-{n}", deployment, fatal=trouble) for n in range(ENGINES)]
        for engine in engines:
            engine.begin()
        deployment.publish(
            version=1,
            routes=[route("chat", "streaming", LLM, resumable=True)],
            services=services(),
            limits=LIMITS,
            tenants=[{"name": "t1", "api_keys": ["k1"], "priority": 1, "isolated": False}],
        )
        deployment.start_all()
        asked: Group = Group()
        statuses: dict[str, list[bool]] = {"fatal": [], "sound": []}

        def ask(kind: str, number: int, parts: str) -> None:
            answer = deployment.ask(
                deployment.gateways[number % GATEWAYS],
                "/chat/1",
                f"{kind}-{number}",
                key="k1",
                headers={
                    "Model": MODEL,
                    "Token-Usage": "1000,20",
                    "Prompt-Prefix": f"{parts},{number + 0xD00000:x}:150",
                },
                body=b"{}",
            )
            statuses[kind].append(answer.status == 200 and answer.complete)

        fatal_every = round(FATAL_PERIOD_S / SOUND_PERIOD_S)
        for number in range(1, round(SECONDS / SOUND_PERIOD_S)):
            asked.spawn(ask, "sound", number, f"{SHARED_PART}:400")
            if number % fatal_every == 0:
                # At the gateways in turn.
                gateway = number // fatal_every % GATEWAYS
                parts = f"{SHARED_PART}:400,{FATAL_PART}:100"
                asked.spawn(ask, "fatal", number + gateway, parts)
            gevent.sleep(SOUND_PERIOD_S)
        asked.join(timeout=5.0)
        for kind, served in statuses.items():
            record.say(f"{kind} requests served: {sum(served)} of {len(served)}")
        if not trouble and not all(statuses["sound"]):
            raise CaseError("sound requests failed without a disruption")
        return judge(record, engines)
    finally:
        deployment.stop()


def judge(record: Record, engines: list[DarkEngine]) -> str:
    """Return why the rule BUDGET was broken."""
    ends = sorted(at for engine in engines for at, _ in engine.ends)
    record.say(f"ends of engines: {len(ends)}")
    if len(ends) < FREE_CRASHES:
        return ""
    from_s = ends[FREE_CRASHES - 1] + CONTACT_S
    arrivals = (item for engine in engines for item in engine.arrivals)
    late = [name for at, name in arrivals if at > from_s and name.startswith("fatal")]
    record.say(
        f"fatal requests at engines over {CONTACT_S} s after the fifth end: {len(late)}"
    )
    if len(late) <= MAX_ARRIVALS:
        return ""
    return f"BUDGET: {len(late)} requests with the part, {MAX_ARRIVALS} allowed"


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
