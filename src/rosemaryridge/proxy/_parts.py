"""Name the parts that serving a statement needs."""

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
from rosemaryridge.proxy._patience import Patience
from rosemaryridge.proxy._placement import InFlight
from rosemaryridge.request import ServicePolicy
from rosemaryridge.routing import Router
from rosemaryridge.session import Found
from rosemaryridge.sql import StatementCache
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService
from rosemaryridge.wire import Description

_STATEMENTS = 4096
_DESCRIPTIONS = 4096
_MAX_AGE_S = 30.0
_NO_FAULTS = FaultSettings()


class Group(t.Protocol):
    """Know each service's primary and acknowledge what a majority holds."""

    def view(self, service: str) -> t.Any:
        """Return the newest view of a service's group."""

    async def acknowledge(
        self, service: str, target: str, term: int, deadline: float
    ) -> Position:
        """Return the primary's position once a majority holds it; raise Refusal."""

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Take evidence against a target from the data path."""


class Directory(t.Protocol):
    """Remember what named sessions must see, across proxies."""

    async def find(self, service: str, session: str) -> Found | None:
        """Return what a session must see; None where only the primary will do."""

    async def record(
        self, service: str, session: str, position: Position, deadline: float
    ) -> None:
        """Note what a session has written or seen; raise Refusal."""

    async def mark(
        self,
        service: str,
        session: str,
        position: Position,
        replica: str,
        deadline: float,
    ) -> None:
        """Note which replica a session reads from; raise Refusal."""


class DescriptionCache:
    """Remember the types of the statements described last, for a short time.

    A statement whose types have changed since fails when it is run, as it does on
    PostgreSQL itself.
    """

    def __init__(self, size: int = _DESCRIPTIONS, max_age_s: float = _MAX_AGE_S):
        self._size = size
        self._max_age_s = max_age_s
        self._entries: collections.OrderedDict[tuple, tuple[float, Description]] = (
            collections.OrderedDict()
        )

    def get(self, key: tuple, now: float) -> Description | None:
        """Return what is known of a statement."""
        at, description = self._entries.get(key, (0.0, None))
        return description if now - at <= self._max_age_s else None

    def put(self, key: tuple, description: Description, now: float) -> None:
        """Remember a statement's types in place of the oldest."""
        self._entries[key] = (now, description)
        self._entries.move_to_end(key)
        if len(self._entries) > self._size:
            self._entries.popitem(last=False)

    def forget(self, key: tuple) -> None:
        """Forget a statement whose types changed."""
        self._entries.pop(key, None)


@dataclasses.dataclass(slots=True)
class Parts:
    """Hold the parts that serving a statement needs."""

    cfg: ProxySettings
    timer: TimerService
    rng: random.Random
    metrics: Metrics
    pools: Pools
    router: Router
    group: Group
    directory: Directory
    budget: RetryBudget
    patience: Patience
    statements: StatementCache = dataclasses.field(
        default_factory=lambda: StatementCache(_STATEMENTS)
    )
    descriptions: DescriptionCache = dataclasses.field(default_factory=DescriptionCache)
    in_flight: InFlight = dataclasses.field(default_factory=InFlight)
    policies: dict[str, ServicePolicy] = dataclasses.field(default_factory=dict)

    @property
    def faults(self) -> FaultSettings:
        """Return the test-only fault switches, all off unless they are enabled."""
        return self.cfg.faults if self.cfg.faults.enabled else _NO_FAULTS

    def policy(self, service: str) -> ServicePolicy:
        """Return a service's policy in force; raise Refusal."""
        policy = self.policies.get(service)
        if policy is None:
            text = f'database "{service}" does not exist'
            raise Refusal(codes.caller.UNKNOWN_SERVICE, text)
        return policy

    def adopt(self, service: ServiceConfig) -> None:
        """Take over a new or changed service."""
        self.policies[service.name] = ServicePolicy(service)
