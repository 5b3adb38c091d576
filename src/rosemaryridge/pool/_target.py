"""Pool the connections to one target."""

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


class PooledConnection:
    """Own a pooled connection until the first call of `release` or `discard`."""

    __slots__ = ("_acquired_at", "_business", "_done", "_pool", "connection")

    def __init__(self, pool: "TargetPool", business: str, connection: TargetConnection):
        self.connection = connection
        self._pool = pool
        self._business = business
        self._acquired_at = pool.timer.now()
        self._done = False

    def release(self) -> None:
        """Return the connection to the pool for reuse."""
        if self._mark_done():
            self._pool.return_connection(
                self.connection, self._business, self._acquired_at
            )

    def discard(self) -> None:
        """Close the connection; its slot is freed once the connection is closed."""
        if self._mark_done():
            self._pool.close_connection(
                self.connection, self._business, self._acquired_at
            )

    def _mark_done(self) -> bool:
        is_first = not self._done
        self._done = True
        self._pool.remove_in_use(self)
        return is_first


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: TargetConnection
    since: float


class TargetPool:
    """Open, reuse and close the connections to one target.

    New slots are granted only within the slot limit, and idle connections in excess
    of it are closed. After the limit is lowered, connections in use remain until they
    are released or terminated.
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
        self._idle: list[_IdleConnection] = []
        self._grant_timer: Subscription | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self._in_use: dict[int, PooledConnection] = {}
        self._pending_decisions: dict[object, asyncio.Future[None]] = {}
        self.adopt(service, target, limit)

    @property
    def open_connections(self) -> int:
        """Return the number of busy slots and idle connections.

        A busy slot's connection may still be opening.
        """
        return self.slots.busy + len(self._idle)

    def adopt(self, service: ServiceConfig, target: TargetConfig, limit: int) -> None:
        """Apply a changed configuration; close idle connections to an old endpoint."""
        has_connections = self.slots.busy or self._idle
        if has_connections and target.endpoint != self.target.endpoint:
            self.close_idle()
        self.service = service
        self.target = target
        self.slots.configure(service.businesses)
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Change the slot limit and close idle connections in excess of it."""
        self._apply(self.slots.resize(limit, self.timer.now()))
        self._close_excess_idle()

    async def acquire(self, entry: Entry) -> PooledConnection:
        """Wait for a slot, then return a pooled connection; raise Refusal."""
        self._refuse_while_blocked()
        await self._acquire_slot(entry)
        try:
            connection = await self._acquire_connection(entry)
        except BaseException:
            self._release_slot(entry.business, None)
            raise
        pooled = PooledConnection(self, entry.business, connection)
        self._in_use[id(pooled)] = pooled
        return pooled

    def terminate_excess(self, limit: int) -> None:
        """Lower the limit; terminate connections in use beyond it, newest first."""
        self.resize(min(limit, self.slots.limit))
        excess = self.slots.busy - limit
        if excess > 0:
            for pooled in list(self._in_use.values())[-excess:]:
                pooled.connection.terminate()

    def remove_in_use(self, pooled: PooledConnection) -> None:
        """Stop tracking a connection that is no longer in use."""
        self._in_use.pop(id(pooled), None)

    def return_connection(
        self, connection: TargetConnection, business: str, acquired_at: float
    ) -> None:
        """Add a connection to the idle ones, unless it is closed, and free its slot."""
        now = self.timer.now()
        if connection.is_closed():
            self._release_slot(business, now - acquired_at)
            return
        self._idle.append(_IdleConnection(connection, now))
        self._release_slot(business, now - acquired_at)
        self._close_excess_idle()

    def close_connection(
        self, connection: TargetConnection, business: str, acquired_at: float
    ) -> None:
        """Close a connection, then free its slot."""
        hold_s = self.timer.now() - acquired_at
        connection.terminate()
        self._start_closing(connection, lambda: self._release_slot(business, hold_s))

    def close_idle(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for item in idle:
            self._start_closing(item.connection)

    def close_stale(self) -> None:
        """Close connections that were idle for longer than `idle_close_s`."""
        idle_before = self.timer.now() - self._cfg.idle_close_s
        stale = [item for item in self._idle if item.since < idle_before]
        self._idle = [item for item in self._idle if item.since >= idle_before]
        for item in stale:
            self._start_closing(item.connection)

    async def wait_closed(self) -> None:
        """Wait until no connection is closing."""
        while self._closing:
            await asyncio.wait(self._closing)

    def _refuse_while_blocked(self) -> None:
        blocked_s = self.opener.blocked_s()
        if blocked_s > 0.0 and self.open_connections == 0:
            raise self._refusal(codes.limits.NO_TARGET, blocked_s)

    async def _acquire_slot(self, entry: Entry) -> None:
        decision: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_decisions[entry.waiter] = decision
        self._apply(self.slots.request_slot(entry, self.timer.now()))
        if decision.done():
            return decision.result()
        wait_s = entry.deadline - self.timer.now()
        expiry = self.timer.after(wait_s, lambda: self._apply(self.slots.expire(entry)))
        try:
            return await decision
        except asyncio.CancelledError:
            self._withdraw(entry, decision)
            raise
        finally:
            expiry.cancel()

    def _withdraw(self, entry: Entry, decision: asyncio.Future[None]) -> None:
        self._pending_decisions.pop(entry.waiter, None)
        was_waiting = self.slots.withdraw(entry)
        granted = decision.done() and not decision.cancelled()
        if not was_waiting and granted and decision.exception() is None:
            self._release_slot(entry.business, None)

    def limit_business(self, business: str, rate: float | None) -> None:
        """Limit a business to `rate` slots on average; None removes the limit."""
        now = self.timer.now()
        self.slots.limit_business(business, rate, now)
        self._apply(self.slots.grant_waiting(now))

    def _arm_grant_timer(self) -> None:
        wait_s = self.slots.next_grant_in_s(self.timer.now())
        if wait_s is not None and self._grant_timer is None:
            self._grant_timer = self.timer.after(wait_s, self._on_grant_timer)

    def _on_grant_timer(self) -> None:
        self._grant_timer = None
        self._apply(self.slots.grant_waiting(self.timer.now()))

    def _apply(self, effects: list[Effect]) -> None:
        self._resolve(effects)
        if self.slots.has_limited_business:
            self._arm_grant_timer()

    def _resolve(self, effects: list[Effect]) -> None:
        for effect in effects:
            decision = self._pending_decisions.pop(effect.waiter, None)
            if decision is None or decision.done():
                continue
            if isinstance(effect, Granted):
                decision.set_result(None)
            else:
                refusal = self._refusal(effect.code, effect.retry_after_s)
                decision.set_exception(refusal)

    def _refusal(self, code: codes.Code, retry_after_s: float) -> Refusal:
        self._metrics.refuse(code, self.service.name)
        return Refusal(code, f"target {self.target.name}", retry_after_s)

    def _release_slot(self, business: str, hold_s: float | None) -> None:
        self._apply(self.slots.release_slot(business, hold_s, self.timer.now()))

    async def _acquire_connection(self, entry: Entry) -> TargetConnection:
        while self._idle:
            idle = self._idle.pop()
            if await self._is_usable(idle):
                return idle.connection
            await self._close_or_terminate(idle.connection)
        try:
            return await self.opener.open(self.target, self.service, entry.deadline)
        except OpenFailed as exc:
            raise self._refusal(codes.limits.NO_TARGET, exc.retry_after_s) from exc

    async def _is_usable(self, idle: _IdleConnection) -> bool:
        if idle.connection.is_closed():
            return False
        idle_s = self.timer.now() - idle.since
        if self._check is None or idle_s < self._cfg.idle_check_s:
            return True
        try:
            return await self._check(idle.connection, self._cfg.idle_check_timeout_s)
        except asyncio.CancelledError:
            self._start_closing(idle.connection)
            raise
        except Exception:
            return False

    def _close_excess_idle(self) -> None:
        while self._idle and self.open_connections > self.slots.limit:
            self._start_closing(self._idle.pop(0).connection)

    def _start_closing(
        self,
        connection: TargetConnection,
        after: t.Callable[[], None] = lambda: None,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._close_or_terminate(connection)
        )
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        task.add_done_callback(lambda _: after())

    async def _close_or_terminate(self, connection: TargetConnection) -> None:
        try:
            async with asyncio.timeout(self._cfg.idle_check_timeout_s):
                await connection.close()
        except Exception:
            connection.terminate()
