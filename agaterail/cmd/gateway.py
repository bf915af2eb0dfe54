"""The ``gateway`` command: run the daemon on the hosts' platform."""

from __future__ import annotations

import gc
import os
import signal
import sys

import gevent
import gevent.event
from returns.result import Success

from agaterail import logs
from agaterail.gateway.daemon import Daemon
from agaterail.gateway.logsink import LogSink
from agaterail.gateway.stopping import Stopper
from agaterail.platform import names
from agaterail.platform.engines import PlatformEngines
from agaterail.platform.settings import read_settings
from agaterail.platform.store import PlatformStore

EXIT_USAGE = 2
STANDARD_OUTPUT = 1

logger = logs.get_logger("main")


def gateway(settings_file: str = "") -> int:
    """Run the gateway until SIGTERM; returns the exit status."""
    path = settings_file or os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"--settings-file ({names.SETTINGS_VARIABLE}): no settings file is named.",
            file=sys.stderr,
        )
        return EXIT_USAGE
    loaded = read_settings(path)
    if not isinstance(loaded, Success):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_USAGE
    chosen = loaded.unwrap()
    logs.configure("info", json_lines=True, stream=LogSink(STANDARD_OUTPUT))
    store = PlatformStore(chosen.store.address, chosen.store.parts)
    try:
        daemon = Daemon(chosen, store, PlatformEngines())
    except OSError as error:
        print(f"{chosen.caller_listen} cannot be bound: {error}", file=sys.stderr)
        return EXIT_USAGE
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGHUP, _on_reload)
    # What the start has made stays for good; the collector need not look at it.
    gc.freeze()
    logger.info("Started.", host=chosen.host, boot=daemon.boot, domain=chosen.domain)
    daemon.start()
    stopping.wait()
    Stopper(daemon).run()
    return 0


def _on_reload() -> None:
    # Addresses and limits of a running process do not change with the file;
    # what operators change comes through the store.
    logger.info("Reload asked for; the settings of a running process stay.")
