from __future__ import annotations

import json
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway import documents
from agaterail.gateway.documents import EMPTY, Piece

ROWS = st.lists(st.integers(0, 9), max_size=12)
STATES = st.fixed_dictionaries(
    {"version": st.integers(1, 99)},
    optional={"a": ROWS, "b": ROWS, "limits": st.just({"x": 1})},
)


def parse(value):
    return documents.parse(json.dumps(value).encode()).unwrap()


class ParseTest(unittest.TestCase):
    def test_lists_are_split_into_row_texts(self):
        found = documents.parse(
            b'{"v": 7, "rows": [ {"a": [1, 2]} , 3 ], "none": null}'
        ).unwrap()
        self.assertEqual(found.tables, {"rows": (b'{"a": [1, 2]}', b"3")})
        self.assertEqual(found.members, {"v": b"7", "none": b"null"})
        self.assertEqual(found.size, 19)

    def test_unchanged_rows_are_shared(self):
        # Sixteen versions of a state with 23,000 rows are kept. Without sharing, each of
        # them would take the memory of a whole state.
        former = parse({"rows": [{"name": "x"}, {"name": "y"}]})
        found = documents.parse(b'{"rows":[{"name": "y"},{"name": "z"}]}', former).unwrap()
        self.assertIs(found.tables["rows"][0], former.tables["rows"][1])

    def test_invalid_documents_are_rejected(self):
        for text in (b"", b"[]", b"7", b'{"rows": [1', b'{"rows": [1}', b'{"a": 1} x'):
            self.assertIsInstance(documents.parse(text).failure(), str)


class DifferenceTest(unittest.TestCase):
    @given(STATES, STATES)
    def test_difference_round_trip(self, first, second):
        former, wanted = parse(first), parse(second)
        change = documents.difference(former, wanted)
        self.assertEqual(documents.apply(former, change).unwrap(), wanted)

    @given(STATES, STATES, STATES)
    def test_difference_from_wrong_base_yields_no_other_document(self, first, second, third):
        former, wanted, other = parse(first), parse(second), parse(third)
        made = documents.apply(other, documents.difference(former, wanted))
        self.assertIn(made.value_or(wanted), [wanted])

    def test_difference_is_proportional_to_change(self):
        former = parse({"rows": list(range(1000))})
        wanted = parse({"rows": [*range(500), "new", *range(501, 1000), 2000]})
        pieces = documents.difference(former, wanted).tables["rows"]
        self.assertEqual(pieces, (Piece(0, 500, (b'"new"',)), Piece(501, 499, (b"2000",))))

    def test_out_of_range_pieces_are_rejected(self):
        former = parse({"rows": [1, 2]})
        change = documents.difference(former, former)
        for piece in (Piece(0, 3, ()), Piece(-1, 1, ()), Piece(1, -1, ()), Piece(5, 0, ())):
            bad = attrs.evolve(change, tables={"rows": (piece,)})
            self.assertIsInstance(documents.apply(former, bad).failure(), str)

    def test_difference_from_empty_is_whole_document(self):
        wanted = parse({"version": 3, "rows": [1, 2]})
        change = documents.difference(EMPTY, wanted)
        self.assertEqual(documents.apply(EMPTY, change).unwrap(), wanted)
