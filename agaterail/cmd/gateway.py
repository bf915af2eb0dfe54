"""The ``gateway`` command: run the daemon on the hosts' platform."""

from __future__ import annotations

import gc
import os
import re
import signal
import sys

import gevent
import gevent.event
from returns.result import Success

from agaterail import logs
from agaterail.gateway.daemon import Daemon, boottime_s
from agaterail.gateway.gracefulstop import GracefulStop
from agaterail.gateway.logratelimiter import HostField, LogRateLimiter
from agaterail.gateway.logsink import LogSink
from agaterail.gateway.metrics import start_metrics
from agaterail.gateway.startuptimer import StartupTimer
from agaterail.platform import names
from agaterail.platform.cacheevents import PlatformCacheFeed
from agaterail.platform.engines import PlatformEngines
from agaterail.platform.settings import read_settings
from agaterail.platform.store import PlatformStore
from agaterail.util.address import Address

EXIT_USAGE = 2
METRICS_VARIABLE = "AGATERAIL_METRICS"  # PORT/PATH, as in the deploy file
METRICS_PATTERN = re.compile(r"\d{1,5}/[\w/.-]*")
STDOUT_FD = 1

logger = logs.get_logger("main")


def gateway(
    settings_file: str = "", started_at: float | None = None, initial_cpu_s: float = 0.0
) -> int:
    """Run the gateway until SIGTERM; return the exit status.

    Parameters
    ----------
    started_at
        Boot-clock time at which the process started importing; by default now.
    initial_cpu_s
        CPU time that the process had used by then, in seconds.
    """
    start_time = boottime_s() if started_at is None else started_at
    startup_timer = StartupTimer(start_time, initial_cpu_s, boottime_s)
    path = settings_file or os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"--settings-file ({names.SETTINGS_VARIABLE}): no settings file given.",
            file=sys.stderr,
        )
        return EXIT_USAGE
    metrics = os.environ.get(METRICS_VARIABLE, "")
    if metrics and not METRICS_PATTERN.fullmatch(metrics):
        print(f"{METRICS_VARIABLE}: {metrics!r} is not PORT/PATH.", file=sys.stderr)
        return EXIT_USAGE
    loaded = read_settings(path)
    if not isinstance(loaded, Success):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_USAGE
    settings = loaded.unwrap()
    sink = LogSink(STDOUT_FD)
    logs.configure(
        "info",
        json_lines=True,
        stream=sink,
        processors=[HostField(settings.host), LogRateLimiter(boottime_s)],
    )
    startup_timer.log_stage("Settings read.")
    store = PlatformStore(settings.store.address, settings.store.parts)
    try:
        daemon = Daemon(settings, store, PlatformEngines(), PlatformCacheFeed())
    except OSError as error:
        print(f"{settings.caller_listen} cannot be bound: {error}", file=sys.stderr)
        return EXIT_USAGE
    startup_timer.log_stage("Listening.")
    daemon.log_lines_dropped = lambda: sink.dropped_total
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGHUP, _on_reload)
    # Objects created so far live as long as the process, so exclude them from
    # garbage collection.
    gc.freeze()
    startup_timer.log_stage(
        "Started.", host=settings.host, boot=daemon.boot, domain=settings.domain
    )
    daemon.start()
    gevent.spawn(_log_start, startup_timer, daemon)
    if metrics:
        port, _, path = metrics.partition("/")
        start_metrics(daemon, Address(settings.ip, int(port)), b"/" + path.encode())
    stopping.wait()
    GracefulStop(daemon).run()
    return 0


def _log_start(startup_timer: StartupTimer, daemon: Daemon) -> None:
    startup_timer.await_ready(daemon)
    startup_timer.log_sources()


def _on_reload() -> None:
    # A running process keeps its addresses and limits. Whatever operators change at
    # run time comes through the store.
    logger.info("Ignored SIGHUP because settings are read at startup only.")
