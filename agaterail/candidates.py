"""Queries and notices that daemons send to the homes of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail.index import SHORT_KEY_BYTES, short_key
from agaterail.peers import decode_message, encode_fields, peer_message

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from agaterail.homes import HomeMap
    from agaterail.peers import Peers
    from agaterail.prefix import Prefix
    from agaterail.timers import TimerService

QUERY_TIMEOUT_S = 0.02
# A home that has failed to answer for FAILURE_SPAN_S is not queried again for
# HOME_BACKOFF_S. Otherwise every request would wait for the full query timeout,
# which would be added to its time to first token.
FAILURE_SPAN_S = 0.25
HOME_BACKOFF_S = 0.25
MAX_EXACT_DEPTH = 32


@peer_message
@attrs.frozen
class CandidateQuery:
    """Query to the home of some engines about one prompt.

    Attributes
    ----------
    keys
        Concatenated short block keys.
    depths
        Number of blocks up to and including each key; empty means 1, 2, 3, ...
    """

    engines: tuple[str, ...]
    keys: bytes
    depths: tuple[int, ...] = ()


@peer_message
@attrs.frozen
class CandidateState:
    """State of one engine, with its cache hit for one prompt.

    Attributes
    ----------
    depth
        Leading blocks that are probably cached.
    confidence
        Fraction of these blocks that is expected to be cached.
    age_ms
        Age of the load report behind the estimate, or -1 without a report.
    """

    engine: str
    depth: int = 0
    confidence: float = 1.0
    queue_ms: float = 0.0
    in_flight: int = 0
    age_ms: float = -1.0
    prefill_ms_per_token: float = 0.0
    weights_version: str = ""
    leaving: bool = False


@peer_message
@attrs.frozen
class CandidateAnswer:
    """Answer of a home; engines that it does not follow are left out."""

    states: tuple[CandidateState, ...] = ()


@peer_message
@attrs.frozen
class DispatchNotice:
    """Notice to an engine's home that a request is being sent to the engine."""

    engine: str
    dispatch_id: str
    missing_tokens: int
    keys: bytes


@peer_message
@attrs.frozen
class FinishNotice:
    """Notice to an engine's home that a dispatched request ended or did not run."""

    engine: str
    dispatch_id: str
    ran: bool = True


@attrs.frozen
class PrefixSample:
    """Sampled and truncated block keys of a prefix, as sent to homes.

    Attributes
    ----------
    depths
        Number of blocks up to and including each key.
    """

    keys: bytes
    depths: tuple[int, ...]

    @property
    def exact(self) -> bool:
        """Whether the sample includes the key of every block."""
        return len(self.depths) == (self.depths[-1] if self.depths else 0)


def sample_prefix(prefix: Prefix) -> PrefixSample:
    """Return every leading block key, then keys at increasing intervals.

    Up to ``MAX_EXACT_DEPTH`` blocks, the depth that a home finds is exact. Beyond
    that it is exact at the ends of the levels and elsewhere too small by at most
    one part in ``MAX_EXACT_DEPTH / 2``.
    """
    count = len(prefix.keys)
    levels = {level for level in prefix.level_blocks if 0 < level <= count}
    depths = sorted({*_sampled_depths(count), *levels})
    keys = b"".join(prefix.keys[depth - 1][:SHORT_KEY_BYTES] for depth in depths)
    return PrefixSample(keys, tuple(depths))


def split_keys(keys: bytes) -> list[int]:
    """Return concatenated short keys as integers."""
    return [
        short_key(keys[start : start + SHORT_KEY_BYTES])
        for start in range(0, len(keys), SHORT_KEY_BYTES)
    ]


class CandidateFinder:
    """Queries the homes of engines concurrently, with a short timeout."""

    def __init__(self, peers: Peers, homes: HomeMap, timers: TimerService) -> None:
        self.peers = peers
        self.homes = homes
        self.timers = timers
        self.timeout_s = QUERY_TIMEOUT_S
        self.backoff_until: dict[str, float] = {}
        self.failing_since: dict[str, float] = {}
        _warm_up_codec()

    def query(self, engines: Sequence[str], prefix: PrefixSample) -> dict[str, CandidateState]:
        """Return the states of the engines whose homes answered in time."""
        now = self.timers.now()
        depths = () if prefix.exact else prefix.depths
        queries = {
            home: CandidateQuery(tuple(queried), prefix.keys, depths)
            for home, queried in self._by_home(engines).items()
            if self.backoff_until.get(home, 0.0) <= now
        }
        states: dict[str, CandidateState] = {}
        for answer in self._query_all(queries):
            states.update((state.engine, state) for state in answer.states)
        return states

    def notify_dispatch(
        self, engine: str, dispatch_id: str, missing_tokens: int, keys: bytes
    ) -> None:
        """Notify an engine's home of a request that is about to be sent."""
        notice = DispatchNotice(engine, dispatch_id, missing_tokens, keys)
        self.peers.notify(self.homes.home_of(engine), notice)

    def notify_finish(self, engine: str, dispatch_id: str, ran: bool) -> None:
        """Notify an engine's home that a request has ended or did not run."""
        notice = FinishNotice(engine, dispatch_id, ran)
        self.peers.notify(self.homes.home_of(engine), notice)

    def _by_home(self, engines: Iterable[str]) -> dict[str, list[str]]:
        groups: dict[str, list[str]] = {}
        for engine in engines:
            groups.setdefault(self.homes.home_of(engine), []).append(engine)
        return groups

    def _query_all(self, queries: dict[str, CandidateQuery]) -> list[CandidateAnswer]:
        homes = list(queries)
        if len(homes) == 1:
            answers = [self._query_one(homes[0], queries[homes[0]])]
        else:
            waiting = [gevent.spawn(self._query_one, home, queries[home]) for home in homes]
            gevent.joinall(waiting)
            answers = [greenlet.value for greenlet in waiting]
        return [answer for answer in answers if answer is not None]

    def _query_one(self, home: str, query: CandidateQuery) -> CandidateAnswer | None:
        result = self.peers.query(home, query, self.timeout_s)
        if isinstance(result, Success) and isinstance(result.unwrap(), CandidateAnswer):
            self.failing_since.pop(home, None)
            return result.unwrap()
        now = self.timers.now()
        # The time span decides, not the number of failures: in a burst, many
        # queries can time out at the same moment.
        if now - self.failing_since.setdefault(home, now) >= FAILURE_SPAN_S:
            self.backoff_until[home] = now + HOME_BACKOFF_S
        return None


def _warm_up_codec() -> None:
    # The converter generates code for each class on first use, which takes
    # milliseconds. Without the warm-up, the first queries after a start would
    # time out.
    query = CandidateQuery(("",), b"", (1,))
    answer = CandidateAnswer((CandidateState("", 1, 0.5, 1.0, 1, 1.0, 1.0, "v", True),))
    for message in (query, answer, DispatchNotice("", "", 1, b""), FinishNotice("", "")):
        decode_message(type(message), encode_fields(message))


def _sampled_depths(count: int) -> Iterator[int]:
    step, depth = 1, 0
    while depth + step <= count:
        depth += step
        yield depth
        if depth >= MAX_EXACT_DEPTH * step:
            step *= 2
