"""A caller's request as the gateway handles it."""

from __future__ import annotations

import attrs


def normalize_part_name(name: str) -> str:
    """Return a part's name as the events of stores spell it: a number without zeros before."""
    return name.lower().lstrip("0")


@attrs.frozen
class PromptPart:
    """One named part of a prompt and its length in tokens."""

    name: str
    tokens: int


@attrs.define(kw_only=True)
class InboundRequest:
    """One request, whole, as its caller sent it.

    Attributes
    ----------
    target
        Path and query as sent, byte by byte.
    headers
        Names and values as sent, in order.
    received_at
        Time at which its first byte was read.
    complete_at
        Time at which its last byte was read.
    time_limit_s
        Seconds that the caller will wait, from its sending; None if not said.
    prompt
        Parts of the prompt, shared ones first; empty if not named.
    last_event_id
        Position after which a stream is to be continued; empty for the start.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
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

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share; the last is its own."""
        return self.prompt[:-1]


@attrs.frozen(kw_only=True)
class AttemptHead:
    """What the gateway itself sets on a request to a target.

    Attributes
    ----------
    instance
        Target that must answer; another one at the address refuses.
    weights_version
        Weights that must answer; None for any.
    cache_scope
        Requests with other scopes share no cached parts.
    fetch_from
        Address that the engine fetches missing cached parts from.
    save_to
        Address that the engine saves the parts to that it has read.
    priority
        0 is first, 9 last; None leaves the engine's default.
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


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a target's answer.

    Attributes
    ----------
    not_run
        The target says in its protocol's form that it did not run the request.
    request_id
        Request that the target says the answer belongs to.
    headers
        Headers to pass on, those of one connection left out.
    keep_alive_s
        Seconds for which the target keeps an idle connection; None if not said.
    weights_version
        Weights that produced the answer; None if not said.
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
