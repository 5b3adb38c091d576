"""Define the messages between proxies about groups."""

import msgspec

from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.peer import PeerMessage


class GroupSilence(PeerMessage, frozen=True, array_like=True):
    """Report to the other watchers how long a primary has been unresponsive.

    A `silence_s` of 0.0 withdraws the report.
    """

    service: str
    primary: str
    term: int
    silence_s: float


class GroupTakeover(PeerMessage, frozen=True, array_like=True):
    """Announce to the other watchers that a takeover has begun."""

    service: str
    term: int


class GroupLed(PeerMessage, frozen=True, array_like=True):
    """Announce the promotion of a primary to all proxies."""

    service: str
    term: int
    primary: str


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """Encode one target's status and its age in seconds."""

    target: str
    age_s: float
    leads: bool
    term: int
    fenced_term: int
    received: tuple[int, int]
    applied: tuple[int, int]
    upstream: str
    upstream_silence_s: float
    leaving: bool
    writable: bool


class GroupRow(msgspec.Struct, frozen=True, array_like=True):
    """Encode one group's view."""

    service: str
    term: int
    primary: str | None
    targets: tuple[TargetRow, ...]


class GroupQuery(PeerMessage, frozen=True, array_like=True):
    """Request a watcher's views of services."""

    services: tuple[str, ...]


class GroupAnswer(PeerMessage, frozen=True, array_like=True):
    """Return the requested views of the groups that the proxy watches."""

    groups: tuple[GroupRow, ...]


def pack(view: GroupView, now: float) -> GroupRow:
    """Return the row of a view with the statuses that its proxy requested itself."""
    rows = tuple(
        _pack_target(entry, now) for entry in view.statuses.values() if entry.direct
    )
    return GroupRow(view.service, view.term, view.primary, rows)


def _pack_target(entry: ObservedStatus, now: float) -> TargetRow:
    status = entry.status
    return TargetRow(
        status.target,
        now - entry.seen_at,
        status.role is Role.PRIMARY,
        status.term,
        status.fenced_term,
        (status.received.term, status.received.lsn),
        (status.applied.term, status.applied.lsn),
        status.upstream,
        status.upstream_silence_s,
        status.leaving,
        status.writable,
    )


def unpack(row: TargetRow, asked_at: float) -> ObservedStatus:
    """Return the status of a peer's row.

    Its `seen_at` is the time of this proxy's request less the age in the row, which
    is never later than the real time.
    """
    status = TargetStatus(
        row.target,
        Role.PRIMARY if row.leads else Role.REPLICA,
        row.term,
        row.fenced_term,
        Position(*row.received),
        Position(*row.applied),
        row.upstream,
        row.upstream_silence_s,
        row.leaving,
        row.writable,
    )
    return ObservedStatus(status, asked_at - row.age_s, direct=False)
