"""Hold the pools of every target."""

import asyncio
import itertools
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config import PoolSettings
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.pool._connections import Check
from rosemaryridge.pool._connections import Connect
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._target import PoolLease
from rosemaryridge.pool._target import TargetPool
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

_SWEEP_PERIOD_S = 10.0

Key = tuple[str, str]


def base_share(cfg: PoolSettings, target: TargetConfig) -> int:
    """Return the connections to a target that each proxy may always use."""
    total = max(0, target.max_connections - cfg.reserved_connections)
    return int(total * cfg.base_ratio) // cfg.fleet_size


def lendable(cfg: PoolSettings, target: TargetConfig) -> int:
    """Return the connections to a target that are no proxy's base share."""
    total = max(0, target.max_connections - cfg.reserved_connections)
    return total - cfg.fleet_size * base_share(cfg, target)


class Pools:
    """Hand out connections to every target within this proxy's share."""

    def __init__(
        self,
        cfg: PoolSettings,
        timer: TimerService,
        rng: random.Random,
        connect: Connect,
        metrics: Metrics,
        check: Check | None = None,
    ):
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._connect = connect
        self._check = check
        self._metrics = metrics
        self._pools: dict[Key, TargetPool] = {}
        self._leased: dict[Key, int] = {}
        self._services: dict[str, ServiceConfig] = {}
        self._waiters = itertools.count()
        self._sweep = timer.every(_SWEEP_PERIOD_S, self._close_stale, 0.5, rng)

    def adopt(self, service: ServiceConfig) -> None:
        """Take over a new or changed service."""
        self._services[service.name] = service
        for target in service.targets:
            leased = self._leased.get((service.name, target.name), 0)
            limit = base_share(self._cfg, target) + leased
            self._adopt_target(service, target, limit)
        names = {target.name for target in service.targets}
        for key in [k for k in self._pools if k[0] == service.name]:
            if key[1] not in names:
                self._pools.pop(key).close_idle()

    def set_leased(self, key: Key, units: int) -> None:
        """Set how many connections to a target are leased for new work."""
        self._leased[key] = units
        pool = self._pools.get(key)
        if pool is not None:
            pool.resize(base_share(self._cfg, pool.target) + units)

    def enforce(self, key: Key, units: int) -> None:
        """Cut the connections in use beyond the base share and a lease."""
        pool = self._pools.get(key)
        if pool is not None:
            pool.enforce(base_share(self._cfg, pool.target) + units)

    def wanted(self) -> dict[Key, int]:
        """Return the connections beyond the base share that recent work needs."""
        found = {}
        for key, pool in self._pools.items():
            most = lendable(self._cfg, pool.target)
            peak = pool.slots.collect_peak() - base_share(self._cfg, pool.target)
            if peak > 0 and most > 0:
                found[key] = min(peak, most)
        return found

    def starving(self) -> bool:
        """Return whether requests wait for a slot."""
        return any(pool.slots.waiting for pool in self._pools.values())

    def lendable(self, key: Key) -> int:
        """Return the connections to a target that can be lent, 0 if unknown."""
        pool = self._pools.get(key)
        return lendable(self._cfg, pool.target) if pool else 0

    def pool(self, service: str, target: str) -> TargetPool:
        """Return the pool of one target; raise Refusal where it is unknown."""
        pool = self._pools.get((service, target))
        if pool is None:
            self._metrics.refuse(codes.limits.NO_TARGET, service)
            raise Refusal(codes.limits.NO_TARGET, f"target {target} is unknown")
        return pool

    def services(self) -> t.Mapping[str, ServiceConfig]:
        """Return every service by name."""
        return self._services

    def pools(self) -> t.Mapping[Key, TargetPool]:
        """Return every pool by service and target."""
        return self._pools

    async def acquire(
        self,
        service: str,
        target: str,
        business: str,
        priority: Priority,
        deadline: float,
    ) -> PoolLease:
        """Wait for a connection until a monotonic deadline; raise Refusal."""
        entry = Entry(next(self._waiters), business, priority, deadline)
        return await self.pool(service, target).acquire(entry)

    async def close(self) -> None:
        """Close every idle connection."""
        self._sweep.cancel()
        for pool in self._pools.values():
            pool.close_idle()
        await asyncio.gather(*(pool.closed() for pool in self._pools.values()))

    def _adopt_target(
        self, service: ServiceConfig, target: TargetConfig, limit: int
    ) -> None:
        key = (service.name, target.name)
        if key in self._pools:
            self._pools[key].adopt(service, target, limit)
            return
        self._pools[key] = TargetPool(
            self._cfg,
            self._timer,
            self._rng,
            self._connect,
            self._check,
            self._metrics,
            service,
            target,
            limit,
        )

    def _close_stale(self) -> None:
        for pool in self._pools.values():
            pool.close_stale()
