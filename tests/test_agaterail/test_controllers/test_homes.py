from __future__ import annotations

import unittest

import attrs
from returns.result import Failure, Success

from agaterail.application import Application
from agaterail.candidates import sample_prefix
from agaterail.engines import CacheContents, CacheEvent, CacheEventKind, CacheEvents
from agaterail.events import MembersChanged, TablesChanged
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.policies import Placement
from agaterail.prefix import Prefix
from agaterail.settings import Settings
from agaterail.tables import Tables, Versioned
from agaterail.timers import ManualTimerService
from agaterail.util.address import Address
from tests.support import chat_route, engine_pool, load_report

ENGINES = tuple(f"10.0.1.{number}:80" for number in range(1, 6))
DAEMONS = tuple(f"10.0.0.{number}:81" for number in range(1, 4))
BLOCKS = 8


class FakeEngine:
    """Control API of an engine whose answers are set by each test."""

    def __init__(self):
        self.incarnation = "a"
        self.stored = []
        self.report = load_report()
        self.down = False
        self.polls = 0

    def events(self, after, wait_s):
        self.polls += 1
        if self.down:
            return Failure("no answer")
        fresh = [event for event in self.stored if event.sequence > after]
        last = max(after, len(self.stored))
        return Success(CacheEvents(self.incarnation, fresh, last, self.report))

    def contents(self):
        if self.down:
            return Failure("no answer")
        keys = tuple(key for event in self.stored for key in event.keys)
        return Success(CacheContents(self.incarnation, len(self.stored), keys))

    def store(self, prefix):
        event = CacheEvent(len(self.stored) + 1, CacheEventKind.STORED, prefix.keys)
        self.stored.append(event)


