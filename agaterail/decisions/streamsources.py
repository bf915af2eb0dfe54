"""Which engines may go on with a stream that has begun."""

from __future__ import annotations

import attrs


@attrs.frozen
class StreamSource:
    """Where the events of a stream come from.

    Builds write events that do not fit together, so only engines of the same service and
    build may go on with the stream.

    Attributes
    ----------
    build
        Id of the build; empty if it is not known, so that no engine may go on.
    """

    service: str
    build: str

    @property
    def is_known(self) -> bool:
        """Return whether an engine may go on with the stream."""
        return bool(self.build)
