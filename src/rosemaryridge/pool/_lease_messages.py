"""Define the messages between proxies about connection leases."""

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
    """Request leases from the allocator; older `number`s of a holder are ignored."""

    incarnation: int
    number: int
    wanted: tuple[Units, ...]


class LeaseAnswer(PeerMessage, frozen=True, array_like=True):
    """Grant connections for `duration_s` seconds from when the request was sent.

    A duration of 0 grants nothing. `grantor` then names the VM of the current lease
    allocator, if known.
    """

    number: int
    duration_s: float
    granted: tuple[Units, ...]
    grantor: str = ""
