from __future__ import annotations

import pathlib
import subprocess
import tempfile
import unittest

from standins.engine import EngineConfig, EngineStandIn
from standins.log import LogStandIn
from tests.support import (
    API_KEY,
    MODEL,
    append_edit,
    chat_route,
    edit,
    engine_pool,
    free_port,
    put,
    status_of,
    wait_until,
)
from tools.build_binary import build_cached, runtime_packages

FAST_ENGINE = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0)
BODY = b'{"model": "%s", "messages": [{"role": "user", "content": "hello"}]}'
START_TIMEOUT_S = 20.0


class BinaryTest(unittest.TestCase):
    def setUp(self):
        self.engine, self.log = EngineStandIn(FAST_ENGINE), LogStandIn()
        change = edit("e0", put(engine_pool([self.engine.start()])), put(chat_route()))
        self.log_address = self.log.start()
        append_edit(self.log_address, change)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.binary = build_cached()

    def tearDown(self):
        self.engine.stop()
        self.log.stop()

    def test_serves_as_one_process_without_environment_or_files(self):
        # Hosts have no disk, and a process must not start another one. A packer
        # that unpacks itself or runs the program as a child process would leave
        # files, show a second process, or fail to start here.
        listen, peer = (f"127.0.0.1:{free_port()}" for _ in range(2))
        flags = ["--listen", listen, "--peer-listen", peer, "--drain-lag-s", "0"]
        command = [self.binary, "serve", "--log-service", self.log_address, *flags]
        daemon = subprocess.Popen(command, cwd=self.folder, env={}, stderr=subprocess.DEVNULL)
        self.addCleanup(daemon.kill)
        wait_until(lambda: status_of(listen, "GET", "/readyz") == 200, START_TIMEOUT_S)
        key = {"authorization": f"Bearer {API_KEY}"}
        body = BODY % MODEL.encode()
        self.assertEqual(status_of(listen, "POST", "/v1/chat/completions", body, key), 200)
        self.assertEqual(children_of(daemon.pid), [])
        self.assertEqual(list(pathlib.Path(self.folder).iterdir()), [])
        status = subprocess.run(
            [self.binary, "status", "--peer", peer],
            env={},
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
            check=False,
        )
        self.assertIn("ready: yes\n", status.stdout)
        daemon.terminate()
        self.assertEqual(daemon.wait(START_TIMEOUT_S), 0)

    def test_contains_only_runtime_packages(self):
        packages = runtime_packages()
        self.assertIn("gevent", packages)
        for name in ("openai", "mypy", "shiv", "cryptography", "hypothesis"):
            self.assertNotIn(name, packages)


def children_of(pid):
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return [child for task in tasks for child in (task / "children").read_text().split()]
