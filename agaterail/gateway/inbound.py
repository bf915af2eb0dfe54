"""Requests of callers, and the heads of requests to targets and of their answers."""

from __future__ import annotations

import enum

import attrs


def normalize_part_name(name: str) -> str:
    """Return a part's name as in store events: lower case, without leading zeros."""
    return name.lower().lstrip("0")


@attrs.frozen
class PromptPart:
    """One named part of a prompt and its length in tokens."""

    name: str
    tokens: int


@attrs.define(kw_only=True)
class InboundRequest:
    """A complete request as its caller sent it.

    Attributes
    ----------
    target
        Path and query, byte for byte as sent.
    headers
        Names and values as sent, in order.
    body_digest
        Digest of the body; empty without a body.
    received_at
        Time at which the first byte was read.
    complete_at
        Time at which the last byte was read.
    time_limit_s
        Seconds that the caller waits after sending; None if not given.
    prompt
        Parts of the prompt, shared ones first; empty if not given.
    last_event_id
        Id of the event after which a stream resumes; empty for the start.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    body_digest: bytes = b""
    keep_alive: bool = True
    received_at: float = 0.0
    complete_at: float = 0.0
    request_id: str = ""
    host: str = ""
    api_key: str = ""
    time_limit_s: float | None = None
    model: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ""
    resumes: str = ""

    @property
    def path(self) -> bytes:
        """Return the request target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def stated_tokens(self) -> int | None:
        """Return the tokens of prompt and output; None if the request states none."""
        return self.prompt_tokens + self.output_tokens or None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.prompt[:-1]


@attrs.frozen(kw_only=True)
class AttemptHead:
    """Headers that the gateway itself sets on a request to a target.

    Attributes
    ----------
    instance
        Id of the target that must answer; another one at the same address refuses.
    weights_version
        Weights version that must answer; None for any.
    cache_scope
        Cached parts are shared only between requests of the same scope.
    fetch_from
        Address from which the engine fetches cached parts that it lacks.
    save_to
        Address to which the engine saves the parts that it has read.
    priority
        From 0, first, to 9, last; None for the engine's default.
    """

    time_left_s: float
    instance: str
    workspace: str = ""
    weights_version: int | None = None
    cache_scope: str = ""
    fetch_from: str = ""
    save_to: str = ""
    priority: int | None = None
    last_event_id: str = ""


class Notice(enum.Enum):
    """What a target says of itself in the head of an answer."""

    RATE_LIMIT = "rate_limit"
    RETRY_AFTER = "retry_after"
    LEAVING = "leaving"
    BRITTLE = "brittle"


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a target's answer.

    Attributes
    ----------
    not_run
        Whether the target reported that it did not run the request.
    request_id
        Id of the request that the target is answering; empty if not given.
    headers
        Headers to relay, without hop-by-hop headers.
    has_server_stamp
        Whether the answer bears the stamp of a server; other answers are not relayed.
    keep_alive_s
        Seconds for which the target keeps an idle connection open; None if not given.
    weights_version
        Weights version that produced the answer; None if not given.
    rate_limit_per_s
        Requests per second that the target takes from all daemons together; None if it
        names no limit.
    retry_after_s
        Seconds after which the target takes requests again; None if not given.
    leaving
        Whether the target says that it leaves.
    bearable_refusals
        Refusals in a second, of requests of all daemons together, with which the target
        goes on working; None if it names no number.
    malformed
        Notices that cannot be read, with what the target sent.
    """

    status: int
    not_run: bool
    request_id: str
    headers: tuple[tuple[bytes, bytes], ...]
    has_server_stamp: bool = False
    keep_alive_s: float | None = None
    retry_after_s: float | None = None
    weights_version: int | None = None
    instance: str = ""
    rate_limit_per_s: float | None = None
    leaving: bool = False
    bearable_refusals: float | None = None
    malformed: tuple[tuple[Notice, str], ...] = ()

    @property
    def notices(self) -> list[Notice]:
        """Return the notices that the head holds."""
        said = {
            Notice.RATE_LIMIT: self.rate_limit_per_s is not None,
            Notice.RETRY_AFTER: self.retry_after_s is not None,
            Notice.LEAVING: self.leaving,
            Notice.BRITTLE: self.bearable_refusals is not None,
        }
        return [notice for notice, is_said in said.items() if is_said]
