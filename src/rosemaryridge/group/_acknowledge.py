"""Decide when a majority of the targets holds the position that a caller waits for."""

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
class MajorityWait:
    """Describe one caller's wait for a majority.

    `since` is in monotonic seconds. While `position` is None, it is taken from the
    first status of the primary that was requested at or after `since`, thus after the
    commit. If `fresh` is set (reads), a majority must also have been polled at or
    after `since`. For a write, holding its position suffices.
    """

    target: str
    term: int
    since: float
    position: Position | None = None
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WaitResult:
    """Report how a wait ended.

    `code` is None if a majority holds `position`; otherwise it says why the wait
    failed, and `position` is only a best guess.
    """

    key: int
    position: Position
    code: Code | None = None


class AcknowledgeTracker:
    """Track the waiters of one group and end their waits according to its view."""

    def __init__(self, view: GroupView, acknowledge_early: bool = False):
        self._view = view
        self._acknowledge_early = acknowledge_early
        self._keys = itertools.count()
        self._waiters: dict[int, MajorityWait] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: MajorityWait) -> int:
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
        self, key: int, waiter: MajorityWait, state: "_MajorityState"
    ) -> WaitResult | None:
        if state.replaced:
            position = waiter.position or self._view.majority_position
            return WaitResult(key, position, codes.PRIMARY_REPLACED)
        if waiter.position is None and state.primary_seen_at >= waiter.since:
            waiter.position = state.primary_position
        if waiter.position is None:
            return None
        is_confirmed = (
            self._acknowledge_early or state.majority_position >= waiter.position
        )
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
        primary_position, primary_seen_at = entry.status.received, entry.seen_at
        counted = [
            other
            for other in view.statuses.values()
            if other.direct and counts_towards(other.status, term, Position(term, 0))
        ]
        if entry not in counted or len(counted) < view.majority_size:
            return _MajorityState(primary_position, primary_seen_at)
        nth = view.majority_size - 1
        positions = sorted((other.status.received for other in counted), reverse=True)
        times = sorted((other.seen_at for other in counted), reverse=True)
        majority_position = min(positions[nth], primary_position)
        seen_at = min(times[nth], primary_seen_at)
        return _MajorityState(
            primary_position, primary_seen_at, majority_position, seen_at
        )

    def _is_replaced(self, target: str, term: int) -> bool:
        view = self._view
        if view.term > term:
            return True
        entry = view.statuses.get(target)
        if entry is not None and entry.status.fenced_term > term:
            return True
        return view.term == term and view.fenced_above_count >= view.majority_size


@dataclasses.dataclass(frozen=True, slots=True)
class _MajorityState:
    """Describe what a primary and a majority that includes it hold.

    `primary_position` is the primary's last position, `majority_position` the position
    that the majority holds. The primary's last status was requested at
    `primary_seen_at`, those of the majority at or after `seen_at` (monotonic seconds).
    """

    primary_position: Position | None = None
    primary_seen_at: float = float("-inf")
    majority_position: Position = Position(-1, 0)
    seen_at: float = float("-inf")
    replaced: bool = False


def _is_primary(status: TargetStatus, term: int) -> bool:
    return status.role is Role.PRIMARY and status.term == term
