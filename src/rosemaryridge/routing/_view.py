"""Define the inputs of target selection."""

import dataclasses
import typing as t

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import TargetStatus


class ObservedStatus(t.Protocol):
    """Represent a target's status and the time of its request."""

    @property
    def status(self) -> TargetStatus:
        """Return the status that the target reported."""

    @property
    def seen_at(self) -> float:
        """Return the monotonic time in seconds when the status was requested."""


class GroupView(t.Protocol):
    """Represent the term, the primary and the target statuses of a group."""

    term: int
    primary: str | None

    @property
    def statuses(self) -> t.Mapping[str, ObservedStatus]:
        """Return the last observed status of each target by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequirement:
    """State what a request requires of its target.

    A read requires data at `position` or later and, unless `max_age_s` is None, not
    older than that many seconds. `exclude` names the targets already tried.
    """

    write: bool = False
    position: Position = ORIGIN
    max_age_s: float | None = None
    exclude: frozenset[str] = frozenset()
