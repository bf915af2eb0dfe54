"""What the other daemons of the fleet tell of the engines."""

from __future__ import annotations

import abc

import attrs


@attrs.frozen(kw_only=True)
class EngineFigures:
    """Load and pace of one engine, by the reports of the other daemons.

    Attributes
    ----------
    streams
        Requests that the other daemons have under way there.
    prefill_tokens
        Prompt tokens of those of them that have no first token yet.
    kv_tokens
        Tokens of memory that those under way need to their end.
    pace
        Time of a decode step relative to the median engine of the service; 1 if unknown.
    silent_daemons
        Other daemons that wait there and have got no byte for longer than is usual.
    silent_domains
        Number of failure domains of these daemons.
    heard_s
        Seconds since any other daemon got a byte from it; infinity if none has.
    age_s
        Age of the figures in seconds.
    """

    streams: float = 0.0
    prefill_tokens: float = 0.0
    kv_tokens: float = 0.0
    pace: float = 1.0
    silent_daemons: int = 0
    silent_domains: int = 0
    heard_s: float = float("inf")
    age_s: float = 0.0


class EngineLoads(abc.ABC):
    """Figures of the engines as this daemon knows them."""

    @abc.abstractmethod
    def figures(self, instance: str) -> EngineFigures | None:
        """Return the figures of an engine; None if there are none that are fresh."""


class NoEngineLoads(EngineLoads):
    """No figures: each daemon decides by what it sees itself."""

    def figures(self, instance: str) -> EngineFigures | None:  # noqa: ARG002
        """Return None."""
        return None
