"""Answers to the reports of engine loads."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.engineloads import EngineLoadLedger
from agaterail.decisions.enginepaces import PaceEstimator
from agaterail.engineloads import scales
from agaterail.engineloads.messages import TAG_BYTES, LoadAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.decisions.engineloads import EngineTotals
    from agaterail.engineloads.messages import LoadQuestion

# Reports arrive every few milliseconds in a large fleet; sums are kept for this long.
SUMS_VALID_S = 0.05
# Engines come and go within seconds.
LIST_VALID_S = 0.2
# Paces change within seconds, and reports expire after some periods.
PACES_VALID_S = 0.5
MAX_SERVICES = 64


@attrs.define
class _Codes:
    """Codes of the figures of all engines.

    Attributes
    ----------
    at
        Time for which they hold.
    age_s
        Mean age of the reports at that time.
    silent
        Numbers of daemons and of failure domains to which an engine is silent, by index.
    """

    at: float = float("-inf")
    age_s: float = 0.0
    streams: bytearray = attrs.field(factory=bytearray)
    prefill_tokens: bytearray = attrs.field(factory=bytearray)
    kv_tokens: bytearray = attrs.field(factory=bytearray)
    heard: bytearray = attrs.field(factory=bytearray)
    silent: dict[int, tuple[int, int]] = attrs.field(factory=dict)

    @classmethod
    def of_count(cls, count: int) -> _Codes:
        """Return the codes before any report for a number of engines."""
        unknown = bytearray([scales.UNKNOWN_CODE])
        arrays = (bytearray(count), bytearray(count), bytearray(count), unknown * count)
        return cls(float("-inf"), 0.0, *arrays)

    def copy(self) -> _Codes:
        """Return a copy that can be changed."""
        return _Codes(
            self.at,
            self.age_s,
            self.streams[:],
            self.prefill_tokens[:],
            self.kv_tokens[:],
            self.heard[:],
            dict(self.silent),
        )

    def set(self, index: int, totals: EngineTotals) -> None:
        """Set the sums for one engine."""
        self.streams[index] = scales.STREAMS.encode(totals.streams)
        self.prefill_tokens[index] = scales.TOKENS.encode(totals.prefill_tokens)
        self.kv_tokens[index] = scales.TOKENS.encode(totals.kv_tokens)
        if totals.silent_daemons:
            self.silent[index] = (totals.silent_daemons, totals.silent_domains)
        else:
            self.silent.pop(index, None)


class ServiceGatherer:
    """Gathers the reports on the engines of one service.

    Attributes
    ----------
    engines
        Ids and starts of the engines, sorted.
    listed_at
        Time at which they were last read from the registry.
    tag
        Short hash of these, by which a daemon says which list it knows.
    """

    def __init__(self) -> None:
        self.ledger = EngineLoadLedger(PaceEstimator())
        self.engines: tuple[tuple[str, int], ...] = ()
        self.listed_at = float("-inf")
        self.indexes: dict[str, int] = {}
        self.tag = b""
        self.codes = _Codes()
        self.paces = b""
        self.paced_at = float("-inf")

    def set_engines(self, engines: tuple[tuple[str, int], ...], now: float) -> None:
        """Set the engines that are registered, sorted."""
        self.listed_at = now
        if engines == self.engines:
            return
        self.engines = engines
        self.indexes = {instance: index for index, (instance, _) in enumerate(engines)}
        self.tag = blake2b(repr(engines).encode(), digest_size=TAG_BYTES).digest()
        self.ledger.set_engines(engines)
        self._reset()

    def drop(self, now: float) -> None:
        """Drop all reports."""
        self.ledger.drop(now)
        self._reset()

    def answer(self, asker: str, known_tag: bytes, daemons: float, now: float) -> LoadAnswer:
        """Return the figures by the reports of all daemons but the asker.

        Parameters
        ----------
        known_tag
            Tag of the list of engines that the asker knows.
        daemons
            Number of daemons in the fleet.
        """
        self._update(now)
        codes = self.codes.copy()
        for instance in self.ledger.engines_of(asker):
            index, totals = self.indexes[instance], self.ledger.totals(instance, asker)
            codes.set(index, totals)
            codes.heard[index] = scales.HEARD_S.encode(codes.at - totals.heard_at)
        return LoadAnswer(
            tag=self.tag,
            engines=None if known_tag == self.tag else self.engines,
            streams=bytes(codes.streams),
            prefill_tokens=bytes(codes.prefill_tokens),
            kv_tokens=bytes(codes.kv_tokens),
            heard=bytes(codes.heard),
            paces=self.paces,
            silent=tuple((index, *counts) for index, counts in codes.silent.items()),
            age_s=codes.age_s + now - codes.at,
            fraction=self.ledger.fraction(asker, daemons),
        )

    def _reset(self) -> None:
        self.codes = _Codes.of_count(len(self.engines))
        self.paced_at = float("-inf")

    def _update(self, now: float) -> None:
        if now - self.paced_at > PACES_VALID_S:
            self.paced_at = now
            self.ledger.expire(now)
            pace = self.ledger.pace
            self.paces = bytes(
                scales.PACE.encode(pace(instance, now)) for instance, _ in self.engines
            )
        if now - self.codes.at > SUMS_VALID_S:
            self._update_codes(now)

    def _update_codes(self, now: float) -> None:
        """Encode the sums that have changed, and all times."""
        codes, ledger = self.codes, self.ledger
        codes.at, codes.age_s = now, ledger.age_s(now)
        for instance in ledger.changed:
            codes.set(self.indexes[instance], ledger.totals(instance))
        ledger.changed.clear()
        encode = scales.HEARD_S.encode
        codes.heard[:] = bytes(
            encode(now - ledger.sums[instance].heard.at) for instance, _ in self.engines
        )


class Gatherer:
    """Gathers the reports on the engines of all services that ask this daemon.

    Parameters
    ----------
    engines_of
        Returns the ids and starts of a service's engines, sorted.
    daemons
        Returns the number of daemons in the fleet.
    now
        Returns the time.
    """

    def __init__(
        self,
        engines_of: Callable[[str], tuple[tuple[str, int], ...]],
        daemons: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self.engines_of = engines_of
        self.daemons = daemons
        self.now = now
        self.services: dict[str, ServiceGatherer] = {}

    def answer(self, question: LoadQuestion) -> LoadAnswer | None:
        """Record a daemon's report and answer it; None if there is nothing to answer."""
        now = self.now()
        gatherer = self._of_service(question.service, now)
        if gatherer is None or not gatherer.ledger.record(question.report, now):
            return None
        return gatherer.answer(question.report.daemon, question.tag, self.daemons(), now)

    def drop(self, now: float) -> None:
        """Drop all reports, as this host was suspended."""
        for gatherer in self.services.values():
            gatherer.drop(now)

    def _of_service(self, service: str, now: float) -> ServiceGatherer | None:
        """Return the gatherer of a service that has engines."""
        found = self.services.get(service)
        if found is not None and now - found.listed_at <= LIST_VALID_S:
            return found
        engines = self.engines_of(service)
        if not engines:
            self.services.pop(service, None)
            return None
        if found is None:
            if len(self.services) >= MAX_SERVICES:
                return None
            found = self.services[service] = ServiceGatherer()
        found.set_engines(engines, now)
        return found
