#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec python3 review/14/case.py
