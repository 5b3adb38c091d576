"""Keep what is known of one database group."""

import dataclasses
import typing as t

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedStatus:
    """Hold a target's status and when it was asked for, in monotonic seconds.

    `direct` tells an answer to this proxy from one that a peer passed on, whose
    age is known only roughly.
    """

    status: TargetStatus
    seen_at: float
    direct: bool = True


class GroupView:
    """Hold the newest status of each target and what follows from them."""

    def __init__(self, service: str, targets: t.Iterable[str]):
        self.service = service
        self.targets = tuple(targets)
        self.term = 0
        self.primary: str | None = None
        self.statuses: dict[str, ObservedStatus] = {}
        self.confirmed_at = float("-inf")
        self.majority_position = ORIGIN

    @property
    def majority(self) -> int:
        """Return how many targets make a majority."""
        return len(self.targets) // 2 + 1

    @property
    def highest_term(self) -> int:
        """Return the highest term that any target leads, follows or promised to."""
        seen = (
            max(entry.status.term, entry.status.fenced_term)
            for entry in self.statuses.values()
        )
        return max(seen, default=self.term)

    @property
    def fenced_above(self) -> int:
        """Return how many targets are promised to a term above the current one."""
        entries = self.statuses.values()
        return sum(entry.status.fenced_term > self.term for entry in entries)

    def retarget(self, targets: t.Iterable[str]) -> None:
        """Take over a changed list of targets."""
        self.targets = tuple(targets)
        for name in set(self.statuses) - set(self.targets):
            del self.statuses[name]
        if self.primary not in self.targets:
            self.primary = None

    def observe(self, target: str, entry: ObservedStatus) -> bool:
        """Take in a status; return whether the term or the primary changed."""
        held = self.statuses.get(target)
        if target not in self.targets or (held and held.seen_at >= entry.seen_at):
            return False
        before = (self.term, self.primary)
        self.statuses[target] = entry
        self._elect()
        self._confirm()
        return before != (self.term, self.primary)

    def announce(self, term: int, primary: str) -> bool:
        """Take in who was promoted; return whether that is news."""
        if term <= self.term or primary not in self.targets:
            return False
        self._lead(term, primary)
        return True

    def follows(self, target: str) -> bool:
        """Return whether a target leads or follows in the current term."""
        entry = self.statuses.get(target)
        return entry is not None and _in_term(entry.status, self.term)

    def _elect(self) -> None:
        for name, entry in self.statuses.items():
            status = entry.status
            if status.role is Role.PRIMARY and status.term >= self.term:
                self._lead(status.term, name)
        if self.primary is not None and self._deposed(self.primary):
            self.primary = None

    def _lead(self, term: int, primary: str) -> None:
        if term > self.term:
            self.majority_position = ORIGIN
        self.term = term
        self.primary = primary

    def _deposed(self, primary: str) -> bool:
        entry = self.statuses.get(primary)
        fenced = entry is not None and entry.status.fenced_term > self.term
        return fenced or self.fenced_above >= self.majority

    def _confirm(self) -> None:
        agreeing = sorted(
            (
                entry.seen_at
                for entry in self.statuses.values()
                if entry.direct and entry.status.fenced_term <= self.term
            ),
            reverse=True,
        )
        if self.primary is not None and len(agreeing) >= self.majority:
            self.confirmed_at = max(self.confirmed_at, agreeing[self.majority - 1])
        held = sorted(
            (
                entry.status.received
                for entry in self.statuses.values()
                if _in_term(entry.status, self.term)
                and entry.status.received.term == self.term
            ),
            reverse=True,
        )
        if len(held) >= self.majority:
            position = held[self.majority - 1]
            self.majority_position = max(self.majority_position, position)


def _in_term(status: TargetStatus, term: int) -> bool:
    return status.term == term and status.fenced_term <= term


def holds(status: TargetStatus, term: int, position: Position) -> bool:
    """Return whether a target counts towards a position's majority in a term."""
    written_in_term = status.received.term == term
    return _in_term(status, term) and written_in_term and status.received >= position
