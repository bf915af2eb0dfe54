"""Load generator: seeded conversations and a client that verifies each stream."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator

import attrs
from returns.result import Success

from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections

TOKEN_BYTES = 4


@attrs.frozen(kw_only=True)
class Prompt:
    """Prompt with one question by a customer of a workspace."""

    workspace: int
    customer: int
    messages: tuple[dict[str, str], ...]


@attrs.define(kw_only=True)
class StreamResult:
    """What a caller received for one request.

    Attributes
    ----------
    complete
        Every token arrived exactly once and in order, followed by the final frame.
    """

    status: int = 0
    complete: bool = False
    tokens: int = 0
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    request_id: str = ""
    reason: str = ""
    target: str = ""
    outcome: str = ""
    error: str = ""


class Workload:
    """Prompts made of workspace instructions, customer history and a question.

    Parameters
    ----------
    skew
        Exponent of the Zipf-like distribution from which customers are drawn.
    """

    def __init__(
        self,
        seed: int,
        workspaces: int = 8,
        customers: int = 12,
        instruction_tokens: int = 400,
        history_tokens: int = 1600,
        question_tokens: int = 40,
        skew: float = 1.0,
    ) -> None:
        self.random = random.Random(seed)
        self.workspaces = workspaces
        self.customers = customers
        self.instruction_tokens = instruction_tokens
        self.history_tokens = history_tokens
        self.question_tokens = question_tokens
        self.customer_weights = [1.0 / (rank + 1) ** skew for rank in range(customers)]
        self.customer_shift = 0
        self.question_count = 0

    def prompts(self, count: int) -> Iterator[Prompt]:
        """Yield prompts; ``customer_shift`` changes which customers are the hot ones."""
        for _ in range(count):
            workspace = self.random.randrange(self.workspaces)
            rank = self.random.choices(range(self.customers), self.customer_weights)[0]
            yield self.prompt(workspace, (rank + self.customer_shift) % self.customers)

    def prompt(self, workspace: int, customer: int) -> Prompt:
        """Return a prompt with a new question by one customer."""
        self.question_count += 1
        return Prompt(
            workspace=workspace,
            customer=customer,
            messages=(
                _message("system", f"w{workspace}", self.instruction_tokens),
                _message("user", f"w{workspace}c{customer}", self.history_tokens),
                _message("user", f"q{self.question_count}", self.question_tokens),
            ),
        )


def _message(role: str, name: str, tokens: int) -> dict[str, str]:
    text = (name + " ") * (tokens * TOKEN_BYTES // (len(name) + 1) + 1)
    return {"role": role, "content": text[: tokens * TOKEN_BYTES]}


class StreamClient:
    """Caller that sends chat completions to one address."""

    def __init__(self, address: str, api_key: str, model: str) -> None:
        self.connections = HttpConnections(Address.parse(address))
        self.api_key = api_key
        self.model = model

    def ask(
        self, prompt: Prompt, max_tokens: int = 16, timeout_s: float = 60.0
    ) -> StreamResult:
        """Stream one completion and check that it is complete and in order."""
        fields = {
            "model": self.model,
            "messages": list(prompt.messages),
            "stream": True,
            "max_tokens": max_tokens,
        }
        headers = {
            "authorization": f"Bearer {self.api_key}",
            "content-type": "application/json",
        }
        result = StreamResult()
        started = time.monotonic()
        sent = self.connections.send(
            "POST", "/v1/chat/completions", json.dumps(fields).encode(), headers, timeout_s
        )
        if not isinstance(sent, Success):
            result.error = str(sent.failure())
            return result
        response = sent.unwrap()
        result.status = response.status_code
        result.request_id = str(response.get("x-request-id", ""))
        result.reason = str(response.get("x-agaterail-reason", ""))
        result.target = str(response.get("x-agaterail-target", ""))
        result.outcome = str(response.get("x-agaterail-outcome", ""))
        body = b""
        try:
            while part := response.read_available():
                if not result.first_token_ms:
                    result.first_token_ms = (time.monotonic() - started) * 1e3
                body += part
        except OSError as error:
            response.discard()
            result.error = str(error)
        result.total_ms = (time.monotonic() - started) * 1e3
        if result.status == 200:
            _check_stream(result, body, max_tokens)
        else:
            result.error = body.decode("utf-8", "replace")
        return result


def _check_stream(result: StreamResult, body: bytes, max_tokens: int) -> None:
    lines = [line for line in body.split(b"\n") if line.startswith(b"data: ")]
    errors = [line for line in lines if line.startswith(b'data: {"error"')]
    if errors:
        result.error = errors[0].removeprefix(b"data: ").decode()
        return
    if not lines or lines[-1] != b"data: [DONE]":
        result.error = result.error or "no final frame"
        return
    numbers: list[int] = []
    answer_ids: set[str] = set()
    for line in lines[:-1]:
        fields = json.loads(line[len(b"data: ") :])
        usage = fields.get("usage")
        if usage:
            result.prompt_tokens = usage["prompt_tokens"]
            result.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        content = fields["choices"][0]["delta"].get("content")
        if content:
            answer_id, _, number = content.strip().partition(":")
            answer_ids.add(answer_id)
            numbers.append(int(number))
    result.tokens = len(numbers)
    result.complete = numbers == list(range(max_tokens)) and len(answer_ids) == 1
    if not result.complete:
        result.error = f"tokens out of order: {numbers[:10]}"
