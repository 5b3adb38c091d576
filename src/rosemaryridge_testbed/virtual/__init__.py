"""Join parts of many proxies in one process, in time that a caller moves."""

from rosemaryridge_testbed.virtual._bus import VirtualBus
from rosemaryridge_testbed.virtual._network import VirtualNetwork
from rosemaryridge_testbed.virtual._store import VirtualStore

__all__ = ["VirtualBus", "VirtualNetwork", "VirtualStore"]
