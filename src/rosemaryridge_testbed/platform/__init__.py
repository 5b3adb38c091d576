"""Emulate the platform's object API."""

from rosemaryridge_testbed.platform._server import Platform
from rosemaryridge_testbed.platform._server import PlatformOptions
from rosemaryridge_testbed.platform._server import run_platform
from rosemaryridge_testbed.platform._store import Conflict
from rosemaryridge_testbed.platform._store import Item
from rosemaryridge_testbed.platform._store import Store
from rosemaryridge_testbed.platform._store import TooLarge

__all__ = [
    "Conflict",
    "Item",
    "Platform",
    "PlatformOptions",
    "Store",
    "TooLarge",
    "run_platform",
]
