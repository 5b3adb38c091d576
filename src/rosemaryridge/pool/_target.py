"""Keep the connections to one target and hand them out."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config import PoolSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.pool._connections import Check
from rosemaryridge.pool._connections import Connect
from rosemaryridge.pool._connections import TargetConnection
from rosemaryridge.pool._opener import Opener
from rosemaryridge.pool._opener import OpenFailed
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._slots import Effect
from rosemaryridge.pool._slots import Granted
from rosemaryridge.pool._slots import SlotTable
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService


class PoolLease:
    """Hold one connection of the pool; end it once by `release` or `discard`."""

    __slots__ = ("_business", "_done", "_pool", "_since", "connection")

    def __init__(self, pool: "TargetPool", business: str, connection: TargetConnection):
        self.connection = connection
        self._pool = pool
        self._business = business
        self._since = pool.timer.now()
        self._done = False

    def release(self) -> None:
        """Give the connection back for reuse."""
        if self._end():
            self._pool.take_back(self.connection, self._business, self._since)

    def discard(self) -> None:
        """Close the connection; its slot comes free once it is closed."""
        if self._end():
            self._pool.throw_away(self.connection, self._business, self._since)

    def _end(self) -> bool:
        first = not self._done
        self._done = True
        self._pool.ended(self)
        return first


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: TargetConnection
    since: float


class TargetPool:
    """Open, reuse and close the connections to one target.

    Slots in use and idle connections together never pass the slot limit.
    """

    def __init__(
        self,
        cfg: PoolSettings,
        timer: TimerService,
        rng: random.Random,
        connect: Connect,
        check: Check | None,
        metrics: Metrics,
        service: ServiceConfig,
        target: TargetConfig,
        limit: int,
    ):
        self.timer = timer
        self.slots = SlotTable(limit, cfg.business_active_s, rng)
        self.opener = Opener(cfg, timer, rng, connect)
        self._cfg = cfg
        self._check = check
        self._metrics = metrics
        self._idle: list[_Idle] = []
        self._poll: Subscription | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self._leases: dict[int, PoolLease] = {}
        self._granting: dict[object, asyncio.Future[None]] = {}
        self.adopt(service, target, limit)

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or may be being opened."""
        return self.slots.busy + len(self._idle)

    def adopt(self, service: ServiceConfig, target: TargetConfig, limit: int) -> None:
        """Take over a changed configuration; a moved target loses its connections."""
        moved = self.slots.busy or self._idle
        if moved and target.endpoint != self.target.endpoint:
            self.close_idle()
        self.service = service
        self.target = target
        self.slots.configure(service.businesses)
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Change the slot limit and close the idle connections beyond it."""
        self._run(self.slots.resize(limit, self.timer.now()))
        self._trim()

    async def acquire(self, entry: Entry) -> PoolLease:
        """Wait for a slot, then for a connection; raise Refusal."""
        self._refuse_while_down()
        await self._slot(entry)
        try:
            connection = await self._connection(entry)
        except BaseException:
            self._leave(entry.business, None)
            raise
        lease = PoolLease(self, entry.business, connection)
        self._leases[id(lease)] = lease
        return lease

    def enforce(self, limit: int) -> None:
        """Cut the connections in use beyond a limit, the newest first."""
        self.resize(min(limit, self.slots.limit))
        excess = self.slots.busy - limit
        if excess > 0:
            for lease in list(self._leases.values())[-excess:]:
                lease.connection.terminate()

    def ended(self, lease: PoolLease) -> None:
        """Forget a lease that has ended."""
        self._leases.pop(id(lease), None)

    def take_back(
        self, connection: TargetConnection, business: str, since: float
    ) -> None:
        """Keep a connection for reuse and pass its slot on."""
        now = self.timer.now()
        if connection.is_closed():
            self._leave(business, now - since)
            return
        self._idle.append(_Idle(connection, now))
        self._leave(business, now - since)
        self._trim()

    def throw_away(
        self, connection: TargetConnection, business: str, since: float
    ) -> None:
        """Close a connection and pass its slot on afterwards."""
        hold_s = self.timer.now() - since
        connection.terminate()
        self._close(connection, lambda: self._leave(business, hold_s))

    def close_idle(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for one in idle:
            self._close(one.connection)

    def close_stale(self) -> None:
        """Close the connections that were idle for long."""
        before = self.timer.now() - self._cfg.idle_close_s
        stale = [one for one in self._idle if one.since < before]
        self._idle = [one for one in self._idle if one.since >= before]
        for one in stale:
            self._close(one.connection)

    async def closed(self) -> None:
        """Wait until every connection that is being closed is closed."""
        while self._closing:
            await asyncio.wait(self._closing)

    def _refuse_while_down(self) -> None:
        blocked_s = self.opener.blocked_s()
        if blocked_s > 0.0 and self.open_connections == 0:
            raise self._refusal(codes.limits.NO_TARGET, blocked_s)

    async def _slot(self, entry: Entry) -> None:
        granting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._granting[entry.waiter] = granting
        self._run(self.slots.arrive(entry, self.timer.now()))
        if granting.done():
            return granting.result()
        wait_s = entry.deadline - self.timer.now()
        expiry = self.timer.after(wait_s, lambda: self._run(self.slots.expire(entry)))
        try:
            return await granting
        except asyncio.CancelledError:
            self._withdraw(entry, granting)
            raise
        finally:
            expiry.cancel()

    def _withdraw(self, entry: Entry, granting: asyncio.Future[None]) -> None:
        self._granting.pop(entry.waiter, None)
        waited = self.slots.withdraw(entry)
        granted = granting.done() and not granting.cancelled()
        if not waited and granted and granting.exception() is None:
            self._leave(entry.business, None)

    def limit_business(self, business: str, rate: float | None) -> None:
        """Limit the slot time of a business here, None for no limit."""
        now = self.timer.now()
        self.slots.limit_business(business, rate, now)
        self._run(self.slots.poll(now))

    def _arm_poll(self) -> None:
        wait_s = self.slots.poll_in_s(self.timer.now())
        if wait_s is not None and self._poll is None:
            self._poll = self.timer.after(wait_s, self._polled)

    def _polled(self) -> None:
        self._poll = None
        self._run(self.slots.poll(self.timer.now()))

    def _run(self, effects: list[Effect]) -> None:
        self._answer(effects)
        if self.slots.limited:
            self._arm_poll()

    def _answer(self, effects: list[Effect]) -> None:
        for effect in effects:
            granting = self._granting.pop(effect.waiter, None)
            if granting is None or granting.done():
                continue
            if isinstance(effect, Granted):
                granting.set_result(None)
            else:
                refusal = self._refusal(effect.code, effect.retry_after_s)
                granting.set_exception(refusal)

    def _refusal(self, code: codes.Code, retry_after_s: float) -> Refusal:
        self._metrics.refuse(code, self.service.name)
        return Refusal(code, f"target {self.target.name}", retry_after_s)

    def _leave(self, business: str, hold_s: float | None) -> None:
        self._run(self.slots.leave(business, hold_s, self.timer.now()))

    async def _connection(self, entry: Entry) -> TargetConnection:
        while self._idle:
            idle = self._idle.pop()
            if await self._usable(idle):
                return idle.connection
            await self._end(idle.connection)
        try:
            return await self.opener.open(self.target, self.service, entry.deadline)
        except OpenFailed as exc:
            raise self._refusal(codes.limits.NO_TARGET, exc.retry_after_s) from exc

    async def _usable(self, idle: _Idle) -> bool:
        if idle.connection.is_closed():
            return False
        rested_s = self.timer.now() - idle.since
        if self._check is None or rested_s < self._cfg.idle_check_s:
            return True
        try:
            return await self._check(idle.connection, self._cfg.idle_check_timeout_s)
        except asyncio.CancelledError:
            self._close(idle.connection)
            raise
        except Exception:
            return False

    def _trim(self) -> None:
        while self._idle and self.open_connections > self.slots.limit:
            self._close(self._idle.pop(0).connection)

    def _close(
        self,
        connection: TargetConnection,
        after: t.Callable[[], None] = lambda: None,
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._end(connection))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        task.add_done_callback(lambda _: after())

    async def _end(self, connection: TargetConnection) -> None:
        try:
            async with asyncio.timeout(self._cfg.idle_check_timeout_s):
                await connection.close()
        except Exception:
            connection.terminate()
