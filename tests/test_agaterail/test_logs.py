from __future__ import annotations

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import structlog

from agaterail import logs
from standins.engine import EngineConfig, EngineStandIn
from standins.log import LogStandIn
from standins.service import ServiceStandIn
from tests.support import (
    API_KEY,
    MODEL,
    ROOT,
    append_edit,
    chat_route,
    edit,
    engine_pool,
    free_port,
    put,
    service_pool,
    service_route,
    status_of,
    wait_until,
)

FAST = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0)
PRIVATE = "Ramlogan"
START_SECONDS = 20.0


class LogFormatTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logs.configure, "error")

    def written(self, json_lines, target="10.0.0.1:80"):
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            logs.configure("info", json_lines)
            structlog.get_logger(part="choose").info("Chose target.", target=target)
        return out.getvalue()

    def test_key_value_lines_start_with_the_part(self):
        self.assertIn(" info choose: Chose target. target=10.0.0.1:80\n", self.written(False))

    def test_json_lines_are_one_object_each(self):
        fields = json.loads(self.written(True))
        self.assertEqual((fields["part"], fields["target"]), ("choose", "10.0.0.1:80"))

    def test_a_line_break_in_a_value_cannot_start_a_new_line(self):
        for json_lines in (False, True):
            text = self.written(json_lines, target="x\n2026-01-01 info main: All well.")
            self.assertEqual(text.count("\n"), 1)


class NothingPrivateTest(unittest.TestCase):
    def setUp(self):
        self.engine, self.service, self.log = (
            EngineStandIn(FAST),
            ServiceStandIn(),
            LogStandIn(),
        )
        self.log_address = self.log.start()
        change = edit(
            "e0",
            put(engine_pool([self.engine.start()])),
            put(chat_route()),
            put(service_pool([self.service.start()])),
            put(service_route(at_most_once_methods=())),
        )
        append_edit(self.log_address, change)

    def tearDown(self):
        for stand_in in (self.engine, self.service, self.log):
            stand_in.stop()

    def test_no_prompt_text_and_no_key_gets_into_the_logs(self):
        # Requests succeed, fail at the target, are malformed or are refused. Some error
        # messages quote their input. Many people read the logs, so no line may contain
        # the prompt or the caller's API key.
        listen, peer = (f"127.0.0.1:{free_port()}" for _ in range(2))
        command = [sys.executable, "-m", "agaterail", "serve", "--log-level", "debug"]
        command += ["--listen", listen, "--peer-listen", peer, "--drain-lag-s", "0"]
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        with (folder / "lines").open("wb") as lines:
            daemon = subprocess.Popen(
                [*command, "--log-service", self.log_address], cwd=ROOT, stderr=lines
            )
            self.addCleanup(daemon.kill)
            wait_until(lambda: status_of(listen, "GET", "/readyz") == 200, START_SECONDS)
            self.send_all(listen)
            daemon.terminate()
            daemon.wait(START_SECONDS)
        text = (folder / "lines").read_text(encoding="utf-8")
        self.assertIn("choose: Chose target.", text)
        self.assertIn("relay: Stream failed.", text)
        self.assertNotIn(PRIVATE, text)
        self.assertNotIn(API_KEY, text)

    def send_all(self, listen):
        fields = {"model": MODEL, "messages": [{"role": "user", "content": PRIVATE}]}
        whole = json.dumps(fields).encode()
        stream = json.dumps({**fields, "stream": True}).encode()
        path = "/v1/chat/completions"
        key = {"authorization": f"Bearer {API_KEY}"}
        wrong = {"authorization": f"Bearer {API_KEY}-{PRIVATE}"}
        for body, headers in ((whole, key), (stream, key), (whole[:-2], key), (whole, wrong)):
            status_of(listen, "POST", path, body, headers)
        self.engine.faults.skip_frame = 1
        self.engine.faults.no_resume = True
        status_of(listen, "POST", path, stream, key)
        self.engine.faults.crossed = 1
        status_of(listen, "POST", path, whole, key)
        status_of(listen, "POST", "/booking/swap", PRIVATE.encode(), key)
        status_of(listen, "GET", f"/{PRIVATE}?{PRIVATE}", b"", key)
        status_of(listen, f"{PRIVATE} {API_KEY}", path)
