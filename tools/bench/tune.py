"""Daemon extension that changes or disables mechanisms of the ``cost`` policy.

The environment variable ``BENCH_TUNE`` holds a JSON object whose keys are
attributes of ``Tuning``.
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
        Number of candidates by hash order, before the extra ones of hot prefixes.
    query_timeout_ms
        Timeout of the candidate query to the homes; 0 disables the query.
    predict
        Whether a dispatch adds predicted blocks to the engine index.
    count_dispatches
        Whether dispatches since the last load report are added to its load.
    widen
        Whether hot prefixes get more candidates.
    """

    candidates: int | None = None
    query_timeout_ms: float | None = None
    predict: bool = True
    count_dispatches: bool = True
    widen: bool = True


def setup(app: Application) -> None:
    """Apply the changes from the environment."""
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
