"""Define statements, answers and failures, independent of any protocol."""

import dataclasses
import enum

from rosemaryridge.model import Position


class Verb(enum.Enum):
    """Enumerate the kinds of statements."""

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
    """Enumerate the transaction states of a session between two statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Failure(enum.Enum):
    """Enumerate the reasons why a statement fails, for callers and from targets."""

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


# Failures with which a target guarantees that it did not run the statement.
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

    `text` is the statement as it was sent. `name` is the name of a session value or a
    prepared statement; `rest` is the value of SET, the shape of PREPARE or the
    arguments of EXECUTE. `read_only` is true for READ, a read-only BEGIN and the
    PREPARE of a read.
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

    `rows` are the unmodified rows. `signature` is the token with which the target
    signs a success; empty if it sent none. `position` is the position of the target's
    log after the statement. `retry_after_s` is set on a refusal of this system, which
    knows that the statement cannot be served before its deadline, and when it can.
    `sent` is false if the target refused what had to precede the statement.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    failure: Failure | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
    retry_after_s: float | None = None
    sent: bool = True

    @property
    def ok(self) -> bool:
        """Return whether the statement succeeded."""
        return self.failure is None

    def in_state(self, state: TransactionState) -> "Answer":
        """Return a copy of the answer with another transaction state."""
        return dataclasses.replace(self, state=state)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCondition:
    """Report the replication state of a target as the target sees it.

    `term` is the target's term. A promotion compares `received`; a replica may have
    applied less of its log. `held_term` is the term of a pause, during which a replica
    receives no commits of older terms. `lag_s` is the lag behind the primary in
    seconds, `busy` the number of occupied slots, `connections` that of open
    connections.
    """

    primary: bool
    term: int
    received: Position
    held_term: int
    lag_s: float
    busy: int
    connections: int


class StatementError(Exception):
    """End a statement with a failure that is sent to the caller.

    `retry_after_s` is the delay after which a retry may succeed, None if no delay is
    suggested.
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

    The command may have run, unless `sent` is false: then the connection had ended
    before the command was sent.
    """

    def __init__(self, reason: str, *, sent: bool = True):
        super().__init__(reason)
        self.sent = sent
