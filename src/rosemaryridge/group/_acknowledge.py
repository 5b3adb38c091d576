"""Decide when a majority holds what callers wait for."""

import dataclasses
import itertools

from rosemaryridge.codes import Code
from rosemaryridge.codes import group as codes
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.group._view import holds
from rosemaryridge.model import Position
from rosemaryridge.model import Role


@dataclasses.dataclass(slots=True)
class Waiter:
    """Stand for one caller that waits for a majority.

    `position` is None until the primary was asked after the commit. `fresh` asks
    that the majority was seen after `since`, which a read needs and a write has by
    its position.
    """

    target: str
    term: int
    since: float
    position: Position | None = None
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Tell how a waiter's wait ended: at a position, or by a code."""

    key: int
    position: Position
    code: Code | None = None


class AcknowledgeWindow:
    """Hold every waiter of one group and settle them from its view."""

    def __init__(self, view: GroupView, acknowledge_early: bool = False):
        self._view = view
        self._early = acknowledge_early
        self._keys = itertools.count()
        self._waiters: dict[int, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> int:
        """Take in a waiter and return its key."""
        key = next(self._keys)
        self._waiters[key] = waiter
        return key

    def drop(self, key: int) -> None:
        """Forget a waiter; an unknown key does nothing."""
        self._waiters.pop(key, None)

    def settle(self) -> tuple[Settled, ...]:
        """Return and forget the waiters whose wait the view has ended."""
        found = []
        for key, waiter in self._waiters.items():
            settled = self._judge(key, waiter)
            if settled is not None:
                found.append(settled)
        for settled in found:
            del self._waiters[settled.key]
        return tuple(found)

    def _judge(self, key: int, waiter: Waiter) -> Settled | None:
        if self._replaced(waiter):
            position = waiter.position or self._view.majority_position
            return Settled(key, position, codes.PRIMARY_REPLACED)
        if waiter.position is None:
            waiter.position = self._sample(waiter)
        if waiter.position is None:
            return None
        held = self._early or self._held(waiter) >= self._view.majority
        return Settled(key, waiter.position) if held else None

    def _replaced(self, waiter: Waiter) -> bool:
        view = self._view
        if view.term > waiter.term:
            return True
        entry = view.statuses.get(waiter.target)
        if entry is not None and entry.status.fenced_term > waiter.term:
            return True
        return view.term == waiter.term and view.fenced_above >= view.majority

    def _sample(self, waiter: Waiter) -> Position | None:
        entry = self._view.statuses.get(waiter.target)
        if entry is None or not entry.direct or entry.seen_at < waiter.since:
            return None
        status = entry.status
        leads = status.role is Role.PRIMARY and status.term == waiter.term
        return status.received if leads else None

    def _held(self, waiter: Waiter) -> int:
        statuses = self._view.statuses
        counted = [name for name in statuses if self._counts(waiter, statuses[name])]
        return len(counted) if waiter.target in counted else 0

    def _counts(self, waiter: Waiter, entry: ObservedStatus) -> bool:
        if waiter.fresh and entry.seen_at < waiter.since:
            return False
        return entry.direct and holds(entry.status, waiter.term, waiter.position)
