"""Decide what a holder may answer about a session."""

import collections
import dataclasses
import typing as t

from rosemaryridge.group import GroupView
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

READ_MARK_S = 10.0
_SETTLE_S = 3.0
_NEVER = float("-inf")

Key = tuple[str, str]
Holders = tuple[str, ...]
HoldersOf = t.Callable[[Key], Holders]


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Hold what a session's reads must cover.

    `replica` names the one that the session may read from at a later position than
    `position`; until that is known its reads stay there.
    """

    position: Position
    replica: str = ""


@dataclasses.dataclass(slots=True)
class _Entry:
    position: Position
    replica: str
    put_at: float
    holders: Holders
    unsettled_until: float = _NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    position: Position
    at: float


class SessionTable:
    """Hold the sessions that this proxy answers for, in memory and bounded.

    A session without an entry is answered by its service's floor: a position at or
    past all that was recorded before this proxy became a holder, and at or past
    every entry that it has dropped. Until a floor is known the answer is None.
    """

    def __init__(self, now: float, holders_of: HoldersOf, limit: int):
        self._holders_of = holders_of
        self._limit = limit
        self._changed_at = now
        self._entries: collections.OrderedDict[Key, _Entry] = collections.OrderedDict()
        self._samples: dict[str, _Sample] = {}
        self._dropped: dict[str, Position] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def services(self) -> frozenset[str]:
        """Return the services that have entries."""
        return frozenset(service for service, _ in self._entries)

    def put(self, key: Key, found: Found, now: float) -> None:
        """Keep a record; a position never falls."""
        held = self._entries.pop(key, None)
        position = max(found.position, held.position) if held else found.position
        replica = found.replica or (held.replica if held else "")
        put_at = now if found.replica or held is None else held.put_at
        self._entries[key] = _Entry(position, replica, put_at, self._holders_of(key))
        if len(self._entries) > self._limit:
            self._evict(now)

    def get(self, key: Key, now: float) -> Found | None:
        """Return what a session must see, None where a record may be missing."""
        entry = self._entries.get(key)
        floor = self.floor(key[0])
        if entry is None:
            return None if floor is None else Found(floor)
        moved = entry.holders != self._holders_of(key)
        if not moved and now >= entry.unsettled_until:
            return Found(entry.position, entry.replica)
        if floor is None:
            return None
        return Found(max(entry.position, floor), entry.replica)

    def floor(self, service: str) -> Position | None:
        """Return a service's floor, None where it must be sampled."""
        sample = self._samples.get(service)
        if sample is None or sample.at < self.sample_from():
            return None
        return max(sample.position, self._dropped.get(service, ORIGIN))

    def sample_from(self) -> float:
        """Return from when on a sample of the primary's position is a floor."""
        return self._changed_at + READ_MARK_S

    def sampled(self, service: str, position: Position, asked_at: float) -> None:
        """Take in the primary's position, confirmed after it was asked for."""
        self._samples[service] = _Sample(position, asked_at)

    def members_changed(self, now: float) -> tuple[tuple[Key, Found, Holders], ...]:
        """Return the records that other holders must be given, with the holders."""
        self._changed_at = now
        moved = []
        for key, entry in self._entries.items():
            holders = self._holders_of(key)
            if holders != entry.holders:
                entry.holders = holders
                entry.unsettled_until = now + _SETTLE_S
                moved.append((key, Found(entry.position, entry.replica), holders))
        return tuple(moved)

    def take_over(self, key: Key, found: Found, now: float) -> None:
        """Keep a record that another holder has; more may be on the way."""
        self.put(key, found, now)
        self._entries[key].unsettled_until = now + _SETTLE_S

    def sweep(self, service: str, view: GroupView, now: float) -> None:
        """Learn positions of finished reads, and drop what every target covers."""
        covered = _covered(view)
        dropped = []
        for key, entry in self._entries.items():
            if key[0] != service:
                continue
            _resolve(entry, view, now)
            if not entry.replica and entry.position <= covered:
                dropped.append(key)
        for key in dropped:
            self._drop(key)

    def _drop(self, key: Key) -> None:
        entry = self._entries.pop(key)
        floor = self._dropped.get(key[0], ORIGIN)
        self._dropped[key[0]] = max(floor, entry.position)

    def _evict(self, now: float) -> None:
        key, entry = next(iter(self._entries.items()))
        if entry.replica:
            # Only a sample taken after its reads covers it.
            self._changed_at = now
        self._drop(key)


def _resolve(entry: _Entry, view: GroupView, now: float) -> None:
    ended_at = entry.put_at + READ_MARK_S
    seen = view.statuses.get(entry.replica)
    if seen is None or seen.seen_at < ended_at or now < ended_at:
        return
    if seen.status.applied >= entry.position:
        entry.position = seen.status.applied
        entry.replica = ""


def _covered(view: GroupView) -> Position:
    if any(name not in view.statuses for name in view.targets):
        return ORIGIN
    statuses = (view.statuses[name].status for name in view.targets)
    return min((status.applied for status in statuses), default=ORIGIN)
