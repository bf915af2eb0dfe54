from __future__ import annotations

import unittest

from agaterail.gateway.desired import (
    CallerLimits,
    DesiredState,
    RequestKind,
    Route,
    ServiceShare,
    Workspace,
    pick_service,
)


def make_route(name="r", prefix=b"/a/", host="h.example", shares=(("s", 1.0),), **fields):
    fields.setdefault("kind", RequestKind.SAFE)
    fields.setdefault("timeout_s", 1.0)
    fields.setdefault("objective_s", 0.2)
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        shares=tuple(ServiceShare(*share) for share in shares),
        **fields,
    )


def make_desired(*routes, workspaces=(), version=1):
    return DesiredState(
        version=version,
        routes=tuple(routes),
        services={},
        kv_stores=(),
        workspaces=tuple(workspaces),
        limits=CallerLimits(),
    )


class DesiredStateTest(unittest.TestCase):
    def test_longest_prefix_of_host_wins(self):
        short, long = make_route("short", b"/a/"), make_route("long", b"/a/b/")
        other = make_route("other", b"/a/b/c/", host="o.example")
        desired = make_desired(short, long, other)
        self.assertIs(desired.match("h.example", b"/a/b/c/d"), long)
        self.assertIs(desired.match("h.example", b"/a/x"), short)
        self.assertIsNone(desired.match("h.example", b"/b/"))
        self.assertIsNone(desired.match("unknown.example", b"/a/"))

    def test_a_prefix_matches_whole_segments_only(self):
        desired = make_desired(make_route(prefix=b"/a/"))
        self.assertIsNone(desired.match("h.example", b"/ab/"))

    def test_each_key_maps_to_its_workspace(self):
        workspace = Workspace(name="w", api_keys=("k1", "k2"))
        desired = make_desired(workspaces=[workspace])
        self.assertIs(desired.workspace_by_key["k2"], workspace)

    def test_traffic_split_follows_weights(self):
        route = make_route(shares=(("a", 90.0), ("b", 10.0)))
        picked = [pick_service(route, number / 100) for number in range(100)]
        self.assertEqual(picked.count("a"), 90)
        self.assertEqual(picked.count("b"), 10)

    def test_zero_weight_share_gets_no_requests(self):
        route = make_route(shares=(("a", 0.0), ("b", 10.0)))
        self.assertEqual({pick_service(route, n / 10) for n in range(10)}, {"b"})

    def test_a_stream_may_be_repeated_only_if_it_can_be_resumed(self):
        self.assertFalse(make_route(kind=RequestKind.STREAM).idempotent)
        self.assertTrue(make_route(kind=RequestKind.STREAM, resumable=True).idempotent)
        self.assertFalse(make_route(kind=RequestKind.UNSAFE).idempotent)
