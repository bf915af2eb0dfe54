"""Follow the platform's host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller
from agaterail.controllers.drain import DrainNotice
from agaterail.events import MembersChanged
from agaterail.hostlists import Host, HostRole, HostState

if TYPE_CHECKING:
    from agaterail.application import Application

NOTICE_S = 30.0

logger = logs.get_logger("hosts")


class HostsController(Controller):
    """Keeps the members and marks leaving targets."""

    name = "hosts"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.members: tuple[str, ...] = ()
        self.drained_until: dict[str, float] = {}
        app.peers.handle(DrainNotice, self._on_notice)

    def reconcile(self) -> None:
        """Fetch the list; a failed fetch keeps what was known."""
        if self.app.host_list is None:
            return
        fetched = self.app.host_list.fetch()
        if not isinstance(fetched, Success):
            return
        hosts = fetched.unwrap()
        self._update_members(hosts)
        leaving = {host.address for host in hosts if host.state is HostState.LEAVING}
        for address in self.app.targets.set_leaving(leaving):
            logger.info("Target is leaving.", target=address, source="host_list")

    def status(self) -> dict[str, Any]:
        """Return the live routers."""
        return {"members": list(self.members)}

    def _on_notice(self, sender: str, _notice: DrainNotice) -> None:
        # The list lags: until it says so too, the peer would go on to own
        # partitions and engines that it no longer serves.
        self.drained_until[sender] = self.app.timers.now() + NOTICE_S
        self._set_members(tuple(item for item in self.members if item != sender))

    def _update_members(self, hosts: tuple[Host, ...]) -> None:
        now = self.app.timers.now()
        told = self.drained_until.items()
        self.drained_until = {address: until for address, until in told if until > now}
        live = (
            host.address
            for host in hosts
            if host.role is HostRole.ROUTER and host.state is HostState.LIVE
        )
        members = sorted(item for item in live if item not in self.drained_until)
        self._set_members(tuple(members))

    def _set_members(self, members: tuple[str, ...]) -> None:
        if members != self.members:
            self.members = members
            logger.info("Members changed.", count=len(members))
            self.app.events.publish(MembersChanged(members))


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(HostsController(app))
