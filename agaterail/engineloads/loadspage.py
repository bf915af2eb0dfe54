"""Page for operators with the figures of each engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agaterail.engineloads.view import FleetEngineLoads

HEADER = (
    "service engine streams prefill_tokens kv_tokens pace silent_daemons silent_domains"
    " heard_s age_s fraction from"
)


def render(loads: FleetEngineLoads) -> bytes:
    """Return a line for each engine of which there are fresh figures."""
    lines = [HEADER]
    for view, instance, item in loads.known():
        load = f"{item.streams:.1f} {item.prefill_tokens:.0f} {item.kv_tokens:.0f}"
        silence = f"{item.silent_daemons} {item.silent_domains} {item.heard_s:.3f}"
        source = f"{item.age_s:.3f} {view.answer.fraction:.2f} {view.source}"
        lines.append(f"{view.service} {instance} {load} {item.pace:.2f} {silence} {source}")
    return ("\n".join(lines) + "\n").encode()
