"""Decide at which build a stream goes on that a caller takes up again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from agaterail import logs
from agaterail.decisions.streamrecords import stream_key
from agaterail.decisions.streamsources import StreamSource
from agaterail.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from agaterail.decisions.buildhistory import BuildHistory
    from agaterail.gateway.desired import Route
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.streamcontroller import FoundSource, StreamController

logger = logs.get_logger("streams")

# Daemons read the removal of a registration at different times.
READING_SKEW_S = 5.0
# Readings are up to three waits old at daemons that poll others.
MAX_VIEW_AGE_S = 2.0
READING_POLL_S = 0.02
MAX_LOGGED_ID = 64
RETRY_AFTER_S = 0.5


class ResumedStreams:
    """Finds the source of streams that callers take up; an unknown one ends the request.

    Parameters
    ----------
    streams
        Knows the sources that were recorded.
    history
        Builds whose targets are gone.
    longest_s
        Returns the longest time limit of a stream in seconds, over all its tries.
    builds
        Returns the builds of a service's registered targets.
    services
        Returns the services to which the route of a request led since a time; None if
        that is not known.
    view_age_s
        Returns the age of the reading of the registrations.
    now
        Returns the time.
    """

    def __init__(
        self,
        streams: StreamController,
        history: BuildHistory,
        longest_s: Callable[[], float],
        builds: Callable[[str], Collection[str]],
        services: Callable[[InboundRequest, float], Collection[str] | None],
        view_age_s: Callable[[], float],
        metrics: GatewayMetrics,
        now: Callable[[], float],
    ) -> None:
        self.streams = streams
        self.history = history
        self.longest_s = longest_s
        self.builds = builds
        self.services = services
        self.view_age_s = view_age_s
        self.metrics = metrics
        self.now = now

    def source_of(
        self, inbound: InboundRequest, route: Route, workspace: str
    ) -> StreamSource | Failure:
        """Return where a stream's events come from, or why it cannot go on."""
        found = None
        key = stream_key(workspace, inbound.resumes)
        if inbound.resumes:
            found = self.streams.find(key)
        source = None if found is None else found.source
        known_by = "only_build"
        if found is not None and source is not None:
            known_by = "peer" if found.peer else "own"
            reason = "" if source.is_known else "records contradict"
        else:
            source, reason = self._only_source(inbound)
        if source is None or reason:
            return self._reject(inbound, found, reason)
        if source.service not in {share.service for share in route.shares}:
            self._log("Stream cannot go on.", inbound, found, source, reason="service moved")
            return Failure(ErrorKind.BUILD_UNAVAILABLE, f"the route left {source.service}")
        if inbound.resumes:
            # It is in use, and daemons that came meanwhile may have to know it.
            self.streams.record(key, source)
        self.metrics.resumed_streams.labels(known_by).inc()
        self._log("Stream taken up.", inbound, found, source, how=known_by)
        return source

    def _only_source(self, inbound: InboundRequest) -> tuple[StreamSource | None, str]:
        """Return the only source that the stream can have, or why there may be others."""
        if not self._await_reading(inbound.received_at):
            return None, "old reading"
        now = self.now()
        window_s = self.longest_s() + READING_SKEW_S
        services = self.services(inbound, now - window_s)
        if services is None or len(services) != 1:
            return None, "several services"
        [service] = services
        builds = self.history.builds(service, self.builds(service), window_s, now)
        if builds is None:
            return None, "short history"
        if len(builds) != 1:
            return None, f"{len(builds)} builds"
        return StreamSource(service, builds.pop()), ""

    def _await_reading(self, since: float) -> bool:
        """Wait for a reading of the registrations that was made since a time.

        A daemon that stood still or was cut off does not know the builds that joined
        meanwhile, and other daemons may have begun the stream there a moment ago.
        """
        while self.now() - self.view_age_s() < since:
            if self.view_age_s() > MAX_VIEW_AGE_S:
                return False
            gevent.sleep(READING_POLL_S)
        return True

    def _reject(
        self, inbound: InboundRequest, found: FoundSource | None, reason: str
    ) -> Failure:
        """Return the failure of a stream whose source is not known.

        Another try can learn more only if a daemon did not answer.
        """
        self.metrics.resumed_streams.labels("unknown").inc()
        self._log("Stream not known.", inbound, found, None, reason=reason)
        missing = 0 if found is None else found.asked - found.answered
        detail = f"{missing} daemons did not answer" if missing else f"no record, {reason}"
        return Failure(ErrorKind.STREAM_UNKNOWN, detail, RETRY_AFTER_S if missing else None)

    def _log(
        self,
        event: str,
        inbound: InboundRequest,
        found: FoundSource | None,
        source: StreamSource | None,
        **fields: object,
    ) -> None:
        logger.info(
            event,
            request=inbound.request_id,
            resumes=inbound.resumes[:MAX_LOGGED_ID],
            after_event=inbound.last_event_id[:MAX_LOGGED_ID],
            service=None if source is None else source.service,
            build=None if source is None else source.build,
            peer=None if found is None else found.peer or None,
            age_s=None if found is None else round(found.age_s, 3),
            asked=None if found is None else found.asked,
            answered=None if found is None else found.answered,
            view_age_s=round(self.view_age_s(), 3),
            **fields,
        )
