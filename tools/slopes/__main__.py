"""Measure the slopes of the given roles, or of the default ones (``make slopes``).

``idle`` takes a minute and a half and runs only if it is named.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import importlib
import sys

from agaterail import logs

ROLES = ("home", "receiver", "state", "claims")


def main() -> None:
    """Print one line per slope."""
    logs.configure("error")
    for role in sys.argv[1:] or ROLES:
        for slope in importlib.import_module(f"tools.slopes.{role}").measure():
            print(slope, flush=True)


if __name__ == "__main__":
    main()
