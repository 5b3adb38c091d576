"""Define the commands that a proxy sends to a target, and its connection."""

import dataclasses
import typing as t

from rosemaryridge.core._config import Route
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.model import Position


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement.

    A target whose log does not reach `min_position` refuses a read. `name` replaces the
    caller's name of a prepared statement.
    """

    statement: Statement
    min_position: Position | None = None
    name: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction; `min_position` is the minimum log position."""

    read_only: bool = False
    min_position: Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back a transaction."""


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
    """Clear session values and prepared statements."""


Command = Run | Begin | Rollback | SetValue | Prepare | Reset


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """Hold a statement's priority, the lower the more urgent, and its time limits.

    Its answer is of full use until `aim` and of none after `deadline`: times of the
    event loop's clock, at an owner of `boottime`. Without `accepts_late` it is refused
    where it cannot meet its aim.
    """

    priority: int
    aim: float
    deadline: float
    accepts_late: bool = True

    @classmethod
    def of(cls, route: Route, deadline: float) -> "Urgency":
        """Return the urgency of a statement whose route's timeout ends at a time."""
        spare_s = max(0.0, route.timeout_s - route.latency_target_s)
        return cls(route.priority, deadline - spare_s, deadline)


class TargetLink(t.Protocol):
    """Send commands to a target on one connection; answers arrive in their order.

    `values` and `prepared` are the session values and the names of the prepared
    statements that the target stores for the connection.
    """

    values: dict[bytes, bytes]
    prepared: set[bytes]
    # The name of the business that the connection belongs to, empty for none.
    business: str
    # The urgency of the commands that are sent next, None if unknown.
    urgency: Urgency | None
    # The proxy that owns the target's connections, empty on a direct one.
    via: str
    # Whether commands sent together after a SET, PREPARE or BEGIN are not run if it
    # fails.
    stops_at_failure: bool

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended."""

    @property
    def busy(self) -> bool:
        """Return whether answers are outstanding."""

    @property
    def state(self) -> TransactionState:
        """Return the transaction state that the last answer told."""

    def send(self, *commands: Command) -> "list[t.Awaitable[Answer]]":
        """Send commands together; an answer raises TargetLost if it cannot arrive."""

    async def ask_condition(self) -> TargetCondition | None:
        """Return the target's condition, None if it has no free slot to report it."""

    async def step_down(self, term: int) -> TargetCondition | None:
        """Demote a primary of a lower term; return its condition.

        None if the target had no free slot to answer.
        """

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class ConnectFailed(Exception):
    """Report that no connection could be opened.

    `refused` is true if the machine answered that nothing listens; `full` if the
    target has reached its limit of connections; `wrong_target` if another target uses
    the address; `withheld` if this proxy opens no further connection. If none is true,
    there was no answer.
    """

    def __init__(
        self,
        reason: str,
        *,
        refused: bool = False,
        full: bool = False,
        withheld: bool = False,
        wrong_target: bool = False,
    ):
        super().__init__(reason)
        self.refused = refused
        self.full = full
        self.withheld = withheld
        self.wrong_target = wrong_target


# Opens a connection to a target within a time in seconds for a business; raises
# ConnectFailed.
Connect = t.Callable[[TargetInfo, float, str], t.Awaitable[TargetLink]]
