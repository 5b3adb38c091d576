"""Check histories of callers against the consistency promises of the proxy."""

from rosemaryridge_testbed.history._check import check
from rosemaryridge_testbed.history._events import Finding
from rosemaryridge_testbed.history._events import History
from rosemaryridge_testbed.history._events import Promise
from rosemaryridge_testbed.history._events import Promotion
from rosemaryridge_testbed.history._events import Read
from rosemaryridge_testbed.history._events import Row
from rosemaryridge_testbed.history._events import Stray
from rosemaryridge_testbed.history._events import Write

__all__ = [
    "Finding",
    "History",
    "Promise",
    "Promotion",
    "Read",
    "Row",
    "Stray",
    "Write",
    "check",
]
