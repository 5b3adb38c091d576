"""Connect components of many proxies in one process, in virtual time."""

from rosemaryridge_testbed.virtual._bus import VirtualBus
from rosemaryridge_testbed.virtual._network import VirtualNetwork
from rosemaryridge_testbed.virtual._store import VirtualStore
from rosemaryridge_testbed.virtual._waiting import WaitingStore
from rosemaryridge_testbed.virtual._waiting import advance

__all__ = ["VirtualBus", "VirtualNetwork", "VirtualStore", "WaitingStore", "advance"]
