"""Define what membership needs of the bus."""

import typing as t

from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerIdentity


class MemberBus(PeerBus, t.Protocol):
    """Be a bus whose streams membership chooses."""

    def learn(self, vm: str, endpoint: Endpoint) -> None:
        """Take in where a peer listens."""

    def forget(self, vm: str) -> None:
        """Drop a peer's address."""

    def contact(self, endpoint: Endpoint) -> None:
        """Open a stream to a peer whose VM is not known yet."""

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Choose the peers to which streams are kept."""

    def on_hello(self, callback: t.Callable[[PeerIdentity], None]) -> None:
        """Call back with each peer that introduces itself."""

    def on_resync(self, callback: t.Callable[[str], None]) -> None:
        """Call back where a stream is new or lost messages."""

    def on_lost(self, callback: t.Callable[[str], None]) -> None:
        """Call back where a stream ended."""
