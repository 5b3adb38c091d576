"""Define what a history holds."""

import dataclasses
import enum

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Outcome
from rosemaryridge.model import Position


class Promise(enum.Enum):
    """Name the promises that a history can show broken."""

    DURABLE = "an acknowledged write is there in the end"
    ONCE = "a write runs at most once"
    ATOMIC = "a transaction's rows come together"
    NOT_RUN = "what was refused as not run did not run"
    OWN_WRITES = "a read covers its session's writes"
    MONOTONIC = "a read covers what its session read before"
    LASTING = "what a read showed is there in the end"
    OWN_ANSWER = "a caller gets the answer to its own request"
    ISOLATED = "no transaction mixes with another's"
    CURRENT_TERM = "a replaced primary acknowledges nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of the load's table."""

    session: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Record one write: `rows` rows with the same key, in one transaction.

    Times are monotonic seconds at the caller. `position` is the session's after the
    answer, where it is known.
    """

    session: str
    key: str
    started: float
    ended: float
    outcome: Outcome
    rows: int = 1
    position: Position = ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Record one read of all rows of the caller's session.

    `carried` tells whether the caller could take along what it had read: a token is
    asked for after a read, so a connection that closes in between takes it away.
    """

    session: str
    started: float
    ended: float
    rows: tuple[Row, ...]
    carried: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Stray:
    """Record an error of a transaction that the caller had not opened."""

    session: str
    sqlstate: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """Record that a new primary was seen to lead a term."""

    term: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Hold what all callers saw and what the table held in the end."""

    writes: tuple[Write, ...]
    reads: tuple[Read, ...]
    final: tuple[Row, ...]
    promotions: tuple[Promotion, ...] = ()
    strays: tuple[Stray, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Report one broken promise."""

    promise: Promise
    session: str
    key: str
    detail: str = ""
