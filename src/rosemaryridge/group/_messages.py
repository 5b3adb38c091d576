"""Define what proxies tell each other of groups."""

import msgspec

from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.peer import PeerMessage


class GroupSilence(PeerMessage, frozen=True, array_like=True):
    """Tell the other watchers how long a primary has been silent here."""

    service: str
    primary: str
    term: int
    silence_s: float


class GroupTakeover(PeerMessage, frozen=True, array_like=True):
    """Tell the other watchers that a takeover has begun."""

    service: str
    term: int


class GroupLed(PeerMessage, frozen=True, array_like=True):
    """Tell who was promoted."""

    service: str
    term: int
    primary: str


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """Pack one target's status and its age in seconds."""

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
    """Pack one group's view."""

    service: str
    term: int
    primary: str | None
    targets: tuple[TargetRow, ...]


class GroupQuery(PeerMessage, frozen=True, array_like=True):
    """Ask a watcher for its views of services."""

    services: tuple[str, ...]


class GroupAnswer(PeerMessage, frozen=True, array_like=True):
    """Return the views that a watcher has."""

    groups: tuple[GroupRow, ...]


def pack(view: GroupView, now: float) -> GroupRow:
    """Return a view's row, with the ages of its statuses."""
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
    """Return a passed-on status; it is no newer than the question less its age."""
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
