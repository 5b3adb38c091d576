"""Carry one candidate through one term."""

from rosemaryridge.group._events import Effect
from rosemaryridge.group._events import Fence
from rosemaryridge.group._events import FenceEnded
from rosemaryridge.group._events import Promote
from rosemaryridge.group._events import PromoteEnded
from rosemaryridge.model import Position
from rosemaryridge.model import TargetStatus

_PROMOTE_TRIES = 2


class Election:
    """Fence a majority of the targets, then promote the one that holds the most.

    `winner` is set once it was promoted, `lost` once it no longer can be. At most
    one target is ever asked to lead in the term.
    """

    def __init__(
        self,
        term: int,
        candidate: str,
        voters: tuple[str, ...],
        majority: int,
        preferred: str | None,
        started_at: float,
    ):
        self.term = term
        self.candidate = candidate
        self.started_at = started_at
        self.winner: str | None = None
        self.lost = False
        self.refused_term = 0
        self._voters = voters
        self._majority = majority
        self._preferred = preferred
        self._fenced: dict[str, TargetStatus] = {}
        self._failed: set[str] = set()
        self._choice: str | None = None
        self._tries = 0

    def begin(self) -> tuple[Effect, ...]:
        """Ask every voter for its promise."""
        return tuple(Fence(name, self.term, self.candidate) for name in self._voters)

    def fence_ended(self, event: FenceEnded) -> tuple[Effect, ...]:
        """Count a voter's answer; promote as soon as a majority is fenced."""
        if event.term != self.term or event.target not in self._voters:
            return ()
        if event.status is None:
            return self._fence_failed(event)
        self._fenced[event.target] = event.status
        if self._choice is not None or len(self._fenced) < self._majority:
            return ()
        self._choice = max(self._fenced, key=self._preference)
        return self._promote()

    def promote_ended(self, event: PromoteEnded) -> tuple[Effect, ...]:
        """Take in whether the chosen target leads; ask again where that is unknown."""
        if event.term != self.term or event.target != self._choice:
            return ()
        if event.status is not None:
            self.winner = event.target
            return ()
        if event.refused or self._tries >= _PROMOTE_TRIES:
            self.lost = True
            return ()
        return self._promote()

    def _fence_failed(self, event: FenceEnded) -> tuple[Effect, ...]:
        self._failed.add(event.target)
        self.refused_term = max(self.refused_term, event.refused_term)
        left = len(self._voters) - len(self._failed)
        self.lost = self.lost or (self._choice is None and left < self._majority)
        return ()

    def _promote(self) -> tuple[Effect, ...]:
        self._tries += 1
        return (Promote(self._choice, self.term, self.candidate),)

    def _preference(self, name: str) -> tuple[Position, bool, bool, str]:
        status = self._fenced[name]
        return (status.received, not status.leaving, name == self._preferred, name)
