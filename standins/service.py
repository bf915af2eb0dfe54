"""Stand-in for a plain service with calls that must not be repeated."""

from __future__ import annotations

import attrs
import gevent

from standins.base import Answer, Call, StandIn, json_answer


@attrs.define
class ServiceFaults:
    """Faults that can be configured at run time.

    Attributes
    ----------
    refuse
        Answer 503 with ``x-not-run: true`` before running.
    cut_before, cut_after
        Number of coming calls whose connection is cut before or after running.
    crossed
        Number of coming answers that carry the ID of another request.
    """

    refuse: bool = False
    slow_ms: int = 0
    cut_before: int = 0
    cut_after: int = 0
    fail: int = 0
    crossed: int = 0


class ServiceStandIn(StandIn):
    """Executes calls and keeps a journal of every execution."""

    def __init__(self) -> None:
        super().__init__(ServiceFaults())
        self.faults: ServiceFaults
        self.journal: list[str] = []
        self.paths["/journal"] = lambda _call: json_answer({"executions": self.journal})
        self.paths["/"] = self._run

    def _run(self, call: Call) -> Answer:
        request_id = call.headers.get("x-request-id", "")
        if self.faults.refuse:
            refusal = {"x-not-run": "true", "x-request-id": request_id}
            return json_answer({"error": "not run"}, 503, **refusal)
        if self._consume_fault("cut_before"):
            raise ConnectionAbortedError
        self.journal.append(call.headers.get("idempotency-key", request_id))
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / 1e3)
        if self._consume_fault("cut_after"):
            raise ConnectionAbortedError
        if self._consume_fault("crossed"):
            request_id = "another-request"
        status = 500 if self._consume_fault("fail") else 200
        answer = {
            "path": call.path,
            "method": call.method,
            "echo": call.body.decode("utf-8", "replace"),
        }
        return json_answer(answer, status, **{"x-request-id": request_id})
