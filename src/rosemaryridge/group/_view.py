"""Maintain this proxy's view of one database group."""

import dataclasses
import typing as t

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedStatus:
    """Combine a target's status with the time at which it was requested.

    `seen_at` is when the status request was sent, in monotonic seconds.
    `direct` is true if the target answered this proxy and false if a peer passed the
    status on, in which case `seen_at` is only approximate.
    """

    status: TargetStatus
    seen_at: float
    direct: bool = True


class GroupView:
    """Hold the newest status of each target and derive the primary and its term.

    `confirmed_at` is the latest time T (monotonic seconds) such that this proxy polled
    a majority at or after T, which had promised no higher term. `majority_position`
    is the highest position of the current term seen to be held by a majority.
    """

    def __init__(self, service: str, targets: t.Iterable[str]):
        self.service = service
        self.targets = tuple(targets)
        self.term = 0
        self.primary: str | None = None
        self.statuses: dict[str, ObservedStatus] = {}
        self.confirmed_at = float("-inf")
        self.majority_position = ORIGIN

    @property
    def majority_size(self) -> int:
        """Return the number of targets that form a majority."""
        return len(self.targets) // 2 + 1

    @property
    def highest_term(self) -> int:
        """Return the highest term that any target is in or has promised to."""
        seen = (
            max(entry.status.term, entry.status.fenced_term)
            for entry in self.statuses.values()
        )
        return max(seen, default=self.term)

    @property
    def fenced_above_count(self) -> int:
        """Return how many targets have promised to a term above the current one."""
        entries = self.statuses.values()
        return sum(entry.status.fenced_term > self.term for entry in entries)

    def set_targets(self, targets: t.Iterable[str]) -> None:
        """Replace the list of targets and discard the statuses of removed ones."""
        self.targets = tuple(targets)
        for name in set(self.statuses) - set(self.targets):
            del self.statuses[name]
        if self.primary not in self.targets:
            self.primary = None

    def observe(self, target: str, entry: ObservedStatus) -> bool:
        """Record a status if it was requested later than the stored one.

        Return whether the term or the primary changed.
        """
        previous = self.statuses.get(target)
        if target not in self.targets or (
            previous and previous.seen_at >= entry.seen_at
        ):
            return False
        before = (self.term, self.primary)
        self.statuses[target] = entry
        self._update_primary()
        self._update_majority()
        return before != (self.term, self.primary)

    def record_promotion(self, term: int, primary: str) -> bool:
        """Record a promotion unless its term is old; return whether it was recorded."""
        if term <= self.term or primary not in self.targets:
            return False
        self._set_primary(term, primary)
        return True

    def is_in_term(self, target: str) -> bool:
        """Return whether a target is primary or replica in the current term."""
        entry = self.statuses.get(target)
        return entry is not None and _is_in_term(entry.status, self.term)

    def _update_primary(self) -> None:
        for name, entry in self.statuses.items():
            status = entry.status
            if status.role is Role.PRIMARY and status.term >= self.term:
                self._set_primary(status.term, name)
        if self.primary is not None and self._is_deposed(self.primary):
            self.primary = None

    def _set_primary(self, term: int, primary: str) -> None:
        if term > self.term:
            self.majority_position = ORIGIN
        self.term = term
        self.primary = primary

    def _is_deposed(self, primary: str) -> bool:
        entry = self.statuses.get(primary)
        fenced = entry is not None and entry.status.fenced_term > self.term
        return fenced or self.fenced_above_count >= self.majority_size

    def _update_majority(self) -> None:
        confirmations = sorted(
            (
                entry.seen_at
                for entry in self.statuses.values()
                if entry.direct and entry.status.fenced_term <= self.term
            ),
            reverse=True,
        )
        if self.primary is not None and len(confirmations) >= self.majority_size:
            self.confirmed_at = max(
                self.confirmed_at, confirmations[self.majority_size - 1]
            )
        received = sorted(
            (
                entry.status.received
                for entry in self.statuses.values()
                if _is_in_term(entry.status, self.term)
                and entry.status.received.term == self.term
            ),
            reverse=True,
        )
        if len(received) >= self.majority_size:
            position = received[self.majority_size - 1]
            self.majority_position = max(self.majority_position, position)


def _is_in_term(status: TargetStatus, term: int) -> bool:
    return status.term == term and status.fenced_term <= term


def counts_towards(status: TargetStatus, term: int, position: Position) -> bool:
    """Return whether a target in the term holds the position and writes of the term."""
    written_in_term = status.received.term == term
    return _is_in_term(status, term) and written_in_term and status.received >= position
