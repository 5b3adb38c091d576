"""Run the election of one candidate in one term."""

from rosemaryridge.group._events import Effect
from rosemaryridge.group._events import Fence
from rosemaryridge.group._events import FenceEnded
from rosemaryridge.group._events import Promote
from rosemaryridge.group._events import PromoteEnded
from rosemaryridge.model import Position
from rosemaryridge.model import TargetStatus

_MAX_PROMOTE_ATTEMPTS = 2


class Election:
    """Fence a majority of the targets, then promote the one with the newest log.

    `winner` is the promoted target, None before; `lost` is true once no target can
    be promoted any more. At most one target is asked to become primary in the term.
    """

    def __init__(
        self,
        term: int,
        candidate: str,
        voters: tuple[str, ...],
        majority: int,
        previous_primary: str | None,
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
        self._previous_primary = previous_primary
        self._fenced: dict[str, TargetStatus] = {}
        self._failed: set[str] = set()
        self._chosen: str | None = None
        self._attempts = 0

    def begin(self) -> tuple[Effect, ...]:
        """Return the fence requests to all voters."""
        return tuple(Fence(name, self.term, self.candidate) for name in self._voters)

    def on_fence_ended(self, event: FenceEnded) -> tuple[Effect, ...]:
        """Record a voter's answer; promote as soon as a majority is fenced."""
        if event.term != self.term or event.target not in self._voters:
            return ()
        if event.status is None:
            return self._on_fence_failed(event)
        self._fenced[event.target] = event.status
        if self._chosen is not None or len(self._fenced) < self._majority:
            return ()
        self._chosen = max(self._fenced, key=self._promotion_key)
        return self._promote()

    def on_promote_ended(self, event: PromoteEnded) -> tuple[Effect, ...]:
        """Record the outcome of a promotion; retry it if the outcome is unknown."""
        if event.term != self.term or event.target != self._chosen:
            return ()
        if event.status is not None:
            self.winner = event.target
            return ()
        if event.refused or self._attempts >= _MAX_PROMOTE_ATTEMPTS:
            self.lost = True
            return ()
        return self._promote()

    def _on_fence_failed(self, event: FenceEnded) -> tuple[Effect, ...]:
        self._failed.add(event.target)
        self.refused_term = max(self.refused_term, event.refused_term)
        possible = len(self._voters) - len(self._failed)
        self.lost = self.lost or (self._chosen is None and possible < self._majority)
        return ()

    def _promote(self) -> tuple[Effect, ...]:
        self._attempts += 1
        return (Promote(self._chosen, self.term, self.candidate),)

    def _promotion_key(self, name: str) -> tuple[Position, bool, bool, str]:
        status = self._fenced[name]
        return (
            status.received,
            not status.leaving,
            name == self._previous_primary,
            name,
        )
