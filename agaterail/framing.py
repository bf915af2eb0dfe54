"""Strict validation of request framing, in addition to the server's lenient parser."""

from __future__ import annotations

from typing import Any

import httptools


class FramingError(ValueError):
    """The framing of a request is malformed or ambiguous."""


class FramingCheck:
    """Runs llhttp on the same bytes that the server reads.

    The server's own parser accepts a content length together with chunked encoding, two
    lengths, ``+3`` as a length, a space before the colon and bare line feeds. A target
    or proxy that interprets such bytes differently sees another request in them, which
    allows request smuggling. llhttp rejects all of these.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Validate the next bytes of the request.

        Raises
        ------
        FramingError
            If the framing is malformed or ambiguous.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise FramingError(str(error)) from error


class CheckedFile:
    """File wrapper that validates the bytes of a chunked body as they are read."""

    def __init__(self, file: Any, check: FramingCheck) -> None:
        self.file = file
        self.check = check

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes; raises ``OSError`` if their framing is invalid."""
        return self._checked(self.file.read(size))

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; raises ``OSError`` if its framing is invalid."""
        return self._checked(self.file.readline(size))

    def _checked(self, data: bytes) -> bytes:
        try:
            self.check.feed(data)
        except FramingError as error:
            # The server handles this like any body that cannot be read to its end.
            raise OSError(str(error)) from error
        return data
