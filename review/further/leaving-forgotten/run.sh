#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not be run.
cd "$(dirname "$0")/../../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH=target/deps:. exec python3 review/further/leaving-forgotten/run.py
