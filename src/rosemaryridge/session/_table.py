"""Store the sessions for which this proxy is a holder."""

import collections
import dataclasses
import typing as t

from rosemaryridge.group import GroupView
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# Time after which the reads that a mark covers have ended.
READ_MARK_TTL_S = 10.0
# Time for which other holders may still hand over newer records.
_HAND_OVER_WAIT_S = 3.0
_NEVER = float("-inf")

Key = tuple[str, str]
Holders = tuple[str, ...]
HoldersOf = t.Callable[[Key], Holders]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBound:
    """Hold the lower bound of a session's reads.

    `replica` names the replica from which the session may have read at a position
    later than `position`; until that position is known, its reads must use the same
    replica or the primary.
    """

    position: Position
    replica: str = ""


@dataclasses.dataclass(slots=True)
class _Entry:
    position: Position
    replica: str
    marked_at: float
    holders: Holders
    incomplete_until: float = _NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    position: Position
    at: float


class SessionTable:
    """Store a bounded number of sessions in memory.

    For a session without an entry the table returns the minimum position of its
    service: a position at or past all that was recorded before this proxy became a
    holder, and at or past every entry that the table dropped. Until the minimum
    position is known the result is None.
    """

    def __init__(self, now: float, holders_of: HoldersOf, limit: int):
        self._holders_of = holders_of
        self._limit = limit
        # The last time at which the table may have lacked a record.
        self._incomplete_at = now
        self._entries: collections.OrderedDict[Key, _Entry] = collections.OrderedDict()
        self._samples: dict[str, _Sample] = {}
        self._dropped: dict[str, Position] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def services(self) -> frozenset[str]:
        """Return the services that have entries."""
        return frozenset(service for service, _ in self._entries)

    def put(self, key: Key, bound: ReadBound, now: float) -> None:
        """Merge a record into a session's entry; the position never decreases."""
        held = self._entries.pop(key, None)
        position = max(bound.position, held.position) if held else bound.position
        replica = bound.replica or (held.replica if held else "")
        marked_at = now if bound.replica or held is None else held.marked_at
        self._entries[key] = _Entry(position, replica, marked_at, self._holders_of(key))
        if len(self._entries) > self._limit:
            self._evict(now)

    def get(self, key: Key, now: float) -> ReadBound | None:
        """Return the bound of a session's reads, None if a record may be missing."""
        entry = self._entries.get(key)
        min_position = self.min_position(key[0])
        if entry is None:
            return None if min_position is None else ReadBound(min_position)
        is_moved = entry.holders != self._holders_of(key)
        if not is_moved and now >= entry.incomplete_until:
            return ReadBound(entry.position, entry.replica)
        if min_position is None:
            return None
        return ReadBound(max(entry.position, min_position), entry.replica)

    def min_position(self, service: str) -> Position | None:
        """Return a service's minimum position, None if it must be sampled."""
        sample = self._samples.get(service)
        if sample is None or sample.at < self.sample_from():
            return None
        return max(sample.position, self._dropped.get(service, ORIGIN))

    def sample_from(self) -> float:
        """Return the earliest time at which a sample is a valid minimum position.

        By then the reads that were marked at other holders have ended.
        """
        return self._incomplete_at + READ_MARK_TTL_S

    def record_sample(self, service: str, position: Position, asked_at: float) -> None:
        """Record the primary's position, requested at `asked_at` and acknowledged."""
        self._samples[service] = _Sample(position, asked_at)

    def update_holders(self, now: float) -> tuple[tuple[Key, ReadBound, Holders], ...]:
        """Return the entries whose holders changed, with the new holders."""
        self._incomplete_at = now
        moved = []
        for key, entry in self._entries.items():
            holders = self._holders_of(key)
            if holders != entry.holders:
                entry.holders = holders
                entry.incomplete_until = now + _HAND_OVER_WAIT_S
                moved.append((key, ReadBound(entry.position, entry.replica), holders))
        return tuple(moved)

    def put_handed_over(self, key: Key, bound: ReadBound, now: float) -> None:
        """Merge a record from another holder; others may still send newer ones."""
        self.put(key, bound, now)
        self._entries[key].incomplete_until = now + _HAND_OVER_WAIT_S

    def sweep(self, service: str, view: GroupView, now: float) -> None:
        """Resolve the positions of ended reads; drop entries applied by all targets."""
        applied = _applied_by_all(view)
        dropped = []
        for key, entry in self._entries.items():
            if key[0] != service:
                continue
            _resolve_replica(entry, view, now)
            if not entry.replica and entry.position <= applied:
                dropped.append(key)
        for key in dropped:
            self._drop(key)

    def _drop(self, key: Key) -> None:
        entry = self._entries.pop(key)
        min_position = self._dropped.get(key[0], ORIGIN)
        self._dropped[key[0]] = max(min_position, entry.position)

    def _evict(self, now: float) -> None:
        key, entry = next(iter(self._entries.items()))
        if entry.replica:
            # The position of its reads is unknown; only a later sample covers them.
            self._incomplete_at = now
        self._drop(key)


def _resolve_replica(entry: _Entry, view: GroupView, now: float) -> None:
    ended_at = entry.marked_at + READ_MARK_TTL_S
    seen = view.statuses.get(entry.replica)
    if seen is None or seen.seen_at < ended_at or now < ended_at:
        return
    if seen.status.applied >= entry.position:
        entry.position = seen.status.applied
        entry.replica = ""


def _applied_by_all(view: GroupView) -> Position:
    if any(name not in view.statuses for name in view.targets):
        return ORIGIN
    statuses = (view.statuses[name].status for name in view.targets)
    return min((status.applied for status in statuses), default=ORIGIN)
