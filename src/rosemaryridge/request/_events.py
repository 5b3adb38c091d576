"""Define the events of a request and their effects."""

import dataclasses
import enum

from rosemaryridge.codes import Code
from rosemaryridge.model import Outcome


class RequestKind(enum.Enum):
    """Classify requests by how their outcome is decided."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in transaction"
    COMMIT = "commit"


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """Report that bytes of the request may have been sent to a target."""

    target: str
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Report that a part of the answer was sent to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report that the target answered; a streamed answer may be incomplete."""

    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report that the target answered with an error."""

    sqlstate: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Report that the connection failed or its target was unresponsive."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryReplaced:
    """Report that the connection was closed because its primary was replaced."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the proxy refused an attempt before it was sent."""

    code: Code
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the request's deadline has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """Report that a majority stores the write or confirmed the primary of the read."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmFailed:
    """Report that no majority confirmed the answer."""

    code: Code


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """Report that the caller requested cancellation."""


Event = (
    Sent
    | Delivered
    | Answered
    | Failed
    | ConnectionLost
    | PrimaryReplaced
    | Refused
    | DeadlinePassed
    | Confirmed
    | ConfirmFailed
    | CancelRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """Wait for the next event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request, if possible on a target other than the failed one."""

    reason: str
    code: Code


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Request confirmation of the answer by a majority of the group."""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTarget:
    """Cancel the request at the target, whose answer decides the outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Finish the request; without a code, the target's answer is forwarded."""

    outcome: Outcome
    code: Code | None = None
    retry_after_s: float | None = None


Effect = Continue | Retry | Confirm | CancelTarget | Finish
