"""Define the components that serving a statement needs."""

import collections
import dataclasses
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config import FaultSettings
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Position
from rosemaryridge.pool import Pools
from rosemaryridge.pool import RetryBudget
from rosemaryridge.proxy._adaptive_timeout import AdaptiveTimeout
from rosemaryridge.proxy._placement import InFlight
from rosemaryridge.request import ServicePolicy
from rosemaryridge.routing import Router
from rosemaryridge.session import ReadBound
from rosemaryridge.sql import StatementCache
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService
from rosemaryridge.wire import Description

_MAX_STATEMENTS = 4096
_MAX_DESCRIPTIONS = 4096
_MAX_DESCRIPTION_AGE_S = 30.0
_NO_FAULTS = FaultSettings()


class Group(t.Protocol):
    """Track each service's primary and acknowledge positions that a majority holds."""

    def view(self, service: str) -> t.Any:
        """Return the latest view of a service's group."""

    async def acknowledge(
        self, service: str, target: str, term: int, deadline: float
    ) -> Position:
        """Return the primary's position once a majority holds it; raise Refusal."""

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Report evidence of a target failure from the data path."""


class Directory(t.Protocol):
    """Store the positions that named sessions require, shared by all proxies."""

    async def find(self, service: str, session: str) -> ReadBound | None:
        """Return what a session requires; None if it must read from the primary."""

    async def record(
        self, service: str, session: str, position: Position, deadline: float
    ) -> None:
        """Record the position that a session has written or read; raise Refusal."""

    async def mark(
        self,
        service: str,
        session: str,
        position: Position,
        replica: str,
        deadline: float,
    ) -> None:
        """Record which replica a session reads from; raise Refusal."""


class DescriptionCache:
    """Cache the descriptions of recently described statements.

    A statement whose types have changed since fails when it runs, as on PostgreSQL
    itself.
    """

    def __init__(
        self, size: int = _MAX_DESCRIPTIONS, max_age_s: float = _MAX_DESCRIPTION_AGE_S
    ):
        self._size = size
        self._max_age_s = max_age_s
        self._entries: collections.OrderedDict[tuple, tuple[float, Description]] = (
            collections.OrderedDict()
        )

    def get(self, key: tuple, now: float) -> Description | None:
        """Return the description of a statement unless it is missing or too old."""
        at, description = self._entries.get(key, (0.0, None))
        return description if now - at <= self._max_age_s else None

    def put(self, key: tuple, description: Description, now: float) -> None:
        """Store a description; evict the oldest one if the cache is full."""
        self._entries[key] = (now, description)
        self._entries.move_to_end(key)
        if len(self._entries) > self._size:
            self._entries.popitem(last=False)

    def invalidate(self, key: tuple) -> None:
        """Remove the description of a statement whose types changed."""
        self._entries.pop(key, None)


@dataclasses.dataclass(slots=True)
class ProxyContext:
    """Hold the components that serving a statement needs."""

    cfg: ProxySettings
    timer: TimerService
    rng: random.Random
    metrics: Metrics
    pools: Pools
    router: Router
    group: Group
    directory: Directory
    budget: RetryBudget
    adaptive_timeout: AdaptiveTimeout
    statements: StatementCache = dataclasses.field(
        default_factory=lambda: StatementCache(_MAX_STATEMENTS)
    )
    descriptions: DescriptionCache = dataclasses.field(default_factory=DescriptionCache)
    in_flight: InFlight = dataclasses.field(default_factory=InFlight)
    policies: dict[str, ServicePolicy] = dataclasses.field(default_factory=dict)

    @property
    def faults(self) -> FaultSettings:
        """Return the test-only fault switches; all off unless faults are enabled."""
        return self.cfg.faults if self.cfg.faults.enabled else _NO_FAULTS

    def policy(self, service: str) -> ServicePolicy:
        """Return the current policy of a service; raise Refusal if it is unknown."""
        policy = self.policies.get(service)
        if policy is None:
            text = f'database "{service}" does not exist'
            raise Refusal(codes.caller.UNKNOWN_SERVICE, text)
        return policy

    def adopt(self, service: ServiceConfig) -> None:
        """Apply a new or changed service configuration."""
        self.policies[service.name] = ServicePolicy(service)
