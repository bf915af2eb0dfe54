"""Messages between daemons.

There are two transports. Calls use gRPC and carry messages that must arrive. Queries and
notices are single datagrams and carry hints, whose loss costs at most a few milliseconds
or a prefix cache hit. docs/internals/decisions has the measurement behind the split.
"""

from __future__ import annotations

import abc
import functools
import typing
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.peers import envelope
from agaterail.util.untrusted import load_msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logs.get_logger("peers")

M = TypeVar("M")

# Fields are encoded by position, not by name: names would be most of a small message.
# Daemons of different releases whose fields differ cannot decode each other's message.
# This loses a hint or fails a call, and both cases have a fallback.
converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
MESSAGE_TYPES: dict[str, type] = {}
TOO_MANY_CALLS = "too many calls in flight"


def peer_message(kind: type[M]) -> type[M]:
    """Register an attrs class as a message under its class name (class decorator)."""
    MESSAGE_TYPES[kind.__name__] = kind
    return kind


@functools.cache
def resolve_annotations(kind: type[M]) -> type[M]:
    """Resolve the string annotations of a class to types, and return the class.

    cattrs does this itself only for classes that are encoded by name, not by position.
    """
    _resolve_field_types(kind)
    return kind


def encode_fields(message: Any) -> Any:
    """Return the fields of a message as a tuple, by position."""
    return converter.unstructure(message, resolve_annotations(type(message)))  # type: ignore[arg-type]


def decode_message(kind: Any, fields: Any) -> Any:
    """Build a message from its fields; raises the exceptions of cattrs."""
    return converter.structure(fields, kind)


def _structure_fields(values: Any, kind: Any) -> Any:
    """Build an attrs class from its fields by position.

    cattrs passes them to the class by position too, which keyword-only fields do not allow.
    """
    fields = attrs.fields(resolve_annotations(kind))
    named = {
        field.alias: converter.structure(value, field.type)
        for field, value in zip(fields, values, strict=False)
    }
    return kind(**named)


converter.register_structure_hook_func(attrs.has, _structure_fields)


def _resolve_field_types(kind: Any) -> None:
    if attrs.has(kind):
        attrs.resolve_types(kind)
        for field in attrs.fields(kind):
            _resolve_field_types(field.type)
    for argument in typing.get_args(kind):
        _resolve_field_types(argument)


class Transport(abc.ABC):
    """Carries signed messages and their answers."""

    receive: Callable[[str, bytes], bytes | None]

    @abc.abstractmethod
    def start(self) -> None:
        """Start receiving."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop receiving."""

    @abc.abstractmethod
    def request(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Send a message and wait for the answer."""

    @abc.abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send a message that gets no answer."""


class Peers:
    """Typed messages to and from the other daemons.

    Parameters
    ----------
    own_address
        Address at which other daemons reach this one.
    calls, datagrams
        Transports for calls and for hints.
    secret
        Shared secret of the daemons.
    """

    def __init__(
        self, own_address: str, calls: Transport, datagrams: Transport, secret: str
    ) -> None:
        self.own_address = own_address
        self.calls = calls
        self.datagrams = datagrams
        self.key = envelope.derive_key(secret)
        self.handlers: dict[type, Callable[[str, Any], object]] = {}
        self.on_message_received: Callable[[str], None] = lambda address: None
        self.on_unanswered: Callable[[str, bool], None] = lambda address, is_call: None
        self.sent_messages = 0
        self.sent_bytes = 0
        calls.receive = self.receive
        datagrams.receive = self.receive

    def handle(self, kind: type[M], handler: Callable[[str, M], object]) -> None:
        """Register the handler of a message type; it also gets the sender's address."""
        self.handlers[kind] = handler

    def start(self) -> None:
        """Start receiving."""
        self.calls.start()
        self.datagrams.start()

    def stop(self) -> None:
        """Stop receiving."""
        self.calls.stop()
        self.datagrams.stop()

    def call(self, address: str, message: object, timeout_s: float = 1.0) -> Result[Any, str]:
        """Send a message that must arrive, and return the answer."""
        return self._request(self.calls, address, message, timeout_s)

    def query(self, address: str, message: object, timeout_s: float) -> Result[Any, str]:
        """Request a hint by datagram; the query or its answer may be lost."""
        return self._request(self.datagrams, address, message, timeout_s)

    def notify(self, address: str, message: object) -> None:
        """Send a hint by datagram, without an answer."""
        if address == self.own_address:
            self._dispatch(address, message)
            return
        self.datagrams.send(address, self._encode(message))

    def receive(self, _source: str, data: bytes) -> bytes | None:
        """Handle a signed message and return the signed answer."""
        decoded = self._decode(data)
        if not isinstance(decoded, Success):
            logger.warning("Dropped a message.", reason=decoded.failure())
            return None
        sender, message = decoded.unwrap()
        self.on_message_received(sender)
        answer = self._dispatch(sender, message)
        return None if answer is None else self._encode(answer)

    def _request(
        self, transport: Transport, address: str, message: object, timeout_s: float
    ) -> Result[Any, str]:
        if address == self.own_address:
            return Success(self._dispatch(address, message))
        answered = transport.request(address, self._encode(message), timeout_s)
        if isinstance(answered, Success):
            self.on_message_received(address)
        elif answered.failure() != TOO_MANY_CALLS:
            self.on_unanswered(address, transport is self.calls)
        return answered.bind(self._decode).map(lambda decoded: decoded[1])

    def _dispatch(self, sender: str, message: object) -> object:
        handler = self.handlers.get(type(message))
        return None if handler is None else handler(sender, message)

    def _encode(self, message: Any) -> bytes:
        fields = encode_fields(message)
        body = msgpack.packb([self.own_address, type(message).__name__, fields])
        signed = envelope.sign(self.key, body)
        self.sent_messages += 1
        self.sent_bytes += len(signed)
        return signed

    def _decode(self, data: bytes) -> Result[tuple[str, Any], str]:
        body = envelope.verify(self.key, data)
        if body is None:
            return Failure("wrong secret or corrupted message")
        try:
            sender, name, fields = load_msgpack(body)
            return Success((sender, decode_message(MESSAGE_TYPES[name], fields)))
        except Exception as error:  # msgpack and cattrs raise many unrelated types
            return Failure(f"{type(error).__name__}: {error}")
