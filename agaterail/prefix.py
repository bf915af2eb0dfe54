"""Keys of prompt prefixes: chained hashes of blocks within one scope."""

from __future__ import annotations

import abc
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from agaterail.chat import Message

KEY_BYTES = 16
SCOPE_HASH_PERSON = b"agaterail-scope"
LENGTH_BYTES = 8


@attrs.frozen
class Scope:
    """Scope within which cached blocks may be shared.

    Block keys of different scopes never match.
    """

    workspace: str
    model: str
    adapter: str
    weights_version: str

    @property
    def salt(self) -> str:
        """Hash that starts every chain of block keys in this scope, in hex."""
        digest = blake2b(digest_size=KEY_BYTES, person=SCOPE_HASH_PERSON)
        for part in (self.workspace, self.model, self.adapter, self.weights_version):
            data = part.encode()
            # Without the lengths, ("ab", "c") and ("a", "bc") would have the same
            # hash, and a workspace could be served another workspace's blocks.
            digest.update(len(data).to_bytes(LENGTH_BYTES, "big"))
            digest.update(data)
        return digest.hexdigest()


@attrs.frozen
class Prefix:
    """Block keys of one prompt.

    Attributes
    ----------
    keys
        One key per full block; each covers the whole prompt up to its end.
    level_blocks
        Number of full blocks up to the end of each nesting level.
    prompt_tokens
        Number of tokens in the whole prompt.
    placement_key
        Hash of the leading levels that determine where the prompt is placed.
    """

    keys: tuple[bytes, ...]
    level_blocks: tuple[int, ...]
    prompt_tokens: int
    placement_key: bytes


class Tokenizer(abc.ABC):
    """Renders messages to bytes, which are then split into blocks."""

    @abc.abstractmethod
    def render(self, messages: Sequence[Message]) -> Sequence[bytes]:
        """Return the rendered bytes of each message, in order."""

    @abc.abstractmethod
    def block_bytes(self, block_tokens: int) -> int:
        """Return the number of rendered bytes in one block."""


class ByteTokenizer(Tokenizer):
    """Approximates tokens by a fixed number of UTF-8 bytes per token."""

    def __init__(self, token_bytes: int) -> None:
        self.token_bytes = token_bytes

    def render(self, messages: Sequence[Message]) -> Sequence[bytes]:
        """Return the role and content of each message, each on its own line."""
        return [
            f"{message.role}\n{message.content}\n".encode("utf-8", "surrogatepass")
            for message in messages
        ]

    def block_bytes(self, block_tokens: int) -> int:
        """Return the number of rendered bytes in one block."""
        return block_tokens * self.token_bytes

    def tokens(self, size_bytes: int) -> int:
        """Return the number of tokens in ``size_bytes`` rendered bytes, rounded up."""
        return -(-size_bytes // self.token_bytes)


def block_keys(salt: str, prompt: bytes, block_bytes: int) -> tuple[bytes, ...]:
    """Return the key of each full block; each key is chained to the previous one."""
    keys: list[bytes] = []
    parent = bytes.fromhex(salt)
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        parent = blake2b(
            prompt[end - block_bytes : end], key=parent, digest_size=KEY_BYTES
        ).digest()
        keys.append(parent)
    return tuple(keys)


def compute_prefix(
    scope: Scope, messages: Sequence[Message], tokenizer: ByteTokenizer, block_tokens: int
) -> Prefix:
    """Compute the block keys and nesting levels of a prompt.

    Each message except the last ends a level: first the workspace's
    instructions, then a customer's history, then the question.
    """
    rendered = tokenizer.render(messages)
    prompt = b"".join(rendered)
    block_bytes = tokenizer.block_bytes(block_tokens)
    keys = block_keys(scope.salt, prompt, block_bytes)
    levels = tuple(size // block_bytes for size in _running_sizes(rendered[:-1]))
    return Prefix(keys, levels, tokenizer.tokens(len(prompt)), _placement_key(scope, rendered))


def _running_sizes(parts: Iterable[bytes]) -> Iterable[int]:
    total = 0
    for part in parts:
        total += len(part)
        yield total


def _placement_key(scope: Scope, rendered: Sequence[bytes]) -> bytes:
    # The first two levels, instructions and history, are specific enough to
    # spread the load and stay the same between the questions and turns of a
    # conversation.
    digest = blake2b(key=bytes.fromhex(scope.salt), digest_size=KEY_BYTES)
    for part in rendered[: min(2, max(1, len(rendered) - 1))]:
        digest.update(part)
    return digest.digest()
