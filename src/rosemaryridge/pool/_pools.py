"""Hold the pools of every target."""

import asyncio
import itertools
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.pool._connections import Check
from rosemaryridge.pool._connections import Connect
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._settings import PoolSettings
from rosemaryridge.pool._target import PoolLease
from rosemaryridge.pool._target import TargetPool
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

_SWEEP_PERIOD_S = 10.0

Key = tuple[str, str]


def base_share(target: TargetConfig, proxies: int, reserved: int) -> int:
    """Return the connections to a target that each of some proxies may always use."""
    return max(1, (target.max_connections - reserved) // max(1, proxies))


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
        self._waiters = itertools.count()
        self._sweep = timer.every(_SWEEP_PERIOD_S, self._close_stale, 0.5, rng)

    def adopt(self, service: ServiceConfig, live_proxies: int) -> None:
        """Take over a new or changed service, shared among `live_proxies`."""
        for target in service.targets:
            limit = base_share(target, live_proxies, self._cfg.reserved_connections)
            self._adopt_target(service, target, limit)
        names = {target.name for target in service.targets}
        for key in [k for k in self._pools if k[0] == service.name]:
            if key[1] not in names:
                self._pools.pop(key).close_idle()

    def resize(self, service: str, target: str, limit: int) -> None:
        """Set how many connections to a target this proxy may have open."""
        pool = self._pools.get((service, target))
        if pool is not None:
            pool.resize(limit)

    def pool(self, service: str, target: str) -> TargetPool:
        """Return the pool of one target; raise Refusal where it is unknown."""
        pool = self._pools.get((service, target))
        if pool is None:
            self._metrics.refuse(codes.limits.NO_TARGET, service)
            raise Refusal(codes.limits.NO_TARGET, f"target {target} is unknown")
        return pool

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
