"""Send the gauges of this daemon periodically."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.controllers import Controller
from agaterail.events import MembersChanged

if TYPE_CHECKING:
    from agaterail.application import Application

PERIOD_S = 10.0


class GaugesController(Controller):
    """Reads gauge values from the application; stores only the member count."""

    name = "gauges"
    period_s = PERIOD_S

    def __init__(self, app: Application) -> None:
        self.app = app
        self.members = 0
        app.events.subscribe(MembersChanged, self._on_members)

    def reconcile(self) -> None:
        """Send the current value of each gauge."""
        metrics, peers = self.app.metrics, self.app.peers
        metrics.gauge("in_flight", self.app.in_flight)
        metrics.gauge("ready", int(self.app.ready))
        metrics.gauge("members", self.members)
        metrics.gauge("peers.messages", peers.sent_messages)
        metrics.gauge("peers.bytes", peers.sent_bytes)
        if self.app.tables.through >= 0:  # statsd reads a negative value as a delta
            metrics.gauge("tables.through", self.app.tables.through)

    def _on_members(self, event: MembersChanged) -> None:
        self.members = len(event.members)


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(GaugesController(app))
