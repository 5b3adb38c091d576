"""Exchange messages between proxies."""

from rosemaryridge.peer._bus import PeerBus
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.peer._grpc_bus import GrpcPeerBus
from rosemaryridge.peer._identity import PeerIdentity
from rosemaryridge.peer._settings import BusSettings

__all__ = ["BusSettings", "GrpcPeerBus", "PeerBus", "PeerIdentity", "PeerMessage"]
