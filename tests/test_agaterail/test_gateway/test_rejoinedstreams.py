"""Streams that callers take up after all daemons were killed and came back."""

from __future__ import annotations

from tests.build_fleet import BuildsTest
from tests.gateway_fleet import LLM


class RejoinedStreamsTest(BuildsTest):
    """No answer may hold the end of one build after the beginning of another."""

    gateways = 2

    def kill_all(self):
        """Kill all daemons; return how many new ones are to be started."""
        self.bounds = self.daemons[0].settings.bounds
        for daemon in self.daemons:
            daemon.close()
        self.fleet.daemons.clear()

    def start_all(self):
        self.fleet.daemons.extend(
            self.fleet.add_gateway(f"new-{number}", self.bounds)
            for number in range(self.gateways)
        )
        self.fleet.wait(lambda: all(daemon.ready for daemon in self.daemons))

    def begin_and_kill(self):
        """Begin a stream, kill all daemons; return the build that began it."""
        self.begin("r1")
        build = self.engine_of("r1").build
        self.kill_all()
        return build

    def engines_of(self, build):
        return [name for name, item in self.fleet.targets.items() if item.build == build]

    def assert_not_joined(self, build):
        """Take the stream up in several ways; each answer is of its build or refused."""
        for number, headers in enumerate(
            (
                ["Last-Event-Id: 3", "Resumes: r1"],
                ["Last-Event-Id: 3", "Resumes: s0"],  # a later try that brought no event
                ["Last-Event-Id: 3"],
            )
        ):
            for gateway in range(self.gateways):
                answer = self.fleet.ask(
                    "/resumed/x",
                    gateway,
                    request_id=f"s{number}",
                    headers=headers,
                    stream=True,
                )
                with self.subTest(headers=headers, gateway=gateway):
                    self.assertIn(answer.builds, (set(), {build}))
                    self.assertIn(answer.status, (200, 503))

    def test_a_stream_goes_on_at_the_other_build_as_its_own_has_left(self):
        build = self.begin_and_kill()
        for name in self.engines_of(build):
            self.fleet.store.put("keyed.servers", name, b"")
        self.start_all()
        self.assert_not_joined(build)

    def test_a_stream_goes_on_at_the_other_build_as_its_own_left_just_before(self):
        self.begin("r1")
        build = self.engine_of("r1").build
        for name in self.engines_of(build):
            self.forget(name)
        self.kill_all()
        self.start_all()
        self.assert_not_joined(build)

    def test_a_stream_goes_on_at_engines_that_started_again_with_another_build(self):
        build = self.begin_and_kill()
        for engine in self.engines:
            engine.build, engine.born = "v9", engine.born + 1
        self.start_all()  # the entries still name the former builds
        self.assert_not_joined(build)
        for name, engine in self.fleet.targets.items():
            if engine.model:
                self.fleet.register(name)
        registries = [daemon.registry for daemon in self.daemons]
        self.fleet.wait(lambda: all("v9" in str(item.builds_of(LLM)) for item in registries))
        self.assert_not_joined(build)

    def test_a_daemon_that_was_down_alone_goes_on_at_the_other_build(self):
        """The daemon reads a listing without the removed engines, and knows no stream."""
        self.begin("r1", gateway=0)
        build = self.engine_of("r1").build
        bounds = self.daemons[0].settings.bounds
        self.daemons[0].close()
        for name in self.engines_of(build):
            self.fleet.store.put("keyed.servers", name, b"")
        self.fleet.daemons[0] = self.fleet.add_gateway("new-0", bounds)
        self.fleet.wait(lambda: self.daemons[0].ready)
        self.assert_not_joined(build)
