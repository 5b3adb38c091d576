#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." && exec python3 review/15/case.py
