"""Engines of two builds behind several gateways."""

from __future__ import annotations

import unittest

from tests.gateway_fleet import LLM, MODEL, Fleet


class BuildsTest(unittest.TestCase):
    """Engines of two builds serve side by side; each breaks off in one event of a stream."""

    gateways = 3

    def setUp(self):
        self.fleet = Fleet(gateways=self.gateways)
        self.addCleanup(self.fleet.stop)
        self.add_engines(("e-2", "v2"), ("e-3", "v2"))

    def add_engines(self, *engines):
        for instance, build in engines:
            self.fleet.add_target(instance, LLM, MODEL, build)
        known = len(self.fleet.targets)
        self.fleet.wait(lambda: all(len(d.registry.targets) == known for d in self.daemons))

    @property
    def daemons(self):
        return self.fleet.daemons

    @property
    def engines(self):
        return [item for item in self.fleet.targets.values() if item.model]

    def forget(self, instance):
        """Have all gateways drop a target."""
        self.fleet.store.put("keyed.servers", instance, b"")
        self.fleet.wait(lambda: all(instance not in d.registry.targets for d in self.daemons))

    def begin(self, request_id, gateway=0, goes_on=False, **fields):
        """Begin a stream whose engine breaks off; return what the caller got.

        Parameters
        ----------
        goes_on
            Whether other engines go on with the stream.
        """
        for engine in self.engines:
            engine.break_after, engine.break_begun_only = 4, goes_on
        answer = self.fleet.ask(
            "/resumed/x", gateway, request_id=request_id, stream=True, **fields
        )
        for engine in self.engines:
            engine.break_after = None
        self.end_backoffs()
        return answer

    def engine_of(self, request_id):
        """Return the engine that began a stream."""
        return next(
            engine
            for engine in self.engines
            for run in engine.runs
            if run.request_id == request_id and not run.headers.get("last-event-id")
        )

    def end_backoffs(self):
        for daemon in self.daemons:
            for target in daemon.registry.targets.values():
                target.record_success()

    def take_up(self, request_id, resumes, after, gateway=1, **fields):
        headers = [f"Last-Event-Id: {after}", f"Resumes: {resumes}"]
        return self.fleet.ask(
            "/resumed/x",
            gateway,
            request_id=request_id,
            headers=headers,
            stream=True,
            **fields,
        )
