"""Run the gateway with ``python -m agaterail.gateway``.

Hosts use this entry point because importing the whole command line takes 50% longer,
and a restarting daemon serves no requests until its imports are done.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import sys
import time

STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
INITIAL_CPU_S = time.process_time()

from agaterail.cmd.gateway import gateway

if __name__ == "__main__":
    sys.exit(gateway(started_at=STARTED_AT, initial_cpu_s=INITIAL_CPU_S))
