"""Workspaces that become isolated, share again, are removed and added while others share."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from tools.soak.testbed import REVOKE_S

if TYPE_CHECKING:
    from standins.platform_engine import Run
    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Testbed

MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 6.0
WORKSPACES = {"k7": "w7", "k8": "w8", "k9": "w9"}
ABSENT_SHARE = 0.15


@attrs.frozen
class IsolationChange:
    """A desired state: which of the workspaces are isolated, and since when."""

    at: float
    isolated: frozenset[str]


class IsolationInjector:
    """Publishes desired states in which some workspaces are isolated or removed.

    They are no disturbance: no check excuses anything for them.

    Attributes
    ----------
    changes
        Published states, oldest first.
    """

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"isolation {seed}")
        self.changes: list[IsolationChange] = []

    def begin(self) -> None:
        """Add the workspaces, all of which share."""
        self.testbed.keys.update(WORKSPACES)
        self._publish(dict.fromkeys(WORKSPACES.values(), False))

    def run(self, seconds: float) -> None:
        """Change one workspace after the other for a duration; all are there at the end."""
        until = time.monotonic() + seconds
        modes: dict[str, bool] = dict.fromkeys(WORKSPACES.values(), False)
        while seconds and time.monotonic() < until:
            gevent.sleep(self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            name = self.random.choice(list(WORKSPACES.values()))
            if name in modes and self.random.random() < ABSENT_SHARE:
                del modes[name]
            else:
                modes[name] = not modes.get(name, False)
            self._publish(modes)
        if seconds:
            self._publish({**dict.fromkeys(WORKSPACES.values(), False), **modes})

    def _publish(self, modes: dict[str, bool]) -> None:
        self.testbed.isolated = dict(modes)
        self.testbed.publish()
        isolated = frozenset(name for name, is_isolated in modes.items() if is_isolated)
        self.changes.append(IsolationChange(time.monotonic(), isolated))


def check_isolation(
    testbed: Testbed, changes: list[IsolationChange], requests: list[CallerRequest]
) -> list[str]:
    """Return a description of each prompt that found parts across an isolation.

    Parts are taken to stay for good, at all engines. A workspace counts as isolated from
    when no host may accept a key by a desired state from before.
    """
    sent_at = {request.request_id: request.sent_at for request in requests}
    runs = [run for target in testbed.targets.values() for run in target.runs]
    runs = [run for run in runs if run.headers.get("cache-salt") and run.request_id in sent_at]
    makers: dict[str, set[str]] = {}
    problems = []
    for run in sorted(runs, key=lambda item: item.started_at):
        scope, name = run.headers["cache-salt"], run.headers.get("tenant", "")
        isolated = _isolated_for(changes, sent_at[run.request_id], run)
        others = makers.setdefault(scope, set()) - {name}
        crossed = others if name in isolated else others & isolated
        if crossed:
            problems.append(
                f"{run.request_id}: parts of {sorted(crossed)} under {scope} used by {name}"
            )
        makers[scope].add(name)
    return problems


def _isolated_for(changes: list[IsolationChange], sent_at: float, run: Run) -> frozenset[str]:
    """Return the workspaces that each desired state which may be in force isolates."""
    newest = [item for item in changes if item.at <= sent_at - REVOKE_S][-1:]
    later = [item for item in changes if sent_at - REVOKE_S < item.at <= run.started_at]
    if not newest:
        return frozenset()
    return frozenset.intersection(*(item.isolated for item in (*newest, *later)))
