"""Strict check of where requests begin and end, beside a more lenient server."""

from __future__ import annotations

from typing import Any

import httptools


class FramingError(ValueError):
    """The bytes leave open where the request or a part of it ends."""


class FramingCheck:
    """llhttp on the same bytes that the server reads.

    The server's own parser takes a length beside chunks, two lengths, ``+3`` as a
    length, a space before the colon and bare line feeds. A target or a proxy that
    reads such bytes otherwise sees another request in them, which a caller can
    smuggle in so; llhttp refuses all of them.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Take in the next bytes of the request.

        Raises
        ------
        FramingError
            If they are not clear.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise FramingError(str(error)) from error


class CheckedFile:
    """File of a chunked body whose bytes are checked as they are read."""

    def __init__(self, file: Any, check: FramingCheck) -> None:
        self.file = file
        self.check = check

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes; raises ``OSError`` if they are not clear."""
        return self._checked(self.file.read(size))

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; raises ``OSError`` if it is not clear."""
        return self._checked(self.file.readline(size))

    def _checked(self, data: bytes) -> bytes:
        try:
            self.check.feed(data)
        except FramingError as error:
            # As any body that cannot be read to its end.
            raise OSError(str(error)) from error
        return data
