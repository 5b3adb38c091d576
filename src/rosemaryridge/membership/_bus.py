"""Define the bus operations that membership uses."""

import typing as t

from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerIdentity


class MemberBus(PeerBus, t.Protocol):
    """Send messages over streams whose peers membership chooses."""

    def set_address(self, vm: str, endpoint: Endpoint) -> None:
        """Set the address at which a peer listens."""

    def remove_address(self, vm: str) -> None:
        """Remove a peer's address."""

    def contact(self, endpoint: Endpoint) -> None:
        """Open a stream to a peer of unknown VM."""

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Set the peers to which streams are kept open."""

    def on_hello(self, callback: t.Callable[[PeerIdentity], None]) -> None:
        """Call back with the identity of each peer that introduces itself."""

    def on_resync(self, callback: t.Callable[[str], None]) -> None:
        """Call back with a peer's VM when its stream is new or lost messages."""

    def on_lost(self, callback: t.Callable[[str], None]) -> None:
        """Call back with a peer's VM when its stream ends."""
