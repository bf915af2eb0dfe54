"""How much of the fleet a coordinator hears of."""

from __future__ import annotations

# A daemon that takes this one for a coordinator makes contact more often than this.
CONTACT_VALID_S = 1.5
MAJORITY = 0.5


class FleetContacts:
    """The daemons that take this one for a coordinator.

    Attributes
    ----------
    heard_at
        Time of the last contact of each daemon, in the order of these times.
    """

    def __init__(self) -> None:
        self.heard_at: dict[str, float] = {}

    def record(self, daemon: str, now: float) -> None:
        """Record that a daemon takes this one for a coordinator."""
        self.heard_at.pop(daemon, None)
        self.heard_at[daemon] = now

    def heard_fraction(self, daemons: float, now: float) -> float:
        """Return the fraction of the fleet that takes this daemon for a coordinator.

        Parameters
        ----------
        daemons
            Number of daemons in the fleet.
        """
        while self.heard_at:
            oldest = next(iter(self.heard_at))
            if now - self.heard_at[oldest] <= CONTACT_VALID_S:
                break
            del self.heard_at[oldest]
        return min(1.0, max(1, len(self.heard_at)) / max(1.0, daemons))

    def fleet_fraction(self, daemons: float, now: float) -> float:
        """Return the fraction of the fleet's amounts that this daemon may grant.

        Daemons that know different coordinators do not exceed an amount together: the
        coordinator of at least half of the fleet grants all of it, and any other the
        part of the daemons that it hears of.

        Parameters
        ----------
        daemons
            Number of daemons in the fleet.
        """
        heard = self.heard_fraction(daemons, now)
        return 1.0 if heard > MAJORITY else heard
