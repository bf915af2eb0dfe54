#!/bin/sh
# Builds the stand-ins that the scripts of the cases from 4 on start. They are Python and use
# the libraries that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/deployment2.py review/4 review/5 review/6 review/7 review/8 \
  review/further-2
PYTHONPATH=target/deps python3 -c "import review.deployment2, standins.platform_engine"
