"""Chat-completion requests in the OpenAI format."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from agaterail.util.untrusted import DecodeError, load_json

MAX_MESSAGES = 10_000


@attrs.frozen
class Message:
    """One message of a conversation, reduced to role and text."""

    role: str
    content: str


@attrs.frozen
class ChatRequest:
    """The fields of a chat-completion request that routing needs."""

    model: str
    messages: tuple[Message, ...]
    stream: bool
    adapter: str = ""
    max_tokens: int | None = None


def parse(body: bytes) -> Result[ChatRequest, str]:
    """Parse a request body; unknown fields are left to the engine.

    Returns
    -------
    Result
        The request, or an error message that names the invalid field.
    """
    try:
        fields = load_json(body)
    except DecodeError:
        return Failure("The body is not valid JSON.")
    if not isinstance(fields, dict):
        return Failure("The body is not a JSON object.")
    return _parse_fields(fields)


def _parse_fields(fields: dict[str, Any]) -> Result[ChatRequest, str]:
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        return Failure("'model' is not a name.")
    raw = fields.get("messages")
    if not isinstance(raw, list) or not raw or len(raw) > MAX_MESSAGES:
        return Failure("'messages' is not a list of messages.")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return Failure("'stream' is not true or false.")
    adapter = fields.get("adapter", "")
    if not isinstance(adapter, str):
        return Failure("'adapter' is not a name.")
    limit = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if limit is not None and (
        not isinstance(limit, int) or isinstance(limit, bool) or limit < 1
    ):
        return Failure("'max_tokens' is not a positive whole number.")
    messages: list[Message] = []
    for item in raw:
        message = _parse_message(item)
        if message is None:
            return Failure("A message has no role or no text.")
        messages.append(message)
    return Success(ChatRequest(model, tuple(messages), stream, adapter, limit))


def _parse_message(item: Any) -> Message | None:
    if not isinstance(item, dict) or not isinstance(item.get("role"), str):
        return None
    content = item.get("content")
    if content is None:
        content = ""
    if isinstance(content, list):
        # Includes parts other than text, since they also distinguish prompts.
        try:
            content = json.dumps(content, sort_keys=True)
        except RecursionError:
            return None
    if not isinstance(content, str):
        return None
    return Message(item["role"], content)
