"""Define what proxies tell each other about connection leases."""

import msgspec

from rosemaryridge.peer import PeerMessage


class Units(msgspec.Struct, frozen=True, array_like=True):
    """Count connections to one target, beyond the base share."""

    service: str
    target: str
    units: int

    @property
    def key(self) -> tuple[str, str]:
        """Return the service and target."""
        return (self.service, self.target)


class LeaseRequest(PeerMessage, frozen=True, array_like=True):
    """Ask the grantor for connections; the newest `number` of a holder counts."""

    incarnation: int
    number: int
    wanted: tuple[Units, ...]


class LeaseAnswer(PeerMessage, frozen=True, array_like=True):
    """Grant connections for a time that starts when the request was sent.

    `grantor` names another VM to ask where this one is not the grantor.
    """

    number: int
    duration_s: float
    granted: tuple[Units, ...]
    grantor: str = ""
