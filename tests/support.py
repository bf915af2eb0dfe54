"""Fakes, builders and helpers shared by several tests."""

from __future__ import annotations

import json
import os
import pathlib
import socket
import subprocess
import sys
import time

import gevent

from agaterail import codec
from agaterail.application import Application
from agaterail.engines import LoadReport
from agaterail.filters.identify import digest_of
from agaterail.logstore.http import HttpLogStore
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, Action, Change, Edit, TablesRecord
from agaterail.server import make_server
from agaterail.settings import Settings
from agaterail.tables import NO_VERSION, Pool, PoolKind, Route, TableName, TargetEntry
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections

ROOT = pathlib.Path(__file__).resolve().parent.parent
API_KEY = "test-key"
MODEL = "atlas"


def engine_pool(addresses=("127.0.0.1:1",), name="assistant", **fields):
    targets = tuple(TargetEntry(address=address, domain="a") for address in addresses)
    defaults = {"model": MODEL, "weights_version": "v1", "block_tokens": 10}
    return Pool(name=name, kind=PoolKind.ENGINE, targets=targets, **{**defaults, **fields})


def service_pool(addresses=("127.0.0.1:2",), name="booking"):
    targets = tuple(TargetEntry(address=address, domain="a") for address in addresses)
    return Pool(name=name, kind=PoolKind.SERVICE, targets=targets)


def chat_route(name="chat", pool="assistant", **fields):
    defaults = {"workspace": "ws", "callers": (digest_of(API_KEY),), "models": (MODEL,)}
    return Route(name=name, pool=pool, **{**defaults, **fields})


def service_route(name="booking", pool="booking", **fields):
    defaults = {
        "workspace": "ws",
        "callers": (digest_of(API_KEY),),
        "path_prefix": "/booking",
        "at_most_once_methods": ("POST",),
    }
    return Route(name=name, pool=pool, **{**defaults, **fields})


def put(row, expected_version=NO_VERSION):
    is_route = isinstance(row, Route)
    return Change(
        table=TableName.ROUTES if is_route else TableName.POOLS,
        name=row.name,
        action=Action.PUT,
        expected_version=expected_version,
        route=row if is_route else None,
        pool=None if is_route else row,
    )


def delete(table, name, expected_version):
    return Change(
        table=table, name=name, action=Action.DELETE, expected_version=expected_version
    )


def edit(edit_id, *changes, author="tester"):
    return Edit(edit_id=edit_id, author=author, changes=changes)


class LocalDaemon:
    """An application and its server in this process, on a port chosen by the kernel."""

    def __init__(self, log_store=None, start_controllers=True, peers=None, **settings):
        self.app = Application(
            Settings(**settings), log_store=log_store or MemoryLogStore(), peers=peers
        )
        self.server = make_server(self.app, Address("127.0.0.1", 0))
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.connections = HttpConnections(Address.parse(self.address))
        if start_controllers:
            self.app.start()

    def stop(self):
        self.app.stop()
        self.server.stop(timeout=0)

    def chat(self, content="hello", stream=False, max_tokens=4, headers=None, **fields):
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "stream": stream,
            "max_tokens": max_tokens,
            **fields,
        }
        return self.post("/v1/chat/completions", json.dumps(body).encode(), headers)

    def post(self, path, body=b"", headers=None):
        all_headers = {"authorization": f"Bearer {API_KEY}", **(headers or {})}
        response = self.connections.send("POST", path, body, all_headers).unwrap()
        return response, response.read()


def append_edit(log_address, change):
    """Append an edit to a log service over HTTP."""
    log = HttpLogStore(Address.parse(log_address))
    log.append(TABLES_STREAM, codec.encode(change, TablesRecord)).unwrap()


def status_of(address, method, path, body=b"", headers=None):
    """Send one request and return the status code, or 0 without an answer."""
    connections = HttpConnections(Address.parse(address))
    return connections.call(method, path, body, headers).value_or((0, b""))[0]


def wait_until(condition, seconds=5.0):
    """Wait until greenlets make a condition true; the timeout only ends a hang."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition was not met")
        gevent.sleep(0.005)


def run_command(*arguments, environment=None):
    """Run the ``agaterail`` command as a process and return its result."""
    return subprocess.run(
        [sys.executable, "-m", "agaterail", *arguments],
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def free_port():
    """Return a free port chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def load_report(**fields):
    defaults = {
        "incarnation": "a",
        "weights_version": "v1",
        "model": MODEL,
        "running": 0,
        "waiting": 0,
        "waiting_prefill_tokens": 0,
        "accepted": 0,
        "cached_blocks": 0,
        "capacity_blocks": 100,
        "prefill_ms_per_token": 1.0,
        "decode_ms_per_token": 10.0,
        "age_ms": 0.0,
    }
    return LoadReport(**{**defaults, **fields})
