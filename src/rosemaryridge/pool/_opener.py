"""Open connections to one target at a limited rate."""

import asyncio
import random

from rosemaryridge.config import PoolSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import RosemaryridgeError
from rosemaryridge.pool._connections import Connect
from rosemaryridge.pool._connections import TargetConnection
from rosemaryridge.pool._pacer import OpenPacer
from rosemaryridge.timer import TimerService


class OpenFailed(RosemaryridgeError):
    """Report that no connection was opened; a retry may succeed."""

    def __init__(self, retry_after_s: float):
        super().__init__(f"no connection was opened; retry after {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class Opener:
    """Open at most `max_opening` connections at a time, paced and with backoff."""

    def __init__(
        self,
        cfg: PoolSettings,
        timer: TimerService,
        rng: random.Random,
        connect: Connect,
    ):
        self._cfg = cfg
        self._timer = timer
        self._connect = connect
        self._opening = asyncio.Semaphore(cfg.max_opening)
        self._pacer = OpenPacer(
            cfg.open_gap_s, cfg.backoff_min_s, cfg.backoff_max_s, rng
        )

    def blocked_s(self) -> float:
        """Return the seconds for which past failures delay the next opening."""
        return self._pacer.blocked_s(self._timer.now())

    async def open(
        self, target: TargetConfig, service: ServiceConfig, deadline: float
    ) -> TargetConnection:
        """Open a connection by a monotonic deadline in seconds; raise OpenFailed."""
        async with self._opening:
            wait_s = self._pacer.reserve(self._timer.now())
            if self._timer.now() + wait_s >= deadline:
                raise OpenFailed(wait_s)
            await self._sleep(wait_s)
            return await self._connect_once(target, service, deadline)

    async def _connect_once(
        self, target: TargetConfig, service: ServiceConfig, deadline: float
    ) -> TargetConnection:
        remaining_s = max(0.0, deadline - self._timer.now())
        try:
            async with asyncio.timeout(min(self._cfg.open_timeout_s, remaining_s)):
                connection = await self._connect(target, service)
        except Exception as exc:
            self._pacer.on_failure(self._timer.now())
            raise OpenFailed(self.blocked_s()) from exc
        self._pacer.on_success()
        return connection

    async def _sleep(self, wait_s: float) -> None:
        if wait_s <= 0.0:
            return
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wakeup = self._timer.after(wait_s, lambda: fut.done() or fut.set_result(None))
        try:
            await fut
        finally:
            wakeup.cancel()
