from __future__ import annotations

import ast
import json
import unittest

import hypothesis
from hypothesis import strategies as st
from returns.result import Failure, Success

from agaterail.application import Application
from agaterail.engines import EngineReply
from agaterail.errors import ANSWERS, ErrorKind, Outcome
from agaterail.fold import fold
from agaterail.logstore.memory import MemoryLogStore
from agaterail.services import ServiceReply
from agaterail.settings import Settings
from agaterail.tables import Tables
from agaterail.timers import ManualTimerService
from agaterail.util.httpconn import ConnectFailed, ExchangeBroken
from tests.support import (
    API_KEY,
    MODEL,
    ROOT,
    chat_route,
    edit,
    engine_pool,
    put,
    service_pool,
    service_route,
)

ADDRESSES = [f"127.0.0.1:{number}" for number in range(1, 6)]
# Behaviour of a target and whether it may have acted.
BEHAVIOURS = {
    "unreachable": False,
    "refused": False,
    "broken": True,
    "timed_out": True,
    "crossed": True,
    "failed": True,
    "cut": True,
    "done": True,
}
NOT_RUN = {kind for kind, answer in ANSWERS.items() if answer.outcome is Outcome.NOT_RUN}
# Each place that may answer "not run", and why no target can have acted there.
BEFORE_A_TARGET = "no target was asked: the place is reached before the forward filter"
DEFINED = "the target refused in the form that its protocol defines"
NO_BYTE = "no connection was made, so no byte was sent"
PLACES = {
    ("filters/claim.py", "handle"): BEFORE_A_TARGET,
    ("filters/choose.py", "handle"): BEFORE_A_TARGET,
    ("filters/choose.py", "_choose"): BEFORE_A_TARGET,
    ("filters/identify.py", "handle"): BEFORE_A_TARGET,
    ("filters/limits.py", "handle"): BEFORE_A_TARGET,
    ("filters/match.py", "handle"): BEFORE_A_TARGET,
    ("controllers/drain.py", "handle"): BEFORE_A_TARGET,
    ("server.py", "_read_body"): BEFORE_A_TARGET,
    ("server.py", "_refusal"): BEFORE_A_TARGET,
    ("filters/forward.py", "_refusal"): DEFINED,
    ("filters/forward.py", "_send_failure"): NO_BYTE,
    ("gateway/handler.py", "_admit"): BEFORE_A_TARGET,
    ("gateway/handler.py", "_denial"): BEFORE_A_TARGET,
    ("gateway/handler.py", "_workspace"): BEFORE_A_TARGET,
    # Only while no target may have run the request (tests of RetryState).
    ("gateway/attempts.py", "error_kind"): DEFINED,
    ("gateway/sender.py", "_give_up"): DEFINED,
    # Only before the first send.
    ("gateway/sender.py", "_check_overload"): BEFORE_A_TARGET,
}
# Places that name such a kind and answer nothing with it.
NO_ANSWER = {("filters/retry.py", "handle"), ("filters/retry.py", "<module>")}


class Reply(EngineReply):
    """Engine's whole answer, held in memory."""

    def __init__(self, request_id, status=200, refused=False, cut=False):
        self.request_id, self.status = request_id, status
        self.refused, self.cut = refused, cut
        self.weights_version, self.retry_after_s = "v1", None
        self.parts = [b"{}"]

    def read_available(self):
        if self.cut:
            raise ConnectionResetError
        return self.parts.pop() if self.parts else b""

    def set_read_timeout(self, seconds):
        pass

    def discard(self):
        pass


class Target:
    """Engine and service with a scripted behaviour and a journal."""

    def __init__(self, journal):
        self.journal = journal
        self.behaviour = "refused"

    def _next(self, request):
        behaviour = self.behaviour
        if BEHAVIOURS[behaviour]:
            self.journal.append(request.request_id)
        if behaviour == "unreachable":
            return Failure(ConnectFailed("refused"))
        if behaviour in ("broken", "timed_out"):
            return Failure(ExchangeBroken("lost", behaviour == "timed_out"))
        return behaviour

    def open(self, request):
        behaviour = self._next(request)
        if isinstance(behaviour, Failure):
            return behaviour
        request_id = "other" if behaviour == "crossed" else request.request_id
        status = {"failed": 500, "refused": 503}.get(behaviour, 200)
        return Success(
            Reply(request_id, status, behaviour == "refused", cut=behaviour == "cut")
        )

    def call(self, request):
        behaviour = self._next(request)
        if isinstance(behaviour, Failure):
            return behaviour
        if behaviour == "cut":
            return Failure(ExchangeBroken("body cut short"))
        return Success(
            ServiceReply(
                status={"failed": 500, "refused": 503}.get(behaviour, 200),
                headers={},
                body=b"",
                request_id="other" if behaviour == "crossed" else request.request_id,
                refused=behaviour == "refused",
            )
        )

    def cancel(self, request_id):
        return Success(None)


