"""Run a non-idempotent request at most once across all daemons."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import claims, errors, logs
from agaterail.claims import Claim, ClaimOutcome, Finish, Release, Verdict, VerdictKind
from agaterail.controllers.claims import ClaimsController
from agaterail.errors import ErrorKind, Outcome
from agaterail.exchange import Reply
from agaterail.filters import Filter
from agaterail.util.jitter import jittered_retry_after_s

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange
    from agaterail.filters import Proceed

logger = logs.get_logger("claim")

KEY_HEADER = "idempotency-key"
SCOPE_HEADER = "x-agaterail-at-most-once"
REPLAYED_HEADER = "x-agaterail-replayed"
MAX_KEY_CHARS = 255
CLAIM_WAIT_S = 3.0
DIGEST_BYTES = 16
MIN_ERROR_STATUS = 400
CLAIM_OUTCOMES = {
    Outcome.COMPLETED: ClaimOutcome.COMPLETED,
    Outcome.FAILED_AT_TARGET: ClaimOutcome.FAILED,
    Outcome.UNKNOWN: ClaimOutcome.UNKNOWN,
}


class ClaimFilter(Filter):
    """Claims the caller's idempotency key before the request is sent to a target."""

    order = 430

    def __init__(self, app: Application, controller: ClaimsController) -> None:
        self.app = app
        self.controller = controller

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Run the request if its claim is the first, or answer from the earlier claim."""
        if not exchange.at_most_once:
            return proceed(exchange)
        if exchange.watch is not None:
            # The call continues after its caller disconnects: aborting it would leave
            # the key without an outcome with which to answer a retry.
            exchange.watch.stop()
        key = exchange.headers.get(KEY_HEADER, "").strip()
        if not key:
            exchange.answer_headers[SCOPE_HEADER] = "host"
            return proceed(exchange)
        if len(key) > MAX_KEY_CHARS:
            return Failure(
                errors.Failure(ErrorKind.BAD_REQUEST, "The idempotency key is too long.")
            )
        assert exchange.route is not None
        claim = Claim(
            claims.key_hash(exchange.route.workspace, key),
            self.app.peers.own_address,
            exchange.request_id,
            _request_hash(exchange),
        )
        remaining_s = exchange.deadline_at - self.app.timers.now()
        verdict = self.controller.claim(claim, max(0.0, min(CLAIM_WAIT_S, remaining_s)))
        logger.info(
            "Claim decided.",
            request=exchange.request_id,
            verdict="none" if verdict is None else verdict.kind.value,
        )
        if verdict is None or verdict.kind is VerdictKind.UNAVAILABLE:
            hint_s = jittered_retry_after_s(
                errors.ANSWERS[ErrorKind.CLAIMS_UNAVAILABLE], exchange.request_id
            )
            return Failure(errors.Failure(ErrorKind.CLAIMS_UNAVAILABLE, retry_after_s=hint_s))
        if verdict.kind is VerdictKind.WON:
            exchange.answer_headers[SCOPE_HEADER] = "key"
            return self._run(exchange, claim, proceed)
        if verdict.request != claim.request:
            # The key belongs to a different request. The recorded answer or progress of
            # that request would be mistaken for that of this one.
            detail = "The idempotency key was used for another request."
            return Failure(errors.Failure(ErrorKind.BAD_REQUEST, detail))
        return self._answer_duplicate(verdict)

    def _run(
        self, exchange: Exchange, claim: Claim, proceed: Proceed
    ) -> Result[Reply, errors.Failure]:
        try:
            result = proceed(exchange)
        except BaseException:
            # It is unknown whether the target acted, so a retry must not run it again.
            self._record(claim, Outcome.UNKNOWN)
            raise
        if not isinstance(result, Success):
            self._record(claim, result.failure().outcome)
            return result
        reply = result.unwrap()
        if isinstance(reply.body, bytes):
            self._record_answer(claim, reply, reply.body)
        else:
            exchange.on_finish(lambda outcome: self._record(claim, outcome))
        return result

    def _record(self, claim: Claim, outcome: Outcome) -> None:
        claim_outcome = CLAIM_OUTCOMES.get(outcome)
        if claim_outcome is None:
            self.controller.release(Release(claim.key, claim.attempt))
            return
        self.controller.finish(
            Finish(key=claim.key, attempt=claim.attempt, outcome=claim_outcome)
        )

    def _record_answer(self, claim: Claim, reply: Reply, body: bytes) -> None:
        failed = reply.status >= MIN_ERROR_STATUS
        small = len(body) <= claims.MAX_BODY_BYTES
        self.controller.finish(
            Finish(
                key=claim.key,
                attempt=claim.attempt,
                outcome=ClaimOutcome.FAILED if failed else ClaimOutcome.COMPLETED,
                status=reply.status,
                digest=blake2b(body, digest_size=DIGEST_BYTES).hexdigest(),
                content_type=reply.headers.get("content-type", ""),
                body=body if small else None,
            )
        )

    def _answer_duplicate(self, verdict: Verdict) -> Result[Reply, errors.Failure]:
        finish = verdict.finish
        if finish is None:
            if verdict.holder and self.controller.is_running(verdict.holder, verdict.holding):
                return Failure(errors.Failure(ErrorKind.DUPLICATE_IN_PROGRESS))
            return Failure(errors.Failure(ErrorKind.CLAIM_UNRESOLVED))
        if finish.outcome is ClaimOutcome.UNKNOWN:
            return Failure(errors.Failure(ErrorKind.CLAIM_UNRESOLVED))
        if finish.status and finish.body is not None:
            headers = {REPLAYED_HEADER: "true"}
            if finish.content_type:
                headers["content-type"] = finish.content_type
            return Success(Reply(status=finish.status, headers=headers, body=finish.body))
        kind = (
            ErrorKind.DUPLICATE_COMPLETED
            if finish.outcome is ClaimOutcome.COMPLETED
            else ErrorKind.DUPLICATE_FAILED
        )
        detail = f"Status {finish.status}, digest {finish.digest}." if finish.status else ""
        return Failure(errors.Failure(kind, detail))


def _request_hash(exchange: Exchange) -> bytes:
    parts = (exchange.method, exchange.path, exchange.query)
    return claims.request_hash(
        *(part.encode("utf-8", "surrogateescape") for part in parts), exchange.body
    )


def setup(app: Application) -> None:
    """Register the filter."""
    controller = app.controllers[ClaimsController.name]
    assert isinstance(controller, ClaimsController)
    app.add_filter(ClaimFilter(app, controller))
