"""Queries and answers by which daemons share their readings of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.gateway.controlstore import Feed
from agaterail.gateway.demand import DemandReport
from agaterail.gateway.relayed import PackedRecord
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from agaterail.decisions.fleetmembers import FleetMembers
    from agaterail.gateway.relay import Relay

logger = logs.get_logger("feeds")

# The version in the path changes with the format of the answers. Daemons of another
# release then answer 404, which counts as a failed poll.
PATH = b"/feeds/2"
# Upper bound of ``known_s``: a record that has been known for longer existed before any
# daemon started.
MAX_KNOWN_S = 3600.0
# Length to which a peer's text is cut in the log.
MAX_LOGGED = 60


@attrs.frozen
class PeerQuery:
    """What the polling daemon has, and how long it waits for more.

    Attributes
    ----------
    offsets
        Next offset that it needs of each feed.
    base_offsets
        Offsets of records that it has and that differences may start from.
    wait_s
        Longest time to wait for new records.
    offered
        Prompts offered to the polling daemon since its last report; None if not given.
    sender
        Address at which the polling daemon answers its peers; empty if not given.
    members_tag
        Tag of the list of daemons that it has; None from daemons of a former release.
    """

    offsets: dict[Feed, int]
    base_offsets: tuple[int, ...]
    wait_s: float
    offered: DemandReport | None = None
    sender: str = ""
    members_tag: str | None = None


@attrs.frozen
class FeedNews:
    """Records of one feed in a peer's answer, and how current they are.

    Attributes
    ----------
    age_s
        Age of the peer's own reading when it answered.
    known_s
        Seconds for which some daemon is known to have had the newest record.
    heard_s
        Seconds since the store sent any bytes of this feed.
    """

    age_s: float
    known_s: float
    heard_s: float
    next_offset: int
    records: tuple[PackedRecord, ...]


@attrs.frozen
class PeerAnswer:
    """Answer to a query, as it is sent in MessagePack.

    Attributes
    ----------
    feeds
        New records by feed; a feed is missing if the peer cannot continue from the
        offset or cannot read the feed.
    readers
        Addresses of the daemons that read the store, as the peer knows them.
    waited_s
        Seconds for which the peer delayed the answer to wait for new records.
    offered_tokens_per_s
        Prompt tokens per second offered to an average daemon; None if unknown, and from
        daemons of a former release.
    pollers
        Addresses of some of the daemons that poll the peer.
    members
        Failure domain of each daemon by its address; None if the polling daemon has the
        same list.
    """

    feeds: dict[Feed, FeedNews]
    readers: tuple[str, ...]
    waited_s: float = 0.0
    offered_tokens_per_s: float | None = None
    pollers: tuple[str, ...] = ()
    members: dict[str, str] | None = None


_DECODER: MsgpackDecoder[PeerAnswer] = MsgpackDecoder(PeerAnswer)


def encode_query(query: PeerQuery) -> str:
    """Return the path and query string of a query."""
    pairs = [f"{feed.value}={offset}" for feed, offset in query.offsets.items()]
    pairs.append("held=" + ",".join(map(str, query.base_offsets)))
    if query.offered is not None:
        pairs.append(f"offered={query.offered.tokens}:{query.offered.elapsed_s:.3f}")
    if query.sender:
        pairs.append(f"from={query.sender}")
    if query.members_tag is not None:
        pairs.append(f"members={query.members_tag}")
    return f"{PATH.decode()}?wait={query.wait_s:.3f}&" + "&".join(pairs)


def decode_query(query: bytes) -> PeerQuery:
    """Return the query in a query string.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    found = dict(pair.split("=", 1) for pair in query.decode("ascii").split("&"))
    offsets = {feed: int(found[feed.value]) for feed in Feed if feed.value in found}
    base_offsets = tuple(map(int, filter(None, found.get("held", "").split(","))))
    offered = _decode_offered(found.get("offered", ""))
    wait_s = float(found.get("wait", "0"))
    sender, tag = found.get("from", ""), found.get("members")
    return PeerQuery(offsets, base_offsets, wait_s, offered, sender, tag)


def _decode_offered(text: str) -> DemandReport | None:
    """Return a report, or None if there is none or it is malformed.

    It is no reason to refuse the query, which does not depend on it.
    """
    if not text:
        return None
    tokens, _, elapsed_s = text.partition(":")
    try:
        report = DemandReport(int(tokens), float(elapsed_s))
    except ValueError:
        report = None
    if report is None or not report.is_valid:
        logger.info("Ignored a peer's report of its prompts.", report=text[:MAX_LOGGED])
        return None
    return report


def encode_answer(
    relay: Relay,
    query: PeerQuery,
    readers: tuple[str, ...],
    now: float,
    waited_s: float = 0.0,
    offered_tokens_per_s: float | None = None,
    pollers: tuple[str, ...] = (),
    members: FleetMembers | None = None,
) -> bytes:
    """Return the body of the answer to a query."""
    feeds: dict[Feed, FeedNews] = {}
    for feed, offset in query.offsets.items():
        relayed_feed = relay.feeds[feed]
        records = relayed_feed.pack_since(offset, query.base_offsets)
        if records is None or relayed_feed.failing:
            continue
        known_s = min(MAX_KNOWN_S, now - relayed_feed.known_at)
        feeds[feed] = FeedNews(
            age_s=now - relayed_feed.read_at,
            known_s=known_s,
            heard_s=now - relayed_feed.heard_at,
            next_offset=relayed_feed.next_offset,
            records=tuple(records),
        )
    is_new = members is not None and query.members_tag not in (None, members.tag)
    domains = members.domains if members is not None and is_new else None
    answer = PeerAnswer(feeds, readers, waited_s, offered_tokens_per_s, pollers, domains)
    return msgspec.msgpack.encode(answer)


def decode_answer(body: bytes) -> Result[PeerAnswer, str]:
    """Return the answer in a body, or why it is malformed."""
    try:
        return Success(_DECODER.decode(body))
    except DecodeError as error:
        return Failure(str(error))
