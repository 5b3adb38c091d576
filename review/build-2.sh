#!/bin/sh
# The stand-ins of the second review need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m py_compile site2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
