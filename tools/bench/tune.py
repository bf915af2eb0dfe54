"""Extension of the daemon that changes or takes out one mechanism of ``cost``.

The variable ``BENCH_TUNE`` holds the changes as a JSON object; its names are
the attributes of ``Tuning``.
"""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

import attrs

from agaterail.index import EngineIndex
from agaterail.loads import EngineLoad
from agaterail.policies.cost import CostPolicy

if TYPE_CHECKING:
    from agaterail.application import Application

TUNING_VARIABLE = "BENCH_TUNE"


@attrs.frozen(kw_only=True)
class Tuning:
    """Changes to the ``cost`` policy.

    Attributes
    ----------
    candidates
        Candidates by rendezvous order.
    query_timeout_ms
        Deadline of the question to the homes; 0 asks none.
    predict
        Whether dispatches insert expected blocks.
    count_dispatches
        Whether dispatches since the load report are added to it.
    widen
        Whether hot prefixes get more candidates.
    """

    candidates: int | None = None
    query_timeout_ms: float | None = None
    predict: bool = True
    count_dispatches: bool = True
    widen: bool = True


def setup(app: Application) -> None:
    """Apply the changes of the environment."""
    tuning = Tuning(**json.loads(os.environ.get(TUNING_VARIABLE, "{}")))
    policy = app.policies["cost"]
    assert isinstance(policy, CostPolicy)
    candidate_finder: Any = app.candidates
    if tuning.candidates is not None:
        policy.count = tuning.candidates
    if tuning.query_timeout_ms is not None:
        candidate_finder.timeout_s = tuning.query_timeout_ms / 1e3
    if tuning.query_timeout_ms == 0:
        candidate_finder.query = _no_answers
    if not tuning.widen:
        policy.hot_keys.replica_rate_per_s = float("inf")
    if not tuning.predict:
        EngineIndex.predict = _do_nothing  # type: ignore[method-assign,assignment]
    if not tuning.count_dispatches:
        EngineLoad.on_dispatch = _do_nothing  # type: ignore[method-assign,assignment]


def _no_answers(*_: object) -> dict[str, object]:
    return {}


def _do_nothing(*_: object) -> None:
    return
