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
# Behavior of a target, and whether the target may have acted on the request.
BEHAVIORS = {
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
# Functions that may answer "not run", and why no target can have acted by then.
BEFORE_FORWARDING = "no target was contacted: the function runs before the forward filter"
EXPLICIT_REFUSAL = "the target refused explicitly, as its protocol defines"
NOTHING_SENT = "no connection was made, so no byte was sent"
NOT_RUN_SOURCES = {
    ("filters/claim.py", "handle"): BEFORE_FORWARDING,
    ("filters/choose.py", "handle"): BEFORE_FORWARDING,
    ("filters/choose.py", "_choose"): BEFORE_FORWARDING,
    ("filters/identify.py", "handle"): BEFORE_FORWARDING,
    ("filters/limits.py", "handle"): BEFORE_FORWARDING,
    ("filters/match.py", "handle"): BEFORE_FORWARDING,
    ("controllers/drain.py", "handle"): BEFORE_FORWARDING,
    ("server.py", "_read_body"): BEFORE_FORWARDING,
    ("server.py", "_refusal"): BEFORE_FORWARDING,
    ("filters/forward.py", "_refusal"): EXPLICIT_REFUSAL,
    ("gateway/handler.py", "_interrupt"): "the request was sent to no target, or refused",
    ("gateway/sender.py", "_check_stop"): "the request was sent to no target, or refused",
    ("filters/forward.py", "_send_failure"): NOTHING_SENT,
    ("gateway/handler.py", "_admit"): BEFORE_FORWARDING,
    ("gateway/handler.py", "_charge"): BEFORE_FORWARDING,
    ("gateway/handler.py", "_denial"): BEFORE_FORWARDING,
    ("gateway/handler.py", "_source"): BEFORE_FORWARDING,
    ("gateway/handler.py", "_workspace"): BEFORE_FORWARDING,
    ("gateway/resumedstreams.py", "_reject"): BEFORE_FORWARDING,
    ("gateway/resumedstreams.py", "source_of"): BEFORE_FORWARDING,
    # Only while no target may have run the request (tests of RetryState).
    ("gateway/retrystate.py", "error_kind"): EXPLICIT_REFUSAL,
    ("gateway/sender.py", "_give_up"): EXPLICIT_REFUSAL,
    ("gateway/sender.py", "_fail_quarantined"): EXPLICIT_REFUSAL,
    # What another daemon answered, or that it does not know the path of the request.
    ("gateway/relayprotocol.py", "_decode_refusal"): EXPLICIT_REFUSAL,
    ("gateway/relayprotocol.py", "<module>"): EXPLICIT_REFUSAL,
    ("gateway/relayresponder.py", "<module>"): BEFORE_FORWARDING,
    # Only before the first send.
    ("gateway/sender.py", "_check_overload"): BEFORE_FORWARDING,
    # Another daemon said that it did not run the request.
    ("gateway/sender.py", "_handle_relay_refusal"): EXPLICIT_REFUSAL,
}
# Functions that refer to such a kind without answering with it.
NOT_ANSWERED = {
    ("filters/retry.py", "handle"),
    ("filters/retry.py", "<module>"),
    ("gateway/handler.py", "_retry_after_s"),
    ("gateway/relaycontroller.py", "record_refusal"),
    ("gateway/sender.py", "_is_rate_limited"),
}


class Reply(EngineReply):
    """Buffered answer of an engine."""

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
    """Fake engine and service with scripted behavior and a journal."""

    def __init__(self, journal):
        self.journal = journal
        self.behavior = "refused"

    def _next(self, request):
        behavior = self.behavior
        if BEHAVIORS[behavior]:
            self.journal.append(request.request_id)
        if behavior == "unreachable":
            return Failure(ConnectFailed("refused"))
        if behavior in ("broken", "timed_out"):
            return Failure(ExchangeBroken("lost", behavior == "timed_out"))
        return behavior

    def open(self, request):
        behavior = self._next(request)
        if isinstance(behavior, Failure):
            return behavior
        request_id = "other" if behavior == "crossed" else request.request_id
        status = {"failed": 500, "refused": 503}.get(behavior, 200)
        return Success(Reply(request_id, status, behavior == "refused", cut=behavior == "cut"))

    def call(self, request):
        behavior = self._next(request)
        if isinstance(behavior, Failure):
            return behavior
        if behavior == "cut":
            return Failure(ExchangeBroken("body cut short"))
        return Success(
            ServiceReply(
                status={"failed": 500, "refused": 503}.get(behavior, 200),
                headers={},
                body=b"",
                request_id="other" if behavior == "crossed" else request.request_id,
                refused=behavior == "refused",
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

    def run_script(self, behaviors, path, method="POST", body=b""):
        self.journal.clear()
        self.app.retry_budget.tokens = 10.0
        self.app.timers.advance(60.0)
        for address, behavior in zip(ADDRESSES, behaviors, strict=True):
            self.targets[address].behavior = behavior
        return self.ask(path, method, body)

    @hypothesis.given(
        st.tuples(*[st.sampled_from(sorted(BEHAVIORS)) for _ in ADDRESSES]),
        st.sampled_from(["chat", "POST", "GET"]),
    )
    def test_not_run_is_answered_only_if_no_target_acted(self, behaviors, kind):
        # The targets fail in different ways, before or after acting, and the request is
        # retried on several of them. "Not run" must mean that none acted, and an
        # at-most-once call must not reach a second target after one may have acted.
        if kind == "chat":
            fields = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}]}
            body = json.dumps(fields).encode()
            result = self.run_script(behaviors, "/v1/chat/completions", body=body)
        else:
            result = self.run_script(behaviors, "/booking/swap", kind)
        if not isinstance(result, Success) and result.failure().outcome is Outcome.NOT_RUN:
            self.assertEqual(self.journal, [])
        if kind == "POST":
            self.assertLessEqual(len(self.journal), 1)
        self.assertEqual(self.app.in_flight, 0)

    def test_requests_reach_the_targets(self):
        succeeding = ["unreachable", "refused", "done", "done", "done"]
        self.assertIsInstance(self.run_script(succeeding, "/booking/swap"), Success)
        self.assertEqual(len(self.journal), 1)

    def test_every_function_that_answers_not_run_is_listed(self):
        found = set()
        for path in sorted((ROOT / "agaterail").rglob("*.py")):
            name = path.relative_to(ROOT / "agaterail").as_posix()
            if name in ("errors.py", "metrics.py"):
                continue
            tree = ast.parse(path.read_text(encoding="utf-8"))
            found.update((name, function) for function in functions_naming_not_run(tree))
        self.assertEqual(found - NOT_ANSWERED, set(NOT_RUN_SOURCES))

    def test_filters_that_answer_before_forwarding_precede_the_forward_filter(self):
        orders = {type(item).__module__: item.order for item in self.app.filters}
        forward = orders["agaterail.filters.forward"]
        for (name, _), reason in NOT_RUN_SOURCES.items():
            module = "agaterail." + name.removesuffix(".py").replace("/", ".")
            if reason is BEFORE_FORWARDING and module in orders:
                self.assertLess(orders[module], forward)


def functions_naming_not_run(tree):
    """Yield the names of functions that refer to a kind with the outcome 'not run'."""
    for function in [tree, *ast.walk(tree)]:
        if not isinstance(function, (ast.Module, ast.FunctionDef)):
            continue
        for node in own_nodes(function):
            if isinstance(node, ast.Attribute) and ErrorKind.__members__.get(node.attr) in (
                NOT_RUN
            ):
                yield getattr(function, "name", "<module>")


def own_nodes(function):
    """Yield the nodes of a function, without those of nested functions."""
    pending = list(ast.iter_child_nodes(function))
    while pending:
        node = pending.pop()
        if not isinstance(node, ast.FunctionDef):
            yield node
            pending.extend(ast.iter_child_nodes(node))
