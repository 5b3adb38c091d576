"""Define statements, answers and failures, free of any protocol."""

import dataclasses
import enum

from rosemaryridge.model import Position


class Verb(enum.Enum):
    """Name what a statement does."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class TransactionState(enum.Enum):
    """Name the state of a session between two statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Failure(enum.Enum):
    """Name why a statement failed, as callers and targets are told."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_TARGET = "wrong target"
    TOO_MANY_CONNECTIONS = "too many connections"
    ABORTED = "aborted"
    FAILED = "failed"
    TIMEOUT = "timeout"
    UNKNOWN_OUTCOME = "unknown outcome"
    UNKNOWN_STATEMENT = "unknown prepared statement"
    UNKNOWN_DATABASE = "unknown database"
    NOT_AUTHORIZED = "not authorized"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"


# A target that answers one of these has not run the statement.
NOT_RUN = frozenset(
    {
        Failure.BUSY,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.WRONG_TARGET,
        Failure.TOO_MANY_CONNECTIONS,
        Failure.UNKNOWN_STATEMENT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement of a caller.

    `text` is the statement as it was sent. `name` is that of a session value or a
    prepared statement; `rest` is what follows the name. `read_only` holds for a
    read-only BEGIN and for a prepared read.
    """

    id: bytes
    verb: Verb
    text: bytes
    name: bytes = b""
    rest: bytes = b""
    read_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the whole answer to one statement.

    `rows` are kept as they arrived. `signature` is empty where the target signed
    nothing. `position` is that of the target's log after the statement.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    failure: Failure | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None

    @property
    def ok(self) -> bool:
        """Return whether the statement succeeded."""
        return self.failure is None

    def in_state(self, state: TransactionState) -> "Answer":
        """Return the answer as a caller in another transaction state sees it."""
        return dataclasses.replace(self, state=state)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCondition:
    """Report a target's own view of its replication.

    `received` counts for a promotion; a replica may have applied less.
    """

    primary: bool
    term: int
    received: Position
    held_term: int
    lag_s: float
    busy: int
    connections: int


class StatementError(Exception):
    """End a statement with a failure that the caller is told.

    `retry_after_s` says when a repeat may succeed, None where it cannot help.
    """

    def __init__(
        self, failure: Failure, detail: str, retry_after_s: float | None = None
    ):
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.retry_after_s = retry_after_s


class TargetLost(Exception):
    """Report that a target's connection ended before the answer.

    The command may have run, unless the connection had ended before it was `sent`.
    """

    def __init__(self, reason: str, *, sent: bool = True):
        super().__init__(reason)
        self.sent = sent
