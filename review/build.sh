#!/bin/sh
# Builds the stand-ins that the scripts start, the project's own included. They run on the
# dependencies that the deploy file's build has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q standins review
PYTHONPATH=target/deps:. python3 -c "import review.harness"
