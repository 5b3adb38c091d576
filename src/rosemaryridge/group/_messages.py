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


def encode_view(view: GroupView, now: float) -> GroupRow:
    """Return the row of a view with the statuses that this proxy polled directly."""
    rows = tuple(
        _encode_status(entry, now) for entry in view.statuses.values() if entry.direct
    )
    return GroupRow(view.service, view.term, view.primary, rows)


def _encode_status(entry: ObservedStatus, now: float) -> TargetRow:
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


def decode_status(row: TargetRow, asked_at: float) -> ObservedStatus:
    """Return the status of a peer's row.

    Its `seen_at` is `asked_at`, when this proxy sent its request to the watcher, less
    the age in the row; this is never later than when the watcher sent its own request.
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
