#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." && exec python3 review/11/case.py
