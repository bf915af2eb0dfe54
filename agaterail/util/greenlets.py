"""Set gevent up for a whole process, and run what must not end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NoReturn

import gevent
from gevent import config, monkey

if TYPE_CHECKING:
    from collections.abc import Callable


def patch() -> None:
    """Use libev on epoll and make the standard library cooperative.

    The loop is named because the default one may use io_uring, which the
    hosts do not allow.
    """
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    monkey.patch_all()


def run_forever(
    step: Callable[[], object], logger: Any, event: str, pause_s: float, **fields: object
) -> NoReturn:
    """Run a step again and again; one that raises is logged, and the next comes later.

    A greenlet that ended would leave the daemon with what it last knew, and no word
    of it. The step itself waits for its next turn.

    Parameters
    ----------
    event, fields
        Log line for a step that raised.
    pause_s
        Seconds until the next step after one that raised.
    """
    while True:
        try:
            step()
        except Exception:
            logger.exception(event, **fields)
            gevent.sleep(pause_s)
