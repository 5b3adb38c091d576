"""Define the messages that members send each other."""

import enum

import msgspec

from rosemaryridge.peer import PeerMessage


class MemberState(enum.IntEnum):
    """Name the state that a member announces."""

    LIVE = 0
    DRAINING = 1
    LEFT = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a member's latest announcement, ordered by incarnation and version."""

    vm: str
    incarnation: int
    version: int
    state: MemberState
    failure_domain: str
    region: str
    endpoint: str

    @property
    def stamp(self) -> tuple[int, int]:
        """Return the sort key among the records of one VM."""
        return (self.incarnation, self.version)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Report that a neighbour lost its stream to a member.

    A record of the member that is newer than the given version refutes the suspicion.
    """

    vm: str
    incarnation: int
    version: int


class TargetFlag(msgspec.Struct, frozen=True, array_like=True):
    """Hold whether a target is draining; the higher version wins."""

    target: str
    version: int
    leaving: bool


class MembershipDelta(PeerMessage, frozen=True, array_like=True):
    """Carry changed records, suspicions and target flags."""

    records: tuple[MemberRecord, ...] = ()
    doubts: tuple[Suspicion, ...] = ()
    targets: tuple[TargetFlag, ...] = ()


class MembershipDigest(PeerMessage, frozen=True, array_like=True):
    """Carry one hash for each bucket of records and one for the target flags.

    The receiver replies with its own data where a hash differs.
    """

    buckets: tuple[int, ...]
    targets: int
