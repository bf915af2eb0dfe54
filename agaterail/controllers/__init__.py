"""Controllers, each of which reconciles one piece of state periodically."""

from __future__ import annotations

import abc
from typing import Any


class Controller(abc.ABC):
    """Base class of controllers with one reconcile step.

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
        """Take one step toward the desired state."""

    def status(self) -> dict[str, Any]:
        """Return what the ``status`` command shows for this controller."""
        return {}
