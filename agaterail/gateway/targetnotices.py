"""Record what targets say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.decisions.ratelimits import updated_limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.targets import Target

logger = logs.get_logger("targets")


class TargetNotices:
    """Updates targets by their answers and logs what changes.

    Attributes
    ----------
    reported_malformed
        Ids of the targets whose malformed notices were logged.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.reported_malformed: set[str] = set()

    def record(
        self, target: Target, head: AnswerHead, sent_at: float, request_id: str
    ) -> None:
        """Record the notices in the head of an answer.

        Parameters
        ----------
        sent_at
            Time at which the request of the answer was sent.
        """
        if head.instance not in ("", target.instance):
            return  # another target at a reused address
        if head.malformed:
            self._log_malformed(target, head, request_id)
            return
        self.reported_malformed.discard(target.instance)
        self._record_limit(target, head, sent_at, request_id)

    def _record_limit(
        self, target: Target, head: AnswerHead, sent_at: float, request_id: str
    ) -> None:
        now, known = self.now(), target.rate_limit
        target.rate_limit = updated_limit(known, head.rate_limit_per_s, sent_at, now)
        before = None if known is None else known.rate_per_s
        after = None if target.rate_limit is None else target.rate_limit.rate_per_s
        if before == after:
            return
        logger.info(
            "Limit of a target ended." if after is None else "Target named a limit.",
            target=target.instance,
            request=request_id,
            limit_per_s=after,
            former_per_s=before,
            age_s=None if known is None else round(now - known.since, 3),
            heard_s=None if known is None else round(now - known.heard_at, 3),
        )

    def _log_malformed(self, target: Target, head: AnswerHead, request_id: str) -> None:
        if target.instance in self.reported_malformed:
            return
        self.reported_malformed.add(target.instance)
        logger.info(
            "Ignored a malformed notice of a target.",
            target=target.instance,
            request=request_id,
            notice=head.malformed,
        )
