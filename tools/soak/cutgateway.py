"""A gateway process whose paths to the targets can be cut from outside.

``AGATERAIL_CUT_FILE`` names a file with the kind of the cut; without the file there is none.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import os
import pathlib
import sys
from typing import Any

import gevent

from agaterail.cmd import gateway
from agaterail.gateway.daemon import Daemon
from standins.path_cuts import CutKind, PathCut

CUT_FILE_VARIABLE = "AGATERAIL_CUT_FILE"
POLL_S = 0.05


class CutDaemon(Daemon):
    """Daemon that follows the file of its cut."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.path_cut = PathCut(self)
        self.cut_file = pathlib.Path(os.environ[CUT_FILE_VARIABLE])
        gevent.spawn(self._follow)

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
