"""Define what can happen to a request and what follows from it."""

import dataclasses
import enum

from rosemaryridge.codes import Code
from rosemaryridge.model import Outcome


class RequestKind(enum.Enum):
    """Name what a request does, as far as its outcome depends on it."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in transaction"
    COMMIT = "commit"


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """Report that bytes of the request may have left for a target."""

    target: str
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Report that a part of the answer was passed on to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report that the target answered; a streamed answer is not complete yet."""

    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report that the target answered with an error."""

    sqlstate: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Report that the connection broke or stayed silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Report that the connection was closed since its primary leads no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that a part of the proxy refused the request before it was sent."""

    code: Code
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the request's time is up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """Report that a majority holds the write, or confirmed the read's primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmFailed:
    """Report that no majority could be seen."""

    code: Code


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAsked:
    """Report that the caller wants the request cancelled."""


Event = (
    Sent
    | Delivered
    | Answered
    | Failed
    | Lost
    | Replaced
    | Refused
    | DeadlinePassed
    | Confirmed
    | ConfirmFailed
    | CancelAsked
)


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """Go on; nothing follows yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again, away from the target that failed where there is a choice."""

    reason: str
    code: Code


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Ask the group whether a majority stands behind the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTarget:
    """Ask the target to cancel; its answer decides the outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the request; without a code the target's own answer is passed on."""

    outcome: Outcome
    code: Code | None = None
    retry_after_s: float | None = None


Effect = Continue | Retry | Confirm | CancelTarget | Finish
