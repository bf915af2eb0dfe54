"""Controllers: parts that bring one piece of state up to date, step by step."""

from __future__ import annotations

import abc
from typing import Any


class Controller(abc.ABC):
    """One piece of state with one reconcile step.

    Attributes
    ----------
    name
        Name in logs, metrics and the status.
    period_s
        Seconds between the end of one step and the start of the next.
    """

    name: str
    period_s: float

    @abc.abstractmethod
    def reconcile(self) -> None:
        """Take one step towards the desired state."""

    def status(self) -> dict[str, Any]:
        """Return what the ``status`` command shows of this controller."""
        return {}
