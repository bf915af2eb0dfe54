"""The ``serve`` command: run the daemon."""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING

import attrs
from returns.result import Success

from agaterail import logs, settings, settings_rules

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agaterail.peers import Peers
    from agaterail.settings import Settings

EXIT_USAGE = 2


def serve(flags: Mapping[str, str], print_only: bool = False) -> int:
    """Run the daemon until it has drained; return the exit status."""
    loaded = settings_rules.load(flags, os.environ)
    if not isinstance(loaded, Success):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    for name in settings.unknown_variables(os.environ):
        print(f"Warning: {name} is not a setting.", file=sys.stderr)
    chosen = loaded.unwrap()
    if print_only:
        _print_settings(chosen)
        return 0
    logs.configure(chosen.log_level, chosen.log_json)
    return _run(chosen)


def _report_problem(name: str, reason: str) -> int:
    print(settings.SettingsProblem.of(name, reason), file=sys.stderr)
    return EXIT_USAGE


def _print_settings(chosen: Settings) -> None:
    for field in attrs.fields(type(chosen)):
        value = getattr(chosen, field.name)
        if field.name == "peer_secret" and value:
            value = "(set)"
        print(f"{chosen.flag_of(field.name)} ({chosen.variable_of(field.name)}): {value}")


def _make_peers(chosen: Settings) -> Peers:
    from agaterail.peers import Peers
    from agaterail.peers.datagram import DatagramTransport
    from agaterail.peers.grpc import GrpcTransport

    return Peers(
        str(chosen.peer_listen),
        GrpcTransport(chosen.peer_listen, chosen),
        DatagramTransport(chosen.peer_listen),
        chosen.peer_secret,
    )


def _run(chosen: Settings) -> int:
    import gevent.event

    from agaterail.application import Application
    from agaterail.controllers.drain import DrainController
    from agaterail.server import make_server

    app = Application(chosen, peers=_make_peers(chosen))
    try:
        server = make_server(app, chosen.listen)
    except OSError as error:
        return _report_problem("listen", f"{chosen.listen} cannot be bound: {error.strerror}")
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    try:
        app.start()
    except OSError as error:
        return _report_problem("peer_listen", f"{chosen.peer_listen} cannot be bound: {error}")
    server.start()
    stopping.wait()
    drain = app.controllers[DrainController.name]
    assert isinstance(drain, DrainController)
    drain.close_callbacks.append(server.stop_accepting)
    drain.begin()
    drain.done.wait()
    app.stop()
    server.stop(timeout=1)
    return 0
