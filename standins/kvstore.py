"""Stand-in for the KV cache store; it stores block keys but no tensors."""

from __future__ import annotations

import collections

import attrs
import gevent

from standins.base import Answer, Call, StandIn, json_answer


@attrs.define
class StoreFaults:
    """Faults that can be configured at run time."""

    down: bool = False
    ms_per_block: float = 5.0


class KvStoreStandIn(StandIn):
    """Bounded store of block keys that evicts the least recently written one first."""

    def __init__(self, capacity_blocks: int = 100_000) -> None:
        super().__init__(StoreFaults())
        self.faults: StoreFaults
        self.capacity_blocks = capacity_blocks
        self.keys: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.paths["/blocks/put"] = self._put
        self.paths["/blocks/get"] = self._get
        self.paths["/blocks/has"] = self._has

    def _put(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        gevent.sleep(len(call.json()["keys"]) * self.faults.ms_per_block / 1e3)
        for key in call.json()["keys"]:
            self.keys[key] = None
            self.keys.move_to_end(key)
            if len(self.keys) > self.capacity_blocks:
                self.keys.popitem(last=False)
        return json_answer({})

    def _get(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        found = _held_prefix(call.json()["keys"], self.keys)
        gevent.sleep(len(found) * self.faults.ms_per_block / 1e3)
        return json_answer({"keys": found})

    def _has(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        return json_answer({"blocks": len(_held_prefix(call.json()["keys"], self.keys))})


def _held_prefix(keys: list[str], held: collections.OrderedDict[str, None]) -> list[str]:
    found: list[str] = []
    for key in keys:
        if key not in held:
            break
        found.append(key)
    return found
