"""Run the gateway with ``python -m agaterail.gateway``.

Hosts start it so: importing the whole command line takes half as long again,
and a restarted daemon serves nobody until then.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import sys
import time

STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
PROCESSOR_AT = time.process_time()

from agaterail.cmd.gateway import gateway

if __name__ == "__main__":
    sys.exit(gateway(started_at=STARTED_AT, processor_at=PROCESSOR_AT))
