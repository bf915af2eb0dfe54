"""Set gevent up for a whole process."""

from __future__ import annotations

from gevent import config, monkey


def patch() -> None:
    """Use libev on epoll and make the standard library cooperative.

    The loop is named because the default one may use io_uring, which the
    hosts do not allow.
    """
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    monkey.patch_all()
