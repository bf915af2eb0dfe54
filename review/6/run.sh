#!/bin/sh
# Exits with 1 if an isolated workspace shared a cached part, 0 if not, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/6/case.py
