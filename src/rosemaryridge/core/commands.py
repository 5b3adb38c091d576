"""Define what a proxy sends to a target."""

import dataclasses
import typing as t

from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.model import Position


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement, a read only on a log that holds `after`.

    `name` replaces the caller's name of a prepared statement.
    """

    statement: Statement
    after: Position | None = None
    name: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction, only on a log that holds `after`."""

    read_only: bool = False
    after: Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """End a transaction without a change."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement."""

    name: bytes
    read_only: bool
    shape: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Forget session values and prepared statements."""


Command = Run | Begin | Rollback | SetValue | Prepare | Reset


class Link(t.Protocol):
    """Be one connection to a target; answers come in the order of the commands.

    `values` and `prepared` are what the target keeps for the connection.
    """

    values: dict[bytes, bytes]
    prepared: set[bytes]

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended."""

    @property
    def busy(self) -> bool:
        """Return whether answers are outstanding."""

    def send(self, *commands: Command) -> "list[t.Awaitable[Answer]]":
        """Send commands at once; each answer raises TargetLost if it cannot come."""

    async def ask_condition(self) -> TargetCondition | None:
        """Return the target's condition, None where it has no slot to tell it."""

    async def step_down(self, term: int) -> TargetCondition | None:
        """Make a primary of a lower term a replica; return its condition or None."""

    def close(self) -> None:
        """End the connection; the target rolls an open transaction back."""


class ConnectFailed(Exception):
    """Report that no connection could be opened.

    `refused` holds where the machine answered that nothing listens; `full` where
    the target has as many connections as it takes; `wrong` where another target
    uses the address. Otherwise nothing answered.
    """

    def __init__(
        self,
        reason: str,
        *,
        refused: bool = False,
        full: bool = False,
        wrong: bool = False,
    ):
        super().__init__(reason)
        self.refused = refused
        self.full = full
        self.wrong = wrong


Connect = t.Callable[[TargetInfo, float], t.Awaitable[Link]]
