"""Decide when a majority of the targets counts_towards what a caller waits for."""

import dataclasses
import itertools

from rosemaryridge.codes import Code
from rosemaryridge.codes import group as codes
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import counts_towards
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


@dataclasses.dataclass(slots=True)
class Waiter:
    """Describe one caller's wait for a majority.

    `since` is in monotonic seconds. `position` is None until a status of the primary
    that was requested after `since`, thus after the commit, gives it. `fresh` requires
    statuses of a majority that were requested after `since`: a read needs them, for a
    write its position already implies them.
    """

    target: str
    term: int
    since: float
    position: Position | None = None
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WaitResult:
    """Report how a wait ended: a majority holds `position`, or `code` if it is set."""

    key: int
    position: Position
    code: Code | None = None


class AcknowledgeTracker:
    """Track the waiters of one group and end their waits according to its view."""

    def __init__(self, view: GroupView, acknowledge_early: bool = False):
        self._view = view
        self._acknowledge_early = acknowledge_early
        self._keys = itertools.count()
        self._waiters: dict[int, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> int:
        """Add a waiter and return its key."""
        key = next(self._keys)
        self._waiters[key] = waiter
        return key

    def remove(self, key: int) -> None:
        """Remove a waiter; an unknown key is ignored."""
        self._waiters.pop(key, None)

    def pop_finished(self) -> tuple[WaitResult, ...]:
        """Remove the waiters whose wait has ended and return their results."""
        states: dict[tuple[str, int], _MajorityState] = {}
        results = []
        for key, waiter in self._waiters.items():
            group = (waiter.target, waiter.term)
            if group not in states:
                states[group] = self._majority_state(*group)
            result = self._check_waiter(key, waiter, states[group])
            if result is not None:
                results.append(result)
        for result in results:
            del self._waiters[result.key]
        return tuple(results)

    def _check_waiter(
        self, key: int, waiter: Waiter, state: "_MajorityState"
    ) -> WaitResult | None:
        if state.replaced:
            position = waiter.position or self._view.majority_position
            return WaitResult(key, position, codes.PRIMARY_REPLACED)
        if waiter.position is None and state.sampled_at >= waiter.since:
            waiter.position = state.sample
        if waiter.position is None:
            return None
        is_confirmed = self._acknowledge_early or state.position >= waiter.position
        if waiter.fresh and state.seen_at < waiter.since:
            is_confirmed = False
        return WaitResult(key, waiter.position) if is_confirmed else None

    def _majority_state(self, target: str, term: int) -> "_MajorityState":
        """Return the state for all waiters of one primary in one term."""
        view = self._view
        if self._is_replaced(target, term):
            return _MajorityState(replaced=True)
        entry = view.statuses.get(target)
        if entry is None or not entry.direct or not _is_primary(entry.status, term):
            return _MajorityState()
        sample, sampled_at = entry.status.received, entry.seen_at
        counted = [
            other
            for other in view.statuses.values()
            if other.direct and counts_towards(other.status, term, Position(term, 0))
        ]
        if entry not in counted or len(counted) < view.majority:
            return _MajorityState(sample, sampled_at)
        nth = view.majority - 1
        positions = sorted((other.status.received for other in counted), reverse=True)
        times = sorted((other.seen_at for other in counted), reverse=True)
        position = min(positions[nth], sample)
        seen_at = min(times[nth], sampled_at)
        return _MajorityState(sample, sampled_at, position, seen_at)

    def _is_replaced(self, target: str, term: int) -> bool:
        view = self._view
        if view.term > term:
            return True
        entry = view.statuses.get(target)
        if entry is not None and entry.status.fenced_term > term:
            return True
        return view.term == term and view.fenced_above_count >= view.majority


@dataclasses.dataclass(frozen=True, slots=True)
class _MajorityState:
    """Describe what a primary and a majority that includes it hold.

    `sample` is the primary's last position, `position` what the majority holds.
    """

    sample: Position | None = None
    sampled_at: float = float("-inf")
    position: Position = Position(-1, 0)
    seen_at: float = float("-inf")
    replaced: bool = False


def _is_primary(status: TargetStatus, term: int) -> bool:
    return status.role is Role.PRIMARY and status.term == term
