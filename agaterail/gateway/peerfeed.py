"""Answers and questions by which daemons pass on their readings of the store."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from agaterail.gateway.controlstore import Feed, FeedRecord

if TYPE_CHECKING:
    from agaterail.gateway.relay import Relay

PATH = b"/feeds"
# A record that has been known for longer was there before anybody's start.
LONGEST_KNOWN_S = 3600.0


@attrs.frozen
class FeedNews:
    """What a peer knows of one feed.

    Attributes
    ----------
    age_s
        Age of the peer's own reading when it answered.
    known_s
        Seconds since which some daemon has had the newest record.
    """

    age_s: float
    known_s: float
    next_offset: int
    records: tuple[FeedRecord, ...]


@attrs.frozen
class PeerAnswer:
    """A peer's answer.

    Attributes
    ----------
    feeds
        News by feed; a feed is missing if the peer cannot continue the offset.
    readers
        Addresses of the daemons that read the store, as the peer knows them.
    waited_s
        Seconds for which the peer kept the question waiting for news.
    """

    feeds: dict[Feed, FeedNews]
    readers: tuple[str, ...]
    waited_s: float = 0.0


def encode_question(offsets: dict[Feed, int], wait_s: float) -> str:
    """Return the path and query of a question."""
    pairs = [f"{feed.value}={offset}" for feed, offset in offsets.items()]
    return f"{PATH.decode()}?wait={wait_s:.3f}&" + "&".join(pairs)


def decode_question(query: bytes) -> tuple[dict[Feed, int], float]:
    """Return the offsets and the wait of a question.

    Raises
    ------
    ValueError
        If it is none.
    """
    found = dict(pair.split("=", 1) for pair in query.decode("ascii").split("&"))
    offsets = {feed: int(found[feed.value]) for feed in Feed if feed.value in found}
    return offsets, float(found.get("wait", "0"))


def encode_answer(
    relay: Relay,
    offsets: dict[Feed, int],
    readers: tuple[str, ...],
    now: float,
    waited_s: float = 0.0,
) -> bytes:
    """Return the body of an answer."""
    feeds: dict[str, Any] = {}
    for feed, offset in offsets.items():
        kept = relay.feeds[feed]
        records = kept.since(offset)
        if records is None or kept.failing:
            continue
        feeds[feed.value] = {
            "age_s": round(now - kept.read_at, 4),
            "known_s": round(min(LONGEST_KNOWN_S, now - kept.known_at), 4),
            "next": kept.next_offset,
            "records": [
                [item.offset, item.key, base64.b64encode(item.value).decode()]
                for item in records
            ],
        }
    answer = {"feeds": feeds, "readers": readers, "waited_s": round(waited_s, 4)}
    return json.dumps(answer, separators=(",", ":")).encode()


def decode_answer(body: bytes) -> Result[PeerAnswer, str]:
    """Return what a peer answered."""
    try:
        found = json.loads(body)
        feeds = {Feed(name): _decode_news(news) for name, news in found["feeds"].items()}
        waited_s = float(found["waited_s"])
        return Success(PeerAnswer(feeds, tuple(found["readers"]), waited_s))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _decode_news(news: dict[str, Any]) -> FeedNews:
    records = tuple(
        FeedRecord(int(offset), str(key), base64.b64decode(value))
        for offset, key, value in news["records"]
    )
    return FeedNews(float(news["age_s"]), float(news["known_s"]), int(news["next"]), records)
