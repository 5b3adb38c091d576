"""Define what members tell each other."""

import enum

import msgspec

from rosemaryridge.peer import PeerMessage


class MemberState(enum.IntEnum):
    """Name what a member says about itself."""

    LIVE = 0
    DRAINING = 1
    LEFT = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a member last said about itself, by incarnation and version."""

    vm: str
    incarnation: int
    version: int
    state: MemberState
    failure_domain: str
    region: str
    endpoint: str

    @property
    def stamp(self) -> tuple[int, int]:
        """Return what orders records of one VM."""
        return (self.incarnation, self.version)


class Doubt(msgspec.Struct, frozen=True, array_like=True):
    """Say that a neighbour no longer hears a member; a newer record refutes it."""

    vm: str
    incarnation: int
    version: int


class TargetFlag(msgspec.Struct, frozen=True, array_like=True):
    """Say whether a target is leaving; the higher version counts."""

    target: str
    version: int
    leaving: bool


class MembershipDelta(PeerMessage, frozen=True, array_like=True):
    """Carry what is new to its sender."""

    records: tuple[MemberRecord, ...] = ()
    doubts: tuple[Doubt, ...] = ()
    targets: tuple[TargetFlag, ...] = ()


class MembershipDigest(PeerMessage, frozen=True, array_like=True):
    """Carry one hash for each bucket of records, to find what differs."""

    buckets: tuple[int, ...]
    targets: int
