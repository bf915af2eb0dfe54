"""Record what targets say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.decisions.ratelimits import updated_limit
from agaterail.gateway.inbound import Notice

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.relayprotocol import RelayedHead
    from agaterail.gateway.targets import Target, TargetRegistry

logger = logs.get_logger("targets")

# Statuses with which a target turns a request away and may say for how long.
REST_STATUSES = (429, 503)
MAX_OTHER_INSTANCES = 256
OWN = "own"
FORWARDED = "forwarded"
OTHER_INSTANCE = "other_instance"


class TargetNotices:
    """Updates targets by their answers and logs what changes.

    Attributes
    ----------
    resting
        Targets that asked for rest, until the end of it is logged.
    reported_malformed
        Targets and malformed notices that were logged.
    reported_others
        Targets and the other instances that answered in their place, as logged.
    """

    def __init__(
        self, registry: TargetRegistry, metrics: GatewayMetrics, now: Callable[[], float]
    ) -> None:
        self.registry = registry
        self.metrics = metrics
        self.now = now
        self.resting: dict[str, Target] = {}
        self.reported_malformed: set[tuple[str, Notice]] = set()
        self.reported_others: dict[tuple[str, str], None] = {}

    def record(
        self,
        target: Target,
        head: AnswerHead,
        sent_at: float,
        request_id: str,
        is_start_known: bool = True,
    ) -> None:
        """Record the notices in the head of an answer.

        Parameters
        ----------
        sent_at
            Time at which the request of the answer was sent.
        is_start_known
            Whether the answer surely comes from the latest known start of the target.
        """
        if head.instance not in ("", target.instance):
            self._count(head, OTHER_INSTANCE)
            self._log_other_instance(target, head, request_id)
            return  # another target at a reused address
        self._count(head, OWN)
        target = self.registry.current(target)
        if head.leaving:
            self._record_leaving(target.instance, target.start, is_start_known, request_id)
        self._record_bounds(target, head, sent_at, request_id)
        if head.status in REST_STATUSES and head.retry_after_s:
            self._record_rest(target, head.retry_after_s, request_id)

    def record_forwarded(
        self, head: RelayedHead, sent_at: float, request_id: str, peer: str
    ) -> None:
        """Record the notices in the head of an answer that another daemon forwarded.

        A rest is not recorded: it was asked of the daemon that the target saw.

        Parameters
        ----------
        sent_at
            Time at which the request was sent to that daemon.
        peer
            Address of that daemon.
        """
        self._count(head, FORWARDED)
        if head.leaving and head.target:
            self._record_leaving(head.target, head.start, bool(head.start), request_id, peer)
        target = self.registry.targets.get(head.target)
        if target is not None:
            self._record_bounds(target, head, sent_at, request_id)

    def step(self) -> None:
        """End presumptions that targets leave, and log the ends of rests."""
        now = self.now()
        for target in self.registry.expire_presumptions(now):
            logger.info(
                "Target presumed to leave no more.",
                target=target.instance,
                born=target.start,
            )
        for instance, target in list(self.resting.items()):
            if now >= target.rest_until or target.gone:
                del self.resting[instance]
                logger.info("Rest of a target ended.", target=instance, gone=target.gone)

    def _record_leaving(
        self, instance: str, start: int, is_start_known: bool, request_id: str, peer: str = ""
    ) -> None:
        if not self.registry.record_leaving(instance, start, is_start_known, self.now()):
            return
        target = self.registry.targets.get(instance)
        logger.info(
            "Target leaves.",
            target=instance,
            born=start,
            start_known=is_start_known,
            request=request_id,
            peer=peer or None,
            registered_ready=None if target is None else target.registration.ready,
            in_flight=None if target is None else target.in_flight,
        )

    def _record_rest(self, target: Target, rest_s: float, request_id: str) -> None:
        now = self.now()
        if now >= target.rest_until:
            logger.info(
                "Target asked for rest.",
                target=target.instance,
                request=request_id,
                rest_s=rest_s,
                in_flight=target.in_flight,
            )
        self.resting[target.instance] = target
        target.rest_until = max(target.rest_until, now + rest_s)

    def _record_bounds(
        self, target: Target, head: AnswerHead, sent_at: float, request_id: str
    ) -> None:
        """Record what a target bears from all daemons together."""
        malformed = dict(head.malformed)
        self._log_malformed(target, malformed, request_id)
        if Notice.RATE_LIMIT not in malformed:
            self._record_limit(target, head, sent_at, request_id)
        if Notice.BRITTLE not in malformed:
            self._record_brittle(target, head, sent_at, request_id)

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

    def _record_brittle(
        self, target: Target, head: AnswerHead, sent_at: float, request_id: str
    ) -> None:
        now, known = self.now(), target.brittle
        target.brittle = updated_limit(known, head.bearable_refusals, sent_at, now)
        if (known is None) == (target.brittle is None):
            return
        logger.info(
            "Target says that it is brittle."
            if known is None
            else "Target no longer brittle.",
            target=target.instance,
            request=request_id,
            bearable_refusals=head.bearable_refusals,
            brittle_s=None if known is None else round(now - known.since, 3),
        )

    def _count(self, head: AnswerHead, way: str) -> None:
        for notice in head.notices:
            self.metrics.notices.labels(notice.value, way).inc()

    def _log_other_instance(self, target: Target, head: AnswerHead, request_id: str) -> None:
        """Log once that another instance answered in a target's place."""
        key = (target.instance, head.instance)
        if key in self.reported_others:
            return
        self.reported_others[key] = None
        if len(self.reported_others) > MAX_OTHER_INSTANCES:
            del self.reported_others[next(iter(self.reported_others))]
        logger.info(
            "Another instance answered.",
            target=target.instance,
            instance=head.instance,
            request=request_id,
            address=target.address,
            notices=[notice.value for notice in head.notices],
        )

    def _log_malformed(
        self, target: Target, malformed: Mapping[Notice, str], request_id: str
    ) -> None:
        """Log each malformed notice once, until it is well-formed or absent again."""
        instance = target.instance
        for notice in Notice:
            key = (instance, notice)
            if notice not in malformed:
                self.reported_malformed.discard(key)
            elif key not in self.reported_malformed:
                self.reported_malformed.add(key)
                logger.info(
                    "Ignored a malformed notice of a target.",
                    target=instance,
                    request=request_id,
                    notice=notice.value,
                    value=malformed[notice],
                )
