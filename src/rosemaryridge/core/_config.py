"""Define the routes and limits of the operator's configuration."""

import dataclasses
import enum
import types
import typing as t

from rosemaryridge.core.businesses import Business
from rosemaryridge.core.businesses import KeyRing


class Consistency(enum.Enum):
    """Define which acknowledged commits a read must see.

    PRIMARY: all commits. BOUNDED: commits older than the route's age bound. SESSION:
    commits older than the bound, and all commits of the same session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Map a database to the service that runs its statements.

    `max_age_s` is the age bound of reads. A lower `priority` value is more urgent.
    """

    database: bytes
    service: str
    consistency: Consistency
    timeout_s: float
    latency_target_s: float
    priority: int
    max_age_s: float = 0.0
    # Whether callers without a known key are served.
    open_to_all: bool = False
    # How often callers repeat an operation; proxies do not use it.
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """Hold one version of the operator's configuration.

    `connection_limits` maps a service to the connections that each target accepts,
    `sync_replicas` to the replicas that receive a commit before it is acknowledged.
    `has_businesses` is whether the configuration lists businesses, even if the list is
    empty: callers then need a key.
    """

    version: int
    routes: t.Mapping[bytes, Route]
    connection_limits: t.Mapping[str, int]
    transaction_idle_s: float
    key_ring: KeyRing = KeyRing()
    sync_replicas: t.Mapping[str, int] = dataclasses.field(default_factory=dict)
    has_businesses: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDraft:
    """Hold a configuration as it was written, duplicates included.

    `listed_businesses` holds each business with its keys, None without a list.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: tuple[tuple[str, int], ...]
    transaction_idle_s: float
    listed_businesses: tuple[tuple[Business, tuple[str, ...]], ...] | None
    sync_replicas: tuple[tuple[str, int], ...] = ()

    @property
    def businesses(self) -> tuple[tuple[Business, tuple[str, ...]], ...]:
        """Return each business with its keys."""
        return self.listed_businesses or ()

    def build(self) -> FleetConfig:
        """Return the configuration that proxies use; the last duplicate holds."""
        return FleetConfig(
            self.version,
            types.MappingProxyType({route.database: route for route in self.routes}),
            types.MappingProxyType(dict(self.connection_limits)),
            self.transaction_idle_s,
            KeyRing(self.businesses),
            types.MappingProxyType(dict(self.sync_replicas)),
            self.listed_businesses is not None,
        )


EMPTY_CONFIG = FleetConfig(
    -1, types.MappingProxyType({}), types.MappingProxyType({}), 3.0
)


class ConfigHolder:
    """Hold the newest configuration; a lower version never replaces it."""

    def __init__(self) -> None:
        self.current = EMPTY_CONFIG

    @property
    def is_received(self) -> bool:
        """Return whether any configuration has been received."""
        return self.current is not EMPTY_CONFIG

    def offer(self, config: FleetConfig) -> bool:
        """Adopt a configuration if its version is newer; return whether it was."""
        if config.version <= self.current.version:
            return False
        self.current = config
        return True
