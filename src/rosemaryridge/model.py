"""Define the value types that all parts of the proxy share."""

import dataclasses
import enum

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Identify a log position of a group; ordered across changes of primary."""

    term: int = 0
    lsn: int = 0

    def __str__(self) -> str:
        return f"{self.term}/{self.lsn}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Parse `term/lsn`; raise ValueError for other text."""
        term, _, lsn = text.partition("/")
        return cls(int(term), int(lsn))


ORIGIN = Position()


class Role(enum.Enum):
    """Name the role of a target in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Outcome(enum.Enum):
    """Name whether a request was executed."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold the IP address and port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Parse `host:port`; raise ValueError for other text."""
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"invalid address {text!r}: expected host:port")
        number = int(port)
        if not 0 <= number <= MAX_PORT:
            raise ValueError(f"invalid port in address {text!r}")
        return cls(host, number)


def target_key(service: str, target: str) -> str:
    """Return a key that identifies a target across all services."""
    return f"{service}/{target}"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Report the replication state of one target, as the target returned it.

    `term` is the term in which the target is primary or follows one. `fenced_term`
    is the highest term it has accepted; it refuses writes and replication of lower
    terms. `received` is the position that counts for acknowledgement and promotion,
    `applied` the one that counts for reads. `upstream_silence_s` is the time in
    seconds since a replica last heard from its primary.
    """

    target: str
    role: Role
    term: int
    fenced_term: int
    received: Position
    applied: Position
    upstream: str = ""
    upstream_silence_s: float = 0.0
    leaving: bool = False
    writable: bool = False
