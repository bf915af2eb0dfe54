#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../../.." || exit 2
PYTHONPATH=target/deps exec python3 review/further-2/parts-before-the-last-eight/case.py
