#!/usr/bin/env bash
# Build what the scripts 11 to 15 start beside the deploy file's build: the stand-ins
# need the standard library only, so that compiling them is enough.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q review/standins3.py review/1[1-5] \
    src/rosemaryridge_testbed/site/_target.py
