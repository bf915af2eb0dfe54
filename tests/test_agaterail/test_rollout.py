from __future__ import annotations

import unittest

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Failure, Success

from agaterail.application import Application
from agaterail.engines import Engine, EngineReply, EngineState, OrderAnswer
from agaterail.logstore.memory import MemoryLogStore
from agaterail.rollout import LOAD_TIMEOUT_S, MAX_CONCURRENT_LOADS
from agaterail.settings import Settings
from agaterail.tables import Tables, Versioned
from agaterail.timers import ManualTimerService
from agaterail.util.address import Address
from agaterail.util.httpconn import ExchangeBroken
from tests.support import engine_pool

LOAD_S = 4.0
ADDRESSES = tuple(f"127.0.0.1:{port}" for port in range(1, 6))


class FakeReply(EngineReply):
    refused = False
    retry_after_s = None

    def __init__(self, request_id, version, status):
        self.request_id = request_id
        self.weights_version = version
        self.status = status

    def read_available(self):
        return b""

    def set_read_timeout(self, seconds):
        pass

    def discard(self):
        pass


class FakeEngine(Engine):
    """Engine that loads weights in manual time and records the orders it accepts."""

    def __init__(self, timers, fencing=True):
        self.timers = timers
        self.fencing = fencing
        self.highest_fencing = -1
        self.version = "v1"
        self.adapters = ()
        self.loading_version = None
        self.ready_at = 0.0
        self.alive = True
        self.readable = True
        self.failing_versions = set()
        self.bad_answer_versions = set()
        self.accepted_orders = []
        self.loads = 0

    def finish_load(self):
        if self.loading_version is not None and self.timers.now() >= self.ready_at:
            self.version, self.loading_version = self.loading_version, None

    @property
    def loading(self):
        self.finish_load()
        return self.loading_version is not None

    def order(self, order):
        if not self.alive:
            return Failure("no answer")
        if self.fencing and order.fencing < self.highest_fencing:
            return Success(OrderAnswer.STALE)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.accepted_orders.append(order.fencing)
        self.adapters = order.adapters
        if order.weights_version in self.failing_versions:
            return Success(OrderAnswer.FAILED)
        if order.weights_version != self.version and not self.loading:
            self.loading_version = order.weights_version
            self.ready_at = self.timers.now() + LOAD_S
            self.loads += 1
        return Success(OrderAnswer.STARTED)

    def state(self):
        if not (self.alive and self.readable):
            return Failure("no answer")
        loading = self.loading
        return Success(
            EngineState(
                incarnation="i",
                model="atlas",
                weights_version=self.version,
                adapters=self.adapters,
                role="serve",
                loading=loading,
                fencing=self.highest_fencing,
            )
        )

    def open(self, request):
        if not self.alive:
            return Failure(ExchangeBroken("dead"))
        status = 500 if self.version in self.bad_answer_versions else 200
        return Success(FakeReply(request.request_id, self.version, status))

    def resume(self, request):
        raise NotImplementedError

    def cancel(self, request_id):
        raise NotImplementedError

    def events(self, after, wait_s):
        raise NotImplementedError

    def contents(self):
        raise NotImplementedError

    def export_blocks(self, keys):
        raise NotImplementedError

    def import_blocks(self, keys, source):
        raise NotImplementedError


class Daemons:
    """Daemons whose lease and rollout controllers share one log and one clock."""

    def __init__(self, count=2, fencing=True):
        self.timers = ManualTimerService()
        self.log = MemoryLogStore()
        self.engines = {address: FakeEngine(self.timers, fencing) for address in ADDRESSES}
        self.apps = [self.make(number) for number in range(count)]
        self.desire(weights_version="v1", version=1)

    def make(self, number):
        modules = ("agaterail.controllers.leases", "agaterail.controllers.rollout")
        app = Application(
            Settings(peer_listen=Address("127.0.0.1", 100 + number)),
            timers=self.timers,
            log_store=self.log,
            modules=modules,
        )
        app.engines.update(self.engines)
        return app

    def desire(self, version, **fields):
        defaults = {"serving_min": 3, "also_serve": ("v1",)}
        pool = engine_pool(ADDRESSES, **{**defaults, **fields})
        tables = Tables(pools={pool.name: Versioned(pool, version)}, through=version)
        for app in self.apps:
            app.tables = tables

    def step(self, number):
        app = self.apps[number]
        app.controllers["leases"].reconcile()
        app.controllers["rollout"].reconcile()

    def run(self, seconds):
        for _ in range(int(seconds * 2)):
            for number in range(len(self.apps)):
                self.step(number)
            self.timers.advance(0.5)

    def versions(self):
        for engine in self.engines.values():
            engine.finish_load()
        return sorted(engine.version for engine in self.engines.values())


