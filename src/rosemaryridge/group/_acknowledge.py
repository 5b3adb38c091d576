"""Decide when a majority holds what callers wait for."""

import dataclasses
import itertools

from rosemaryridge.codes import Code
from rosemaryridge.codes import group as codes
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import holds
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


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
        held: dict[tuple[str, int], _Held] = {}
        found = []
        for key, waiter in self._waiters.items():
            group = (waiter.target, waiter.term)
            if group not in held:
                held[group] = self._weigh(*group)
            settled = self._judge(key, waiter, held[group])
            if settled is not None:
                found.append(settled)
        for settled in found:
            del self._waiters[settled.key]
        return tuple(found)

    def _judge(self, key: int, waiter: Waiter, held: "_Held") -> Settled | None:
        if held.replaced:
            position = waiter.position or self._view.majority_position
            return Settled(key, position, codes.PRIMARY_REPLACED)
        if waiter.position is None and held.sampled_at >= waiter.since:
            waiter.position = held.sample
        if waiter.position is None:
            return None
        enough = self._early or held.position >= waiter.position
        if waiter.fresh and held.seen_at < waiter.since:
            enough = False
        return Settled(key, waiter.position) if enough else None

    def _weigh(self, target: str, term: int) -> "_Held":
        """Return what is known for all that wait for one primary in one term."""
        view = self._view
        if self._replaced(target, term):
            return _Held(replaced=True)
        entry = view.statuses.get(target)
        if entry is None or not entry.direct or not _leads(entry.status, term):
            return _Held()
        sample, sampled_at = entry.status.received, entry.seen_at
        counted = [
            one
            for one in view.statuses.values()
            if one.direct and holds(one.status, term, Position(term, 0))
        ]
        if entry not in counted or len(counted) < view.majority:
            return _Held(sample, sampled_at)
        nth = view.majority - 1
        positions = sorted((one.status.received for one in counted), reverse=True)
        times = sorted((one.seen_at for one in counted), reverse=True)
        position = min(positions[nth], sample)
        seen_at = min(times[nth], sampled_at)
        return _Held(sample, sampled_at, position, seen_at)

    def _replaced(self, target: str, term: int) -> bool:
        view = self._view
        if view.term > term:
            return True
        entry = view.statuses.get(target)
        if entry is not None and entry.status.fenced_term > term:
            return True
        return view.term == term and view.fenced_above >= view.majority


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """Hold a primary's last sample, and what a majority with it holds."""

    sample: Position | None = None
    sampled_at: float = float("-inf")
    position: Position = Position(-1, 0)
    seen_at: float = float("-inf")
    replaced: bool = False


def _leads(status: TargetStatus, term: int) -> bool:
    return status.role is Role.PRIMARY and status.term == term
