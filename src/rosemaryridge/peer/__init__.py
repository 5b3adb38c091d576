"""Carry messages between proxies."""

from rosemaryridge.peer._bus import PeerBus
from rosemaryridge.peer._bus import PeerMessage

__all__ = ["PeerBus", "PeerMessage"]
