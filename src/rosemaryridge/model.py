"""Define the values that every part of the proxy shares."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Order log positions of a group, across changes of primary."""

    term: int = 0
    lsn: int = 0

    def __str__(self) -> str:
        return f"{self.term}/{self.lsn}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Read `term/lsn`; raise ValueError for anything else."""
        term, _, lsn = text.partition("/")
        return cls(int(term), int(lsn))


ORIGIN = Position()


class Role(enum.Enum):
    """Name what a target is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Outcome(enum.Enum):
    """Say whether a request ran."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Locate a process by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Read `host:port`; raise ValueError for anything else."""
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"{text!r} is not host:port")
        return cls(host, int(port))


def target_key(service: str, target: str) -> str:
    """Return a name that is a target's own among all services."""
    return f"{service}/{target}"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Report one target's replication state, as it answered.

    `term` is the term whose primary it is or follows, `fenced_term` the highest
    term it has promised to; it refuses writes and replication of lower ones.
    `received` counts for acknowledging and promoting, `applied` for reads.
    `upstream_silence_s` is the time since a replica last heard from its primary.
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
