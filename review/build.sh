#!/bin/sh
# The stand-ins need only the standard library of Python 3.11 or later.
cd "$(dirname "$0")" && python3 -m py_compile standins.py [1-5]/case.py
