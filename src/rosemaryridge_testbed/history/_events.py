"""Define the events of a history and the findings of its check."""

import dataclasses
import enum

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Outcome
from rosemaryridge.model import Position


class Promise(enum.Enum):
    """Name the promises that a check of a history covers."""

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
    """Identify a row of the load's table by its session and key."""

    session: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Record one write: `rows` rows with the same key, in one transaction.

    Times are monotonic seconds at the caller. `position` is the session's position
    after the answer, or `ORIGIN` if the caller did not receive it.
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

    Times are monotonic seconds at the caller. `binds_later_reads` is False if the
    caller has no token that covers the read: a token is requested after a read, so
    a connection that closes in between loses the token.
    """

    session: str
    started: float
    ended: float
    rows: tuple[Row, ...]
    binds_later_reads: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Stray:
    """Record a transaction error received by a caller without an open transaction."""

    session: str
    sqlstate: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """Record when, in monotonic seconds, a primary of a new term was first seen."""

    term: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Hold the events of all callers and the final rows of the table."""

    writes: tuple[Write, ...]
    reads: tuple[Read, ...]
    final: tuple[Row, ...]
    promotions: tuple[Promotion, ...] = ()
    strays: tuple[Stray, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Report one violation of a promise."""

    promise: Promise
    session: str
    key: str
    detail: str = ""
