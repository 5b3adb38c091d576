"""Define the routes and services that the operator has put in force."""

import dataclasses
import enum
import types
import typing as t


class Consistency(enum.Enum):
    """Name what a read must see.

    PRIMARY: every acknowledged commit. BOUNDED: those older than the bound.
    SESSION: those older than the bound, and all of the same session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Send the statements for one database to a service."""

    database: bytes
    service: str
    consistency: Consistency
    timeout_s: float
    latency_target_s: float
    priority: int
    max_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """Hold one version of the operator's configuration."""

    version: int
    routes: t.Mapping[bytes, Route]
    connection_limits: t.Mapping[str, int]
    transaction_idle_s: float


EMPTY_CONFIG = FleetConfig(
    -1, types.MappingProxyType({}), types.MappingProxyType({}), 3.0
)


class ConfigHolder:
    """Keep the newest configuration seen; a lower version never replaces it."""

    def __init__(self) -> None:
        self.current = EMPTY_CONFIG

    @property
    def known(self) -> bool:
        """Return whether any version is in force."""
        return self.current is not EMPTY_CONFIG

    def offer(self, config: FleetConfig) -> bool:
        """Adopt a newer version; return whether it was newer."""
        if config.version <= self.current.version:
            return False
        self.current = config
        return True