def prefix_of(number):
    keys = tuple(bytes([number + 1, block]) * 8 for block in range(BLOCKS))
    return Prefix(keys, (BLOCKS // 2,), BLOCKS * 10 + 5, keys[-1])


class InMemoryFleet:
    """Three daemons and five engines without sockets or real clocks."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.network = MemoryNetwork()
        self.engines = {address: FakeEngine() for address in ENGINES}
        self.pool = engine_pool(ENGINES, prefill_ms_per_token=1.0)
        self.tables = Tables(
            routes={"chat": Versioned(chat_route(), 0)},
            pools={self.pool.name: Versioned(self.pool, 0)},
        )
        self.apps = [self.start(address) for address in DAEMONS]
        self.set_members(self.apps, DAEMONS)
        self.timers.advance(1.0)

    def start(self, address):
        transport = MemoryTransport(self.network, address)
        app = Application(
            Settings(peer_listen=Address.parse(address), domain="a"),
            timers=self.timers,
            peers=Peers(address, transport, transport, ""),
        )
        app.engines.update(self.engines)
        app.policies["cost"].random.seed(address)
        app.peers.start()
        app.events.publish(TablesChanged(self.tables))
        return app

    def set_members(self, apps, members):
        for app in apps:
            app.events.publish(MembersChanged(tuple(members)))

    def followed(self, app):
        return set(app.controllers["homes"].followed)

    def home_of(self, engine):
        return next(app for app in self.apps if engine in self.followed(app))

    def choose(self, app, prefix):
        placement = Placement(
            pool=self.pool,
            route=self.tables.routes["chat"].row,
            prefix=prefix,
            deadline_ms=1e4,
            now=self.timers.now(),
        )
        entries = app.policies["cost"].candidates(placement, ())
        targets = [app.targets.state_of(entry) for entry in entries]
        views = app.candidates.query(
            [state.address for state in targets], sample_prefix(prefix)
        )
        placement = attrs.evolve(placement, views=views)
        return app.policies["cost"].choose(placement, targets)

    def dispatch(self, app, prefix, number):
        decision = self.choose(app, prefix)
        missing = prefix.prompt_tokens - decision.hit_blocks * self.pool.block_tokens
        app.candidates.notify_dispatch(
            decision.address, f"r{number}", missing, sample_prefix(prefix).keys
        )
        return decision.address


class HomesControllerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = InMemoryFleet()

    def test_each_engine_has_one_follower(self):
        followed = [self.fleet.followed(app) for app in self.fleet.apps]
        self.assertEqual(sum(map(len, followed)), len(ENGINES))
        self.assertEqual(set().union(*followed), set(ENGINES))

    def test_a_cached_prefix_is_found_from_every_daemon(self):
        prefix = prefix_of(1)
        self.fleet.engines[ENGINES[2]].store(prefix)
        self.fleet.timers.advance(0.5)
        for app in self.fleet.apps:
            decision = self.fleet.choose(app, prefix)
            self.assertEqual((decision.address, decision.hit_blocks), (ENGINES[2], BLOCKS))

    def test_requests_for_one_cold_prefix_go_to_one_engine(self):
        # Three daemons receive the first requests for a prefix before any cache
        # event for it is published. Sending them to different engines would cost
        # a full prefill on each. The first dispatch makes the home predict the
        # blocks, so the other daemons choose the same engine.
        chosen = {
            self.fleet.dispatch(app, prefix_of(2), number)
            for number, app in enumerate(self.fleet.apps)
        }
        self.assertEqual(len(chosen), 1)

    def test_daemons_spread_prompts_over_idle_engines(self):
        # All load reports stay at "idle", as if they were seconds old. Two daemons
        # send twenty prompts without a common prefix. If each daemon counted only
        # its own dispatches, or none, most prompts would queue at one engine.
        chosen = [
            self.fleet.dispatch(self.fleet.apps[number % 2], prefix_of(number), number)
            for number in range(20)
        ]
        counts = [chosen.count(engine) for engine in ENGINES]
        self.assertGreaterEqual(min(counts), 2)
        self.assertLessEqual(max(counts), 6)

    def test_dispatches_of_all_daemons_count_at_the_home(self):
        engine = ENGINES[0]
        for number, app in enumerate(self.fleet.apps):
            app.candidates.notify_dispatch(engine, f"r{number}", 100, b"")
        load = self.fleet.home_of(engine).controllers["homes"].followed[engine].load
        self.assertEqual(load.queue_ms(self.fleet.timers.now()), 300.0)
        self.fleet.apps[0].candidates.notify_finish(engine, "r0", ran=False)
        self.assertEqual(load.queue_ms(self.fleet.timers.now()), 200.0)

    def test_a_dead_home_falls_back_to_hash_order(self):
        # A home dies but is still in the host list. Queries to it get no answer,
        # so its engines are chosen by hash order and the daemon's own requests in
        # flight, and every request must still get a target.
        dead = self.fleet.apps[0]
        dead.peers.stop()
        lost = self.fleet.followed(dead)
        asking = self.fleet.apps[1]
        for number in range(10):
            decision = self.fleet.choose(asking, prefix_of(number))
            self.assertIn(decision.address, ENGINES)
        views = asking.candidates.query(ENGINES, sample_prefix(prefix_of(1)))
        self.assertEqual(set(views), set(ENGINES) - lost)

    def test_all_homes_silent_gives_one_engine_per_prefix(self):
        for app in self.fleet.apps:
            app.peers.stop()
        for number in range(10):
            prefix = prefix_of(number)
            chosen = {self.fleet.choose(app, prefix).address for app in self.fleet.apps}
            self.assertLessEqual(len(chosen), 2)

    def test_a_silent_home_is_queried_rarely(self):
        dead, asking = self.fleet.apps[:2]
        dead.peers.stop()
        engines = sorted(self.fleet.followed(dead))
        sent = []
        for _ in range(100):
            self.fleet.network.messages = 0
            asking.candidates.query(engines, sample_prefix(prefix_of(1)))
            sent.append(self.fleet.network.messages)
            self.fleet.timers.advance(0.02)
        self.assertLess(sum(sent), 25)
        self.assertGreater(sum(sent), 2)

    def test_engines_of_a_lost_daemon_are_taken_over_with_their_contents(self):
        dead, *left = self.fleet.apps
        lost = self.fleet.followed(dead)
        prefix = prefix_of(3)
        for engine in lost:
            self.fleet.engines[engine].store(prefix)
        dead.controllers["homes"].followed.clear()
        dead.peers.stop()
        self.fleet.set_members(left, DAEMONS[1:])
        self.fleet.timers.advance(0.5)
        self.assertEqual(set().union(*map(self.fleet.followed, left)), set(ENGINES))
        views = left[0].candidates.query(sorted(lost), sample_prefix(prefix))
        self.assertEqual({view.depth for view in views.values()}, {BLOCKS})

    def test_a_restarted_engine_has_no_cached_blocks_and_no_queue(self):
        # The engine crashes and restarts with an empty cache at the same address.
        # Blocks cached or predicted before the crash must not attract requests,
        # and the old queue must not count.
        engine = ENGINES[0]
        fake, prefix = self.fleet.engines[engine], prefix_of(4)
        fake.store(prefix)
        app = self.fleet.apps[1]
        app.candidates.notify_dispatch(engine, "r1", 5000, sample_prefix(prefix_of(5)).keys)
        self.fleet.timers.advance(0.5)
        fake.incarnation, fake.stored = "b", []
        fake.report = load_report(incarnation="b")
        self.fleet.timers.advance(0.5)
        for lost in (prefix, prefix_of(5)):
            view = app.candidates.query([engine], sample_prefix(lost))[engine]
            self.assertEqual((view.depth, view.queue_ms), (0, 0.0))

    def test_a_late_report_of_an_old_incarnation_is_ignored(self):
        engine = ENGINES[0]
        fake, prefix = self.fleet.engines[engine], prefix_of(4)
        fake.incarnation, fake.stored = "b", []
        fake.store(prefix)
        self.fleet.timers.advance(0.5)
        fake.report = load_report(incarnation="a", waiting_prefill_tokens=9000)
        self.fleet.timers.advance(0.5)
        view = self.fleet.apps[0].candidates.query([engine], sample_prefix(prefix))[engine]
        self.assertEqual((view.depth, view.queue_ms), (BLOCKS, 0.0))

    def test_contents_are_not_read_after_every_lost_event(self):
        # One event in three is lost. Fetching the full cache contents each time
        # would use far more bandwidth than the events.
        engine = self.fleet.engines[ENGINES[0]]
        reads = []
        contents = engine.contents
        engine.contents = lambda: reads.append(1) or contents()
        for number in range(100):
            engine.store(prefix_of(number))
            engine.stored[-1] = CacheEvent(
                len(engine.stored) + (number % 3 == 0), CacheEventKind.STORED, ()
            )
            self.fleet.timers.advance(0.1)
        self.assertLess(len(reads), 12)
