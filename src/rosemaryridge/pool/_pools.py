"""Manage the connection pools of all targets."""

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
from rosemaryridge.pool._target import PooledConnection
from rosemaryridge.pool._target import TargetPool
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

_CLOSE_STALE_PERIOD_S = 10.0

Key = tuple[str, str]


def base_share(cfg: PoolSettings, target: TargetConfig) -> int:
    """Return the number of connections to a target that each proxy may always use."""
    total = max(0, target.max_connections - cfg.reserved_connections)
    return int(total * cfg.base_ratio) // cfg.fleet_size


def lendable(cfg: PoolSettings, target: TargetConfig) -> int:
    """Return the number of connections to a target beyond all base shares."""
    total = max(0, target.max_connections - cfg.reserved_connections)
    return total - cfg.fleet_size * base_share(cfg, target)


class Pools:
    """Provide connections to all targets, limited by base shares and leases."""

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
        self._waiter_ids = itertools.count()
        self._stale_timer = timer.every(
            _CLOSE_STALE_PERIOD_S, self._close_stale, 0.5, rng
        )

    def adopt(self, service: ServiceConfig) -> None:
        """Apply a new or changed service configuration."""
        self._services[service.name] = service
        for target in service.targets:
            leased = self._leased.get((service.name, target.name), 0)
            limit = base_share(self._cfg, target) + leased
            self._adopt_target(service, target, limit)
        target_names = {target.name for target in service.targets}
        for key in [key for key in self._pools if key[0] == service.name]:
            if key[1] not in target_names:
                self._pools.pop(key).close_idle()

    def set_leased(self, key: Key, units: int) -> None:
        """Set the number of leased connections to a target for new requests."""
        self._leased[key] = units
        pool = self._pools.get(key)
        if pool is not None:
            pool.resize(base_share(self._cfg, pool.target) + units)

    def terminate_excess(self, key: Key, units: int) -> None:
        """Lower a pool to the base share and a lease; terminate connections beyond."""
        pool = self._pools.get(key)
        if pool is not None:
            pool.terminate_excess(base_share(self._cfg, pool.target) + units)

    def collect_wanted_leases(self) -> dict[Key, int]:
        """Return the connections to lease per target, from recent peak demand.

        Each call decays the peaks.
        """
        wanted_units = {}
        for key, pool in self._pools.items():
            max_leased = lendable(self._cfg, pool.target)
            peak = pool.slots.collect_peak() - base_share(self._cfg, pool.target)
            if peak > 0 and max_leased > 0:
                wanted_units[key] = min(peak, max_leased)
        return wanted_units

    def has_waiting(self) -> bool:
        """Return whether requests wait for a slot."""
        return any(pool.slots.waiting for pool in self._pools.values())

    def lendable(self, key: Key) -> int:
        """Return the number of lendable connections to a target, 0 if it is unknown."""
        pool = self._pools.get(key)
        return lendable(self._cfg, pool.target) if pool else 0

    def pool(self, service: str, target: str) -> TargetPool:
        """Return the pool of a target; raise Refusal if the target is unknown."""
        pool = self._pools.get((service, target))
        if pool is None:
            self._metrics.refuse(codes.limits.NO_TARGET, service)
            raise Refusal(
                codes.limits.NO_TARGET,
                f"target {target} is not configured for service {service}",
            )
        return pool

    def services(self) -> t.Mapping[str, ServiceConfig]:
        """Return all services by name."""
        return self._services

    def pools(self) -> t.Mapping[Key, TargetPool]:
        """Return all pools by service and target."""
        return self._pools

    async def acquire(
        self,
        service: str,
        target: str,
        business: str,
        priority: Priority,
        deadline: float,
    ) -> PooledConnection:
        """Wait for a connection until a monotonic deadline in s; raise Refusal."""
        entry = Entry(next(self._waiter_ids), business, priority, deadline)
        return await self.pool(service, target).acquire(entry)

    async def close(self) -> None:
        """Close the idle connections and wait until no connection is closing.

        Connections in use stay open until they are released.
        """
        self._stale_timer.cancel()
        for pool in self._pools.values():
            pool.close_idle()
        await asyncio.gather(*(pool.wait_closed() for pool in self._pools.values()))

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
