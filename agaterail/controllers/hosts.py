"""Follow the platform's host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller
from agaterail.events import MembersChanged
from agaterail.hostlists import Host, HostRole, HostState

if TYPE_CHECKING:
    from agaterail.application import Application

logger = logs.get_logger("hosts")


class HostsController(Controller):
    """Keeps the members and marks leaving targets."""

    name = "hosts"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.members: tuple[str, ...] = ()

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

    def _update_members(self, hosts: tuple[Host, ...]) -> None:
        members = tuple(
            sorted(
                host.address
                for host in hosts
                if host.role is HostRole.ROUTER and host.state is HostState.LIVE
            )
        )
        if members != self.members:
            self.members = members
            logger.info("Members changed.", count=len(members))
            self.app.events.publish(MembersChanged(members))


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(HostsController(app))
