from __future__ import annotations

import json
import pathlib
import re
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

import agaterail
from agaterail.util import untrusted
from agaterail.util.untrusted import DecodeError, JsonDecoder, MsgpackDecoder, NestingError

DEPTH = 60_000
NESTED_JSON = b"[" * DEPTH + b"]" * DEPTH
NESTED_MSGPACK = b"\x91" * DEPTH + b"\xc0"
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
# Calls of a library that decode a value. A streaming unpacker of checked chunks is not one.
DIRECT_CALLS = re.compile(
    r"json\.loads?\(|msgpack\.unpackb?\(|msgpack\.Decoder\(|json\.Decoder\("
    r"|msgpack\.decode\(|json\.decode\("
)


class DecodeTest(unittest.TestCase):
    def test_deeply_nested_values_end_the_loop_that_reads_them(self):
        """Guards against a RecursionError where callers expect a ValueError."""
        decoders = (
            (untrusted.load_json, NESTED_JSON),
            (untrusted.load_json, b"[" * DEPTH),
            (untrusted.load_msgpack, NESTED_MSGPACK),
            (MsgpackDecoder(list[object]).decode, NESTED_MSGPACK),
            (JsonDecoder(dict[str, msgspec.Raw]).decode, b'{"a":' + NESTED_JSON + b"}"),
        )
        for decode, data in decoders:
            with self.subTest(decode=decode), self.assertRaises(DecodeError):
                decode(data)

    def test_malformed_values_have_one_type_of_error(self):
        for data in (b"", b"{", b"\xff", b"[1,]", b"9" * 5000):
            with self.subTest(data=data[:9]), self.assertRaises(DecodeError):
                untrusted.load_json(data)
        for data in (b"", b"\xc1", b"\x92\x01", b"\xa2\xff\xff"):
            with self.subTest(data=data), self.assertRaises(DecodeError):
                untrusted.load_msgpack(data)

    def test_no_module_decodes_untrusted_data_by_itself(self):
        """Guards against a reader with an error type that its caller does not expect."""
        package = pathlib.Path(agaterail.__file__).parent
        found = [
            str(path.relative_to(package))
            for path in package.rglob("*.py")
            if DIRECT_CALLS.search(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(found, ["util/untrusted.py"])


class PruneTest(unittest.TestCase):
    @given(JSON_VALUES, st.integers(1, 4))
    def test_values_above_the_level_are_kept(self, value, levels):
        pruned = untrusted.prune_json(json.dumps(value).encode(), levels)
        self.assertEqual(json.loads(pruned), _prune(value, levels))

    def test_members_beside_a_nested_one_are_read(self):
        text = b'{"a": 1, "b": ' + NESTED_JSON + b', "c": "]["}'
        with self.assertRaises(NestingError):
            untrusted.load_json(text)
        found = untrusted.decode_pruned(untrusted.load_json, text)
        self.assertEqual((found["a"], found["c"]), (1, "]["))

    def test_open_brackets_are_refused(self):
        for text in (b"[" * 5000, b'{"a": ' + b"[" * DEPTH, b"[[1]"):
            with self.subTest(text=text[:9]), self.assertRaises(DecodeError):
                untrusted.prune_json(text)


def _prune(value, levels):
    """Return a value with None in place of what lies below a number of levels."""
    if not isinstance(value, list | dict):
        return value
    if not levels:
        return None
    if isinstance(value, list):
        return [_prune(item, levels - 1) for item in value]
    return {name: _prune(item, levels - 1) for name, item in value.items()}
