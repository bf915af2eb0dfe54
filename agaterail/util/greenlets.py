"""Set up gevent for the process and run loops that must not end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NoReturn

import gevent
from gevent import config, monkey

if TYPE_CHECKING:
    from collections.abc import Callable


def patch() -> None:
    """Select libev with epoll and monkey-patch the standard library.

    The default event loop may use io_uring, which the hosts do not allow.
    """
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    monkey.patch_all()


def run_forever(
    step: Callable[[], object], logger: Any, event: str, pause_s: float, **fields: object
) -> NoReturn:
    """Run a step in an endless loop; log its exceptions and continue after a pause.

    If the loop ended, the daemon would continue with stale data without any sign of it.
    The step itself waits until its next run is due.

    Parameters
    ----------
    event, fields
        Log line written when the step raises an exception.
    pause_s
        Pause after an exception, in seconds.
    """
    while True:
        try:
            step()
        except Exception:
            logger.exception(event, **fields)
            gevent.sleep(pause_s)