class NotRunTest(unittest.TestCase):
    def setUp(self):
        change = edit(
            "e0",
            put(engine_pool(ADDRESSES, policy="round_robin")),
            put(chat_route()),
            put(service_pool(ADDRESSES)),
            put(service_route()),
        )
        self.app = Application(
            Settings(), timers=ManualTimerService(), log_store=MemoryLogStore()
        )
        self.app.tables = fold(Tables(), change, 0).tables
        self.journal = []
        self.targets = {address: Target(self.journal) for address in ADDRESSES}
        self.app.engines.update(self.targets)
        self.app.services.update(self.targets)

    def ask(self, path, method, body):
        headers = {"authorization": f"Bearer {API_KEY}"}
        exchange, result = self.app.handle(method, path, "", headers, body)
        outcome = (
            Outcome.COMPLETED if isinstance(result, Success) else result.failure().outcome
        )
        exchange.finish(outcome)
        return result

    def run_script(self, behaviours, path, method="POST", body=b""):
        self.journal.clear()
        self.app.retry_budget.tokens = 10.0
        self.app.timers.advance(60.0)
        for address, behaviour in zip(ADDRESSES, behaviours, strict=True):
            self.targets[address].behaviour = behaviour
        return self.ask(path, method, body)

    @hypothesis.given(
        st.tuples(*[st.sampled_from(sorted(BEHAVIOURS)) for _ in ADDRESSES]),
        st.sampled_from(["chat", "POST", "GET"]),
    )
    def test_not_run_is_answered_only_if_no_target_acted(self, behaviours, kind):
        # Each target fails in its own way, before or after acting, and the
        # request is tried at several. "Not run" must mean that none acted, and
        # a call that may run once must not reach a second target after one did.
        if kind == "chat":
            fields = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}]}
            body = json.dumps(fields).encode()
            result = self.run_script(behaviours, "/v1/chat/completions", body=body)
        else:
            result = self.run_script(behaviours, "/booking/swap", kind)
        if not isinstance(result, Success) and result.failure().outcome is Outcome.NOT_RUN:
            self.assertEqual(self.journal, [])
        if kind == "POST":
            self.assertLessEqual(len(self.journal), 1)
        self.assertEqual(self.app.in_flight, 0)

    def test_the_targets_are_really_asked(self):
        done = ["unreachable", "refused", "done", "done", "done"]
        self.assertIsInstance(self.run_script(done, "/booking/swap"), Success)
        self.assertEqual(len(self.journal), 1)

    def test_every_place_that_answers_not_run_is_known(self):
        found = set()
        for path in sorted((ROOT / "agaterail").rglob("*.py")):
            name = path.relative_to(ROOT / "agaterail").as_posix()
            if name in ("errors.py", "metrics.py"):
                continue
            tree = ast.parse(path.read_text(encoding="utf-8"))
            found.update((name, place) for place in places_in(tree))
        self.assertEqual(found - NO_ANSWER, set(PLACES))

    def test_no_place_before_a_target_comes_after_the_forward_filter(self):
        orders = {type(item).__module__: item.order for item in self.app.filters}
        forward = orders["agaterail.filters.forward"]
        for (name, _), reason in PLACES.items():
            module = "agaterail." + name.removesuffix(".py").replace("/", ".")
            if reason is BEFORE_A_TARGET and module in orders:
                self.assertLess(orders[module], forward)


def places_in(tree):
    """Yield the functions that name a kind whose outcome is 'not run'."""
    for function in [tree, *ast.walk(tree)]:
        if not isinstance(function, (ast.Module, ast.FunctionDef)):
            continue
        for node in own_nodes(function):
            if isinstance(node, ast.Attribute) and ErrorKind.__members__.get(node.attr) in (
                NOT_RUN
            ):
                yield getattr(function, "name", "<module>")


def own_nodes(function):
    """Yield the nodes of a function that are not in a function inside it."""
    waiting = list(ast.iter_child_nodes(function))
    while waiting:
        node = waiting.pop()
        if not isinstance(node, ast.FunctionDef):
            yield node
            waiting.extend(ast.iter_child_nodes(node))