class RolloutTest(unittest.TestCase):
    def test_all_engines_reach_the_new_version_with_one_load_each(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(40)
        self.assertEqual(daemons.versions(), ["v2"] * 5)
        self.assertEqual([engine.loads for engine in daemons.engines.values()], [1] * 5)

    def test_a_version_that_cannot_load_stops_at_one_engine(self):
        # The first engine fails its order. The others keep serving the old
        # version and get no order.
        daemons = Daemons()
        for engine in daemons.engines.values():
            engine.failing_versions = {"v2"}
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(40)
        self.assertEqual(daemons.versions(), ["v1"] * 5)
        self.assertEqual(
            sum(bool(engine.accepted_orders) for engine in daemons.engines.values()), 1
        )

    def test_a_version_that_fails_the_probe_is_rolled_back(self):
        # The first engine loads the version but fails the probe. It is rolled
        # back to the version in also_serve, and the rollout stays halted.
        daemons = Daemons()
        for engine in daemons.engines.values():
            engine.bad_answer_versions = {"v2"}
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(60)
        self.assertEqual(daemons.versions(), ["v1"] * 5)
        self.assertEqual(
            sum(bool(engine.accepted_orders) for engine in daemons.engines.values()), 1
        )

    def test_the_next_holder_does_not_try_a_halted_version(self):
        # The lease holder halts a bad version and dies. Its successor reads the
        # halt from the log and sends no orders.
        daemons = Daemons()
        for engine in daemons.engines.values():
            engine.failing_versions = {"v2"}
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(10)
        orders = sum(len(engine.accepted_orders) for engine in daemons.engines.values())
        leader = next(
            number
            for number, app in enumerate(daemons.apps)
            if app.controllers["rollout"].fencing >= 0
        )
        for _ in range(80):
            daemons.step(1 - leader)
            daemons.timers.advance(0.5)
        self.assertGreaterEqual(daemons.apps[1 - leader].controllers["rollout"].fencing, 0)
        self.assertEqual(
            sum(len(engine.accepted_orders) for engine in daemons.engines.values()), orders
        )

    def test_the_next_holder_does_not_repeat_finished_loads(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(8)
        leader = next(
            number
            for number, app in enumerate(daemons.apps)
            if app.controllers["rollout"].fencing >= 0
        )
        for _ in range(120):
            daemons.step(1 - leader)
            daemons.timers.advance(0.5)
        self.assertEqual(daemons.versions(), ["v2"] * 5)
        self.assertEqual([engine.loads for engine in daemons.engines.values()], [1] * 5)

    def test_loads_of_the_former_holder_count_when_they_cannot_be_read(self):
        # The lease holder starts two loads and dies. Its successor cannot read
        # the state of these two engines. A third concurrent load would slow down
        # all three.
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v2", serving_min=1, version=2)
        while (
            sum(engine.loading for engine in daemons.engines.values()) < MAX_CONCURRENT_LOADS
        ):
            daemons.run(0.5)
        for engine in daemons.engines.values():
            if engine.loading:
                engine.readable = False
                engine.ready_at += 1000.0
        loads = sum(engine.loads for engine in daemons.engines.values())
        daemons.apps = [daemons.make(2)]
        daemons.desire(weights_version="v2", serving_min=1, version=2)
        daemons.run(LOAD_TIMEOUT_S)
        self.assertGreaterEqual(daemons.apps[0].controllers["rollout"].fencing, 0)
        self.assertEqual(sum(engine.loads for engine in daemons.engines.values()), loads)

    def test_the_serving_minimum_bounds_the_loads(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v2", serving_min=4, version=2)
        most = 0
        for _ in range(120):
            daemons.run(0.5)
            most = max(most, sum(engine.loading for engine in daemons.engines.values()))
        self.assertEqual(most, 1)
        self.assertEqual(daemons.versions(), ["v2"] * 5)

    def test_no_order_is_sent_that_could_arrive_after_the_lease(self):
        # An order may be in flight for 2 s. With 1 s of the lease left, it could
        # arrive after the first order of the next holder.
        daemons = Daemons(count=1)
        daemons.run(5)
        app = daemons.apps[0]
        daemons.desire(weights_version="v2", version=2)
        app.controllers["leases"].keeper.held_until = daemons.timers.now() + 1.0
        for _ in range(3):
            app.controllers["rollout"].reconcile()
        self.assertEqual(
            sum(len(engine.accepted_orders) for engine in daemons.engines.values()), 0
        )

    def test_a_late_order_on_an_engine_without_fencing_is_repaired(self):
        # An order of a paused holder for the old version arrives after the new
        # version was loaded, and the engine does not check fencing numbers. The
        # next read of its state finds the mismatch, and the order is repeated.
        daemons = Daemons(fencing=False)
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(40)
        engine = daemons.engines[ADDRESSES[0]]
        engine.loading_version, engine.ready_at = "v1", daemons.timers.now()
        daemons.run(20)
        self.assertEqual(daemons.versions(), ["v2"] * 5)

    def test_without_the_log_no_order_is_sent_once_the_lease_expires(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.log.down = True
        daemons.timers.advance(11.0)
        daemons.desire(weights_version="v2", version=2)
        daemons.run(30)
        self.assertEqual(daemons.versions(), ["v1"] * 5)
        daemons.log.down = False
        daemons.run(60)
        self.assertEqual(daemons.versions(), ["v2"] * 5)

    def test_an_engine_that_dies_while_loading_halts_the_version(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v2", version=2)
        while not any(engine.loads for engine in daemons.engines.values()):
            daemons.run(0.5)
        next(engine for engine in daemons.engines.values() if engine.loads).alive = False
        daemons.run(LOAD_TIMEOUT_S + 20)
        self.assertEqual(sum(engine.loads for engine in daemons.engines.values()), 1)


class RolloutMachine(RuleBasedStateMachine):
    """Two daemons and five engines with fencing; pauses, log outages and crashes."""

    numbers = st.integers(0, 1)
    addresses = st.sampled_from(ADDRESSES)

    def __init__(self):
        super().__init__()
        self.daemons = Daemons()
        self.version = 1
        self.killed = False

    @rule(number=numbers)
    def step(self, number):
        self.daemons.step(number)

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds):
        self.daemons.timers.advance(seconds)

    @rule(seconds=st.sampled_from([3, 10]))
    def run_all(self, seconds):
        self.daemons.run(seconds)

    @rule(name=st.sampled_from(["v1", "v2", "v3"]))
    def edit(self, name):
        self.version += 1
        self.daemons.desire(weights_version=name, version=self.version)

    @rule(down=st.booleans())
    def log_down(self, down):
        self.daemons.log.down = down

    @rule(number=numbers)
    def restart(self, number):
        tables = self.daemons.apps[number].tables
        self.daemons.apps[number] = self.daemons.make(number)
        self.daemons.apps[number].tables = tables

    @precondition(lambda self: not self.killed)
    @rule(address=addresses)
    def kill_engine(self, address):
        self.daemons.engines[address].alive = False
        self.killed = True

    @invariant()
    def at_most_two_engines_load(self):
        loading = [engine.loading for engine in self.daemons.engines.values()]
        assert sum(loading) <= MAX_CONCURRENT_LOADS

    @invariant()
    def fencing_numbers_never_decrease(self):
        for engine in self.daemons.engines.values():
            assert engine.accepted_orders == sorted(engine.accepted_orders)

    @invariant()
    def the_serving_minimum_is_kept(self):
        loading = sum(engine.loading for engine in self.daemons.engines.values())
        assert len(ADDRESSES) - loading >= 3

    def teardown(self):
        for engine in self.daemons.engines.values():
            engine.alive = True
        self.daemons.log.down = False
        self.version += 1
        self.daemons.desire(weights_version="v9", version=self.version)
        self.daemons.run(2 * LOAD_TIMEOUT_S + 60)
        assert self.daemons.versions() == ["v9"] * 5


RolloutMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=25)
RolloutMachineTest = RolloutMachine.TestCase


class DesiredStateTest(unittest.TestCase):
    def test_an_edit_of_adapters_alone_reaches_all_engines_without_a_load(self):
        daemons = Daemons()
        daemons.run(5)
        daemons.desire(weights_version="v1", adapters=("depot",), version=2)
        daemons.run(40)
        adapters = {engine.adapters for engine in daemons.engines.values()}
        self.assertEqual(adapters, {("depot",)})
        self.assertEqual(sum(engine.loads for engine in daemons.engines.values()), 0)

    def test_evolving_a_pool_makes_another_revision(self):
        pool = engine_pool(ADDRESSES)
        self.assertNotEqual(
            Versioned(pool, 1), Versioned(attrs.evolve(pool, role="prefill"), 2)
        )
