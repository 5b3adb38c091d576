"""Define what the failover aggregate takes in and asks for."""

import dataclasses
import enum

from rosemaryridge.model import TargetStatus


class Cause(enum.Enum):
    """Name why a primary is replaced."""

    SILENT = "silent to this proxy and to its replicas"
    UNREACHABLE = "silent to a majority of the watchers"
    ISOLATED = "followed by no majority"
    NO_PRIMARY = "no target leads"
    DRAINING = "leaving"
    REPAIR = "a target is promised to a higher term"


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Tell that time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ranked:
    """Tell this proxy's rank among a group's watchers, None where it is none."""

    rank: int | None
    watchers: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSeen:
    """Tell of an answer that the view has taken in."""

    target: str
    status: TargetStatus
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusFailed:
    """Tell of a status request that got no answer."""

    target: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Tell that a request found a target silent or broken."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReported:
    """Tell how long a primary has been silent to another watcher."""

    vm: str
    primary: str
    term: int
    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTakeover:
    """Tell that another watcher has begun a takeover."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceEnded:
    """Tell how a fence request ended; no status where it was not granted."""

    target: str
    term: int
    status: TargetStatus | None = None
    refused_term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteEnded:
    """Tell how a promote request ended; no status where it is not known to be done."""

    target: str
    term: int
    status: TargetStatus | None = None
    refused: bool = False


Event = (
    Tick
    | Ranked
    | StatusSeen
    | StatusFailed
    | Suspected
    | PeerReported
    | PeerTakeover
    | FenceEnded
    | PromoteEnded
)


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Ask a target for its status now."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Ask a target for its promise."""

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
class Report:
    """Tell the other watchers how long the primary has been silent here."""

    primary: str
    term: int
    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverBegan:
    """Tell the other watchers to leave this takeover its time."""

    term: int
    cause: Cause


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverFailed:
    """Record that a takeover ended without a primary."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Led:
    """Tell every proxy who was promoted."""

    term: int
    primary: str


Effect = Poll | Fence | Promote | Follow | Report | TakeoverBegan | TakeoverFailed | Led
