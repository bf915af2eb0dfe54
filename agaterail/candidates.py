"""Questions to the homes of candidate engines, and what homes are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail.index import SHORT_KEY_BYTES, short_key
from agaterail.peers import fields_of, message_of, peer_message

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from agaterail.homes import HomeMap
    from agaterail.peers import Peers
    from agaterail.prefix import Prefix
    from agaterail.timers import TimerService

QUERY_TIMEOUT_S = 0.02
# A home that has not answered for a while is asked only now and then: waiting
# for it in every request would add the whole timeout to each first token.
FAILURE_SPAN_S = 0.25
HOME_BACKOFF_S = 0.25
MAX_EXACT_DEPTH = 32


@peer_message
@attrs.frozen
class CandidateQuery:
    """Question to the home of some engines about one prompt.

    Attributes
    ----------
    keys
        Short block keys, joined.
    depths
        Blocks up to the end of each key; empty for 1, 2, 3 and so on.
    """

    engines: tuple[str, ...]
    keys: bytes
    depths: tuple[int, ...] = ()


@peer_message
@attrs.frozen
class CandidateState:
    """What a home knows of one engine for one prompt.

    Attributes
    ----------
    depth
        Leading blocks that are probably cached.
    confidence
        Expected cached part of these.
    age_ms
        Age of the load report behind the estimate; -1 without a report.
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
    """Answer of a home; engines that it does not follow are missing."""

    states: tuple[CandidateState, ...] = ()


@peer_message
@attrs.frozen
class DispatchNotice:
    """A request is being sent to an engine."""

    engine: str
    dispatch_id: str
    missing_tokens: int
    keys: bytes


@peer_message
@attrs.frozen
class FinishNotice:
    """A dispatched request has ended, or did not run at all."""

    engine: str
    dispatch_id: str
    ran: bool = True


@attrs.frozen
class PrefixSample:
    """The part of a prefix that is sent to homes.

    Attributes
    ----------
    depths
        Blocks up to the end of each key.
    """

    keys: bytes
    depths: tuple[int, ...]

    @property
    def exact(self) -> bool:
        """Tell whether every block has its key here."""
        return len(self.depths) == (self.depths[-1] if self.depths else 0)


def sample_prefix(prefix: Prefix) -> PrefixSample:
    """Return the keys to send: all at the start, then fewer and fewer.

    Above ``MAX_EXACT_DEPTH`` blocks, a depth is exact at the ends of the levels and
    otherwise too small by one part in ``MAX_EXACT_DEPTH / 2`` at most.
    """
    count = len(prefix.keys)
    levels = {level for level in prefix.level_blocks if 0 < level <= count}
    depths = sorted({*_sampled_depths(count), *levels})
    keys = b"".join(prefix.keys[depth - 1][:SHORT_KEY_BYTES] for depth in depths)
    return PrefixSample(keys, tuple(depths))


def split_keys(keys: bytes) -> list[int]:
    """Return joined short keys as numbers."""
    return [
        short_key(keys[start : start + SHORT_KEY_BYTES])
        for start in range(0, len(keys), SHORT_KEY_BYTES)
    ]


class CandidateFinder:
    """Asks homes at once, with a short deadline."""

    def __init__(self, peers: Peers, homes: HomeMap, timers: TimerService) -> None:
        self.peers = peers
        self.homes = homes
        self.timers = timers
        self.timeout_s = QUERY_TIMEOUT_S
        self.backoff_until: dict[str, float] = {}
        self.failing_since: dict[str, float] = {}
        _warm_up_codec()

    def query(self, engines: Sequence[str], prefix: PrefixSample) -> dict[str, CandidateState]:
        """Return what is known of the engines whose homes answered in time."""
        now = self.timers.now()
        depths = () if prefix.exact else prefix.depths
        queries = {
            home: CandidateQuery(tuple(asked), prefix.keys, depths)
            for home, asked in self._by_home(engines).items()
            if self.backoff_until.get(home, 0.0) <= now
        }
        states: dict[str, CandidateState] = {}
        for answer in self._query_all(queries):
            states.update((state.engine, state) for state in answer.states)
        return states

    def notify_dispatch(
        self, engine: str, dispatch_id: str, missing_tokens: int, keys: bytes
    ) -> None:
        """Tell an engine's home of a request that is about to be sent."""
        notice = DispatchNotice(engine, dispatch_id, missing_tokens, keys)
        self.peers.notify(self.homes.home_of(engine), notice)

    def notify_finish(self, engine: str, dispatch_id: str, ran: bool) -> None:
        """Tell an engine's home that a request has ended."""
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
        # One burst can miss the deadline many times at once, so that the time
        # counts and not the number of misses.
        if now - self.failing_since.setdefault(home, now) >= FAILURE_SPAN_S:
            self.backoff_until[home] = now + HOME_BACKOFF_S
        return None


def _warm_up_codec() -> None:
    # The converter writes code for each class on first use, which takes
    # milliseconds: the first questions after a start would miss their deadline.
    query = CandidateQuery(("",), b"", (1,))
    answer = CandidateAnswer((CandidateState("", 1, 0.5, 1.0, 1, 1.0, 1.0, "v", True),))
    for message in (query, answer, DispatchNotice("", "", 1, b""), FinishNotice("", "")):
        message_of(type(message), fields_of(message))


def _sampled_depths(count: int) -> Iterator[int]:
    step, depth = 1, 0
    while depth + step <= count:
        depth += step
        yield depth
        if depth >= MAX_EXACT_DEPTH * step:
            step *= 2
