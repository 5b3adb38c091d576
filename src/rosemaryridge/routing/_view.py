"""Define what the choice of a target reads."""

import dataclasses
import typing as t

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import TargetStatus


class ObservedStatus(t.Protocol):
    """Hold a target's status and when it was asked for."""

    @property
    def status(self) -> TargetStatus:
        """Return what the target answered."""

    @property
    def seen_at(self) -> float:
        """Return the monotonic time in seconds when the request was sent."""


class GroupView(t.Protocol):
    """Know who leads a group and where its targets are."""

    term: int
    primary: str | None

    @property
    def statuses(self) -> t.Mapping[str, ObservedStatus]:
        """Return the last status of each target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Say what a request needs of its target.

    `position` is what a read must cover; `max_age_s` is the greatest age of the
    data in seconds, None where only the position binds; `exclude` holds targets
    that were tried before.
    """

    write: bool = False
    position: Position = ORIGIN
    max_age_s: float | None = None
    exclude: frozenset[str] = frozenset()
