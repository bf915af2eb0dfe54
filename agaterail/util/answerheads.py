"""Checks of heads of answers that HTTP parsers let pass."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

VALID_STATUSES = range(100, 600)
# An answer that breaks off in its head runs together with the next one on the connection.
# The status line of that one then ends a line of the first.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}")


class MalformedHead(ConnectionError):  # noqa: N818
    """The head of an answer is not that of one valid answer.

    Nothing that it says can be relied on, not even that the request was refused.
    """


def check_head(status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Check the status of an answer, and that the head holds no part of another one.

    Raises
    ------
    MalformedHead
        If it is not valid.
    """
    if status not in VALID_STATUSES:
        raise MalformedHead(f"status {status} is invalid")
    texts = (reason, *(value for _, value in headers))
    if any(STATUS_LINE.search(text) for text in texts):
        raise MalformedHead("the head runs into that of another answer")


def check_single(
    headers: Iterable[tuple[bytes, bytes]], single_valued: Collection[bytes]
) -> None:
    """Check that no header comes twice of which an answer has one.

    Parameters
    ----------
    single_valued
        Names of these headers in lower case.

    Raises
    ------
    MalformedHead
        If one does.
    """
    names = [name.lower() for name, _ in headers]
    for name in single_valued:
        if names.count(name) > 1:
            raise MalformedHead(f"the header {name.decode('latin-1')} comes twice")
