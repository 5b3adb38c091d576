"""Define the events of the failover state machine and the effects that it returns."""

import dataclasses
import enum

from rosemaryridge.model import TargetStatus


class Cause(enum.Enum):
    """Name the reason for a takeover; the log shows the value."""

    UNRESPONSIVE = "silent to this proxy and to its replicas"
    UNREACHABLE = "silent to a majority of the watchers"
    ISOLATED = "followed by no majority"
    NO_PRIMARY = "no target leads"
    DRAINING = "leaving"
    REPAIR = "a target is promised to a higher term"


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Report that a tick of the timer has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankChanged:
    """Report this proxy's rank among a group's watchers, None if it does not watch."""

    rank: int | None
    watcher_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReceived:
    """Report an answer to a status request; the view has recorded it before.

    `sent_at` is the monotonic time in seconds at which the request was sent.
    """

    target: str
    status: TargetStatus
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusFailed:
    """Report a status request, sent at monotonic `sent_at`, that got no answer."""

    target: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSuspected:
    """Report that a caller's request raised suspicion against a target.

    All targets of the group are polled, whichever `target` is.
    """

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedSilence:
    """Report how long a primary has been unresponsive to another watcher."""

    vm: str
    primary: str
    term: int
    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBeganTakeover:
    """Report that another watcher has begun a takeover."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceEnded:
    """Report the outcome of a fence request; `status` is None if it was not granted.

    `refused_term` is the higher of the requested term and the term that the target has
    promised; 0 if the target did not refuse.
    """

    target: str
    term: int
    status: TargetStatus | None = None
    refused_term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteEnded:
    """Report the outcome of a promotion.

    `status` is None if the target refused it (`refused`) or its outcome is unknown.
    """

    target: str
    term: int
    status: TargetStatus | None = None
    refused: bool = False


Event = (
    Tick
    | RankChanged
    | StatusReceived
    | StatusFailed
    | TargetSuspected
    | PeerReportedSilence
    | PeerBeganTakeover
    | FenceEnded
    | PromoteEnded
)


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Request a target's status as soon as possible."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Make a target promise a term to a candidate."""

    target: str
    term: int
    candidate: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Make a fenced target the primary."""

    target: str
    term: int
    candidate: str


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Make a target a replica of the term's primary."""

    target: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSilence:
    """Report to the other watchers how long the primary has been unresponsive.

    A `silence_s` of 0.0 withdraws the report.
    """

    primary: str
    term: int
    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceTakeover:
    """Announce a takeover to the other watchers, which then postpone their own."""

    term: int
    cause: Cause


@dataclasses.dataclass(frozen=True, slots=True)
class LogFailedTakeover:
    """Log that a takeover failed: no promotion was confirmed."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncePromotion:
    """Announce a promotion to every proxy."""

    term: int
    primary: str


Effect = (
    Poll
    | Fence
    | Promote
    | Follow
    | ReportSilence
    | AnnounceTakeover
    | LogFailedTakeover
    | AnnouncePromotion
)
