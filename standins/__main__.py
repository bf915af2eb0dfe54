"""Run one stand-in as a process: ``python -m standins engine --listen IP:port``."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import signal

import gevent.event

from agaterail.util.address import Address
from standins.base import StandIn
from standins.engine import EngineConfig, EngineStandIn
from standins.hosts import HostsStandIn
from standins.kvstore import KvStoreStandIn
from standins.log import LogStandIn
from standins.service import ServiceStandIn
from standins.weights import WeightsStandIn


def main() -> None:
    """Run until SIGTERM or SIGINT; the first line of output is the address."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument(
        "kind", choices=["engine", "log", "hosts", "kvstore", "weights", "service"]
    )
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--set", action="append", default=[], metavar="NAME=VALUE")
    arguments = parser.parse_args()
    address = Address.parse(arguments.listen)
    stand_in = _make_stand_in(
        arguments.kind, dict(item.split("=", 1) for item in arguments.set)
    )
    print(stand_in.start(address.host, address.port), flush=True)
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    stopping.wait()
    stand_in.stop()


def _make_stand_in(kind: str, properties: dict[str, str]) -> StandIn:
    if kind == "engine":
        return EngineStandIn(_engine_config(properties))
    factories = {
        "log": LogStandIn,
        "hosts": HostsStandIn,
        "kvstore": KvStoreStandIn,
        "weights": WeightsStandIn,
        "service": ServiceStandIn,
    }
    return factories[kind]()


def _engine_config(properties: dict[str, str]) -> EngineConfig:
    defaults = EngineConfig()
    values: dict[str, object] = {}
    for name, text in properties.items():
        kind = type(getattr(defaults, name))
        values[name] = text == "true" if kind is bool else kind(text)
    return EngineConfig(**values)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
