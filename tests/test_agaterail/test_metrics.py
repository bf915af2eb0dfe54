from __future__ import annotations

import ast
import socket
import unittest

from agaterail.metrics import METRICS, MetricKind, StatsdMetrics
from agaterail.util.address import Address
from tests.support import ROOT

SINK_METHODS = {
    "count": MetricKind.COUNTER,
    "gauge": MetricKind.GAUGE,
    "timing": MetricKind.TIMING,
}


class MetricsListTest(unittest.TestCase):
    def test_each_metric_that_is_sent_is_listed_with_its_kind(self):
        listed = {(metric.name, metric.kind) for metric in METRICS}
        sent = set()
        for path in (ROOT / "agaterail").rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if is_sink_call(node):
                    sent.add((name_of(node.args[0]), SINK_METHODS[node.func.attr]))
        self.assertEqual(sent - listed, set(), "list them in METRICS of agaterail/metrics.py")

    def test_names_are_listed_once(self):
        names = [name for metric in METRICS for name in metric.names()]
        self.assertEqual(sorted(names), sorted(set(names)))


class StatsdTest(unittest.TestCase):
    def test_lines_have_the_prefix_and_the_kind(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            sink = StatsdMetrics(Address(*server.getsockname()))
            sink.count("attempts", 2)
            sink.gauge("in_flight", 3)
            sink.timing("request", 4.5)
            lines = [server.recv(1000) for _ in range(3)]
        self.assertEqual(lines[0], b"agaterail.attempts:2|c")
        self.assertEqual(lines[1], b"agaterail.in_flight:3|g")
        self.assertEqual(lines[2], b"agaterail.request:4.500000|ms")


def is_sink_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in SINK_METHODS
        and getattr(node.func.value, "attr", getattr(node.func.value, "id", "")) == "metrics"
    )


def name_of(node):
    if isinstance(node, ast.JoinedStr):
        return "".join(
            "{}" if not isinstance(part, ast.Constant) else part.value for part in node.values
        )
    return node.value
