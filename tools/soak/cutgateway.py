"""A gateway process whose paths to the targets can be cut from outside.

``AGATERAIL_CUT_FILE`` names a file with the kind of the cut; without the file there is none.
Beside it the process writes when it begins and ends to forward which requests for other
gateways; its log may leave some of them out.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import os
import pathlib
import sys
import time
from typing import Any

import gevent

from agaterail.cmd import gateway
from agaterail.gateway import relayprotocol
from agaterail.gateway.daemon import Daemon
from agaterail.gateway.httpserver import CallerConnection
from agaterail.gateway.inbound import InboundRequest
from agaterail.platform import names
from standins.path_cuts import CutKind, PathCut

CUT_FILE_VARIABLE = "AGATERAIL_CUT_FILE"
FORWARDED_SUFFIX = ".forwarded"
STARTED = "started"
BEGUN, ENDED = "begun", "ended"
POLL_S = 0.05


class CutDaemon(Daemon):
    """Daemon that follows the file of its cut."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.path_cut = PathCut(self)
        self.cut_file = pathlib.Path(os.environ[CUT_FILE_VARIABLE])
        self.forwarded = self.cut_file.with_suffix(FORWARDED_SUFFIX).open("a", buffering=1)
        self.forwarded.write(f"{STARTED}\n")
        handlers = self.feeds.peer_responder.prefix_handlers
        self.handle_relayed = handlers[relayprotocol.REQUEST_PREFIX]
        for prefix in relayprotocol.REQUEST_PREFIXES:
            handlers[prefix] = self._record_and_handle
        gevent.spawn(self._follow)

    def _record_and_handle(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        found = {name.lower(): value for name, value in inbound.headers}
        request_id = found.get(names.REQUEST_ID, b"").decode("latin-1")
        self.forwarded.write(f"{BEGUN} {time.monotonic()} {request_id}\n")
        try:
            self.handle_relayed(inbound, caller)
        finally:
            self.forwarded.write(f"{ENDED} {time.monotonic()} {request_id}\n")

    def _follow(self) -> None:
        while True:
            try:
                text = self.cut_file.read_text(encoding="utf-8")
            except FileNotFoundError:
                text = ""
            kind = CutKind[text] if text in CutKind.__members__ else None
            if kind is None:
                self.path_cut.end()
            elif kind is not self.path_cut.kind:
                self.path_cut.begin(kind)
            gevent.sleep(POLL_S)


if __name__ == "__main__":
    gateway.Daemon = CutDaemon  # type: ignore[misc]
    sys.exit(gateway.gateway())
