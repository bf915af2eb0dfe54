"""Structured logging with a fixed prefix for each part of the program."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Sequence


def get_logger(part: str) -> Any:
    """Return a logger that adds the part to each line.

    Parameters
    ----------
    part
        Short name of a part of the program, such as ``"tables"``.
    """
    return structlog.get_logger(part=part)


def configure(
    level: str = "info",
    json_lines: bool = False,
    stream: Any | None = None,
    processors: Sequence[Any] = (),
) -> None:
    """Set the level, format and output of this process's log lines.

    Parameters
    ----------
    level
        Name of the lowest level that is written.
    json_lines
        Write one JSON object per line instead of ``key=value`` pairs.
    stream
        File-like object to write to; by default standard error.
    processors
        structlog processors that run before the standard ones.
    """
    renderer: Any = _render_line
    if json_lines:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            *processors,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def _render_line(_logger: Any, _method: str, event: dict[str, Any]) -> str:
    part = event.pop("part", "main")
    message = event.pop("event", "")
    stamp = event.pop("timestamp", "")
    level = event.pop("level", "info")
    exception = event.pop("exception", None)
    pairs = " ".join(f"{key}={_quote(value)}" for key, value in event.items())
    line = f"{stamp} {level} {part}: {message}"
    if pairs:
        line = f"{line} {pairs}"
    if exception:
        line = f"{line}\n{exception}"
    return line


def _quote(value: Any) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    # A line break in a value would allow callers to inject log lines.
    if " " in text or not text.isprintable() or not text:
        return repr(text)
    return text
