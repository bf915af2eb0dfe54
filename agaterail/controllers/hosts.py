"""Follow the platform's host list and track live daemons and leaving targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller
from agaterail.events import MembersChanged, ShutdownStarted, TargetLeaving
from agaterail.hostlists import Host, HostRole, HostState
from agaterail.members import CALL_WEIGHT, QUERY_WEIGHT
from agaterail.peers import peer_message

if TYPE_CHECKING:
    from agaterail.application import Application

logger = logs.get_logger("hosts")


@peer_message
@attrs.frozen
class Draining:
    """Announces that the sender accepts no new work."""


class HostsController(Controller):
    """Publishes changes of the live daemons and marks leaving targets."""

    name = "hosts"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.members: tuple[str, ...] = ()
        app.peers.on_message_received = self._on_message_received
        app.peers.on_unanswered = self._on_unanswered
        app.peers.handle(Draining, self._on_draining)
        app.events.subscribe(ShutdownStarted, self._on_shutdown)

    def reconcile(self) -> None:
        """Fetch the host list; a failed fetch keeps the previous one."""
        if self.app.host_list is not None:
            fetched = self.app.host_list.fetch()
            if isinstance(fetched, Success):
                self._on_hosts(fetched.unwrap())
        self._update_members()

    def status(self) -> dict[str, Any]:
        """Return the addresses of the live daemons."""
        return {"members": list(self.members)}

    def _on_hosts(self, hosts: tuple[Host, ...]) -> None:
        daemons = [
            host.address
            for host in hosts
            if host.role is HostRole.ROUTER and host.state is HostState.LIVE
        ]
        self.app.members.on_list(daemons)
        leaving = {host.address for host in hosts if host.state is HostState.LEAVING}
        for address in self.app.targets.set_leaving(leaving):
            logger.info("Target is leaving.", target=address, source="host_list")
            self.app.events.publish(TargetLeaving(address, "host_list"))

    def _update_members(self) -> None:
        members = self.app.members.live(self.app.timers.now())
        if members == self.members:
            return
        gone = sorted(set(self.members) - set(members))
        self.members = members
        logger.info("Members changed.", count=len(members), gone=gone)
        self.app.events.publish(MembersChanged(members))

    def _on_message_received(self, address: str) -> None:
        self.app.members.on_message_received(address)

    def _on_unanswered(self, address: str, is_call: bool) -> None:
        weight = CALL_WEIGHT if is_call else QUERY_WEIGHT
        self.app.members.on_unanswered(address, weight, self.app.timers.now())

    def _on_draining(self, sender: str, _message: Draining) -> None:
        self.app.members.on_drain(sender, self.app.timers.now())
        self._update_members()

    def _on_shutdown(self, _event: ShutdownStarted) -> None:
        # Only daemons that recently sent work here need to know before the host
        # list shows it. Notifying all would cost one message per daemon.
        self.app.members.leaving = True
        for address in list(self.app.members.contacts):
            self.app.peers.notify(address, Draining())
        self._update_members()


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(HostsController(app))
