"""Run the command line with ``python -m agaterail``."""

from __future__ import annotations

from agaterail.cmd.main import main

if __name__ == "__main__":
    main()
