from __future__ import annotations

import enum
import types
import typing
import unittest

import attrs
import msgpack

from agaterail import application, peers, status
from agaterail.claims import Claim, ClaimBatch
from agaterail.controllers.claims import HandClaims

# Both modules register messages when they are imported.
REGISTERING_MODULES = (application, status)
SCALARS = {str: "text", bytes: b"bytes", int: 7, float: 0.5, bool: True}


def example_of(kind):
    """Return a value of a type in which no field has its default."""
    if attrs.has(kind):
        fields = attrs.fields(peers.resolve_annotations(kind))
        return kind(**{field.alias: example_of(field.type) for field in fields})
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return example_of(next(item for item in arguments if item is not type(None)))
    if origin is tuple and Ellipsis not in arguments:
        return tuple(example_of(item) for item in arguments)
    if origin in (tuple, list, frozenset, set):
        return origin([example_of(arguments[0])])
    if origin is dict:
        return {example_of(arguments[0]): example_of(arguments[1])}
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    return SCALARS[kind]


def pass_on(message):
    """Return a message as another daemon decodes it."""
    packed = msgpack.packb(peers.encode_fields(message))
    return peers.decode_message(type(message), msgpack.unpackb(packed))


class MessagesTest(unittest.TestCase):
    def test_every_registered_message_arrives_as_it_was_sent(self):
        """Messages with keyword-only fields could be encoded but not decoded."""
        self.assertGreater(len(peers.MESSAGE_TYPES), 10)
        for name, kind in sorted(peers.MESSAGE_TYPES.items()):
            with self.subTest(message=name):
                message = example_of(kind)
                self.assertEqual(pass_on(message), message)

    def test_claims_for_another_daemon_arrive(self):
        """A batch of claims was dropped by the owner of their partition."""
        batch = ClaimBatch(claims=(Claim(b"k" * 16, "host-a", "attempt-1", b"r"),))
        self.assertEqual(pass_on(HandClaims(batch)), HandClaims(batch))
