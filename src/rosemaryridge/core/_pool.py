"""Pool the connections to one target and lend them by priority and deadline."""

import asyncio
import collections
import heapq
import itertools
import random
import typing as t
import weakref

from rosemaryridge.core._admission import Admission
from rosemaryridge.core._admission import IdlePolicy
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.commands import TargetLink

# A target in another region has a round trip of 2 x 20 ms and opens a connection in
# 27 ms. SYN and START are sent one after the other, and the slots may be busy.
_OPEN_TIMEOUT_S = 0.8
# Initial delay before another connection is opened after a failure.
_RETRY_DELAY_MIN_S = 0.05
_RETRY_DELAY_MAX_S = 0.25
# Delay before another attempt at a target that refused a connection as full.
_FULL_RETRY_DELAY_S = 0.3
# Priority of requests that take no slot, such as probes: they precede every statement
# and are sent also to a full target.
SLOTLESS_PRIORITY = -1


class _Waiter(t.NamedTuple):
    priority: int
    deadline: float
    number: int
    pinned: bool
    # None if a connection of any business will do.
    business: str | None
    # Preferred values of the connection, None for any.
    values: t.Mapping[bytes, bytes] | None
    fut: asyncio.Future[TargetLink]


class PoolClosed(Exception):
    """Report to waiting statements that connecting failed or the pool was closed.

    `failure` is the cause.
    """

    def __init__(self, failure: ConnectFailed):
        super().__init__(str(failure))
        self.failure = failure


class TurnTooLate(Exception):
    """Report that no connection is expected before the deadline.

    `wait_s` is the expected wait in seconds.
    """

    def __init__(self, wait_s: float):
        super().__init__(f"the expected wait for a connection is {wait_s:.2f} s")
        self.wait_s = wait_s


def is_reusable(link: TargetLink) -> bool:
    """Return whether another statement may run on a connection that is given back.

    Statements must not run in a transaction that another one has left open, nor get
    the answer to another one.
    """
    is_idle = link.state is TransactionState.IDLE
    return is_idle and not link.closed and not link.busy


class Pool:
    """Open, lend and reuse up to `limit` connections to one target.

    A `pinned` connection does not count against the concurrency limit: those of
    transactions, which hold them between their statements, of probes and of status
    requests.
    """

    def __init__(
        self,
        info: TargetInfo,
        limit: int,
        connect: Connect,
        on_opened: t.Callable[[], None],
        on_failed: t.Callable[[ConnectFailed], None],
        rng: random.Random,
    ):
        self.info = info
        self.limit = limit
        self.admission = Admission(limit, rng)
        self.idle_policy = IdlePolicy()
        # Called with a connection that is given back with an open transaction.
        self.on_left_open: t.Callable[[TargetLink], None] = lambda link: None
        self._connect = connect
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._idle: list[tuple[TargetLink, float]] = []
        self._in_use = 0
        self._pinned = 0
        # By business.
        self._opening: collections.Counter[str] = collections.Counter()
        self._retry_at = 0.0
        self._retry_delay_s = _RETRY_DELAY_MIN_S
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        # Connections of former generations are closed instead of being reused.
        self._generation = 0
        self._generations: weakref.WeakKeyDictionary[TargetLink, int] = (
            weakref.WeakKeyDictionary()
        )
        self._idle_timer: asyncio.TimerHandle | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        # Loop time of the last refusal because the target was full.
        self.full_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._closed = False

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._idle) + self._in_use + self._opening.total()

    @property
    def in_use(self) -> int:
        """Return the number of connections in use."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait for a connection."""
        return sum(1 for waiter in self._waiting if not waiter.fut.done())

    @property
    def free(self) -> int:
        """Return the number of statements that could start without waiting."""
        if self.admission.paused_s(self._loop.time()) > 0.0:
            return 0
        slots = self.admission.concurrency_limit - (self._in_use - self._pinned)
        connections = len(self._idle)
        if self._loop.time() >= self._retry_at:
            connections += max(0, self.limit - self.size)
        return max(0, min(slots, connections))

    def resize(self, limit: int) -> None:
        """Set the maximum number of connections."""
        self.limit = limit
        self.admission.resize(limit)

    def replace_connections(self) -> None:
        """Close idle connections, and those in use or being opened after their use."""
        self._generation += 1
        self.close_idle()

    def warm(self) -> None:
        """Open a connection in advance if there is none."""
        if self.size == 0:
            self._open(None)

    async def acquire(
        self,
        priority: int,
        deadline: float,
        pinned: bool = False,
        business: str | None = None,
        values: t.Mapping[bytes, bytes] | None = None,
    ) -> TargetLink:
        """Lend a connection; raise TimeoutError, TurnTooLate or PoolClosed.

        It belongs to `business`, or to any if None, as for probes. One with the session
        values is preferred: others take a round trip to change theirs.

        Use `SLOTLESS_PRIORITY` for requests that take no slot, such as probes.
        `deadline` is a time of the event loop's clock.
        """
        slotless = priority == SLOTLESS_PRIORITY
        if (
            self._may_lend(pinned, slotless)
            and (link := self._pop_idle(business, values)) is not None
        ):
            return self._lend(link, pinned, slotless)
        now = self._loop.time()
        wait_s = self.admission.expected_wait_s(
            self._count_ahead(priority, deadline), now
        )
        must_queue = self._waiting or self.admission.paused_s(now) > 0.0
        if must_queue and not slotless and wait_s > deadline - now:
            raise TurnTooLate(wait_s)
        fut: asyncio.Future[TargetLink] = self._loop.create_future()
        number = next(self._numbers)
        waiter = _Waiter(priority, deadline, number, pinned, business, values, fut)
        heapq.heappush(self._waiting, waiter)
        if self._may_lend(pinned, slotless):
            self._open(business)
        else:
            self._schedule_resume()
        try:
            async with asyncio.timeout_at(deadline):
                return await fut
        except BaseException:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(fut.result(), pinned)
            fut.cancel()
            raise

    def release(self, link: TargetLink, pinned: bool = False) -> None:
        """Return a connection to the pool; close it if it cannot be reused."""
        self._in_use -= 1
        self._pinned -= pinned
        is_former = self._generations.get(link) != self._generation
        if link.state is not TransactionState.IDLE and not (link.closed or link.busy):
            self.on_left_open(link)
        if (
            not is_reusable(link)
            or self._closed
            or is_former
            or self.size >= self.limit
        ):
            link.close()
        else:
            self._idle.append((link, self._loop.time()))
        self._serve_waiting()

    def discard(self, link: TargetLink, pinned: bool = False) -> None:
        """Close a connection whose state is unknown."""
        link.close()
        self._in_use -= 1
        self._pinned -= pinned
        self._serve_waiting()

    def _may_lend(self, pinned: bool, slotless: bool) -> bool:
        if slotless:
            return True
        if self.admission.paused_s(self._loop.time()) > 0.0:
            return False
        return pinned or self._in_use - self._pinned < self.admission.concurrency_limit

    def _schedule_resume(self) -> None:
        paused_s = self.admission.paused_s(self._loop.time())
        if paused_s > 0.0 and self._resume_timer is None:
            self._resume_timer = self._loop.call_later(paused_s, self._on_resume)

    def _on_resume(self) -> None:
        self._resume_timer = None
        self._serve_waiting()

    def _lend(self, link: TargetLink, pinned: bool, slotless: bool) -> TargetLink:
        if not slotless:
            self.admission.record_sent(self._loop.time())
        self._in_use += 1
        self._pinned += pinned
        return link

    def _pop_idle(
        self, business: str | None, values: t.Mapping[bytes, bytes] | None
    ) -> TargetLink | None:
        """Return the idle connection of a business that was used last, if any.

        One with the values goes first.
        """
        self._idle = [entry for entry in self._idle if not entry[0].closed]
        found = None
        for index in reversed(range(len(self._idle))):
            link = self._idle[index][0]
            if business not in (None, link.business):
                continue
            if values is None or link.values == values:
                return self._idle.pop(index)[0]
            found = index if found is None else found
        return None if found is None else self._idle.pop(found)[0]

    def _count_ahead(self, priority: int, deadline: float) -> int:
        return sum(
            1
            for waiter in self._waiting
            if not waiter.fut.done() and waiter[:2] <= (priority, deadline)
        )

    def _serve_waiting(self) -> None:
        """Lend connections to waiting statements, the highest priority first."""
        self._waiting = [entry for entry in self._waiting if not entry.fut.done()]
        self._waiting.sort()
        # Businesses whose first waiting statement needs a new connection.
        opening: set[str | None] = set()
        for waiter in self._waiting:
            slotless = waiter.priority == SLOTLESS_PRIORITY
            if not self._may_lend(waiter.pinned, slotless):
                break
            if waiter.business in opening:
                continue
            link = self._pop_idle(waiter.business, waiter.values)
            if link is None:
                self._open(waiter.business)
                opening.add(waiter.business)
                continue
            waiter.fut.set_result(self._lend(link, waiter.pinned, slotless))
        self._waiting = [entry for entry in self._waiting if not entry.fut.done()]
        if self._waiting:
            self._schedule_resume()
        self._schedule_idle_close()

    def _schedule_idle_close(self) -> None:
        if self._idle_timer is None and self._idle:
            self._idle_timer = self._loop.call_at(
                self._idle_expires_at(), self._close_expired
            )

    def _idle_expires_at(self) -> float:
        return self._idle[0][1] + self.idle_policy.timeout_for(len(self._idle))

    def _close_expired(self) -> None:
        self._idle_timer = None
        while self._idle and self._idle_expires_at() <= self._loop.time():
            self._idle.pop(0)[0].close()
        self._schedule_idle_close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for link, _ in self._idle:
            link.close()
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections now, and those in use once they are released."""
        self._closed = True
        for timer in (self._idle_timer, self._resume_timer):
            if timer is not None:
                timer.cancel()
        self.close_idle()
        for task in self._tasks:
            task.cancel()
        self._fail_waiting(ConnectFailed("the target was removed", wrong_target=True))

    def _open(self, business: str | None) -> None:
        """Open a connection, in place of another business' idle one if necessary."""
        if self._closed:
            return
        owner = business or ""
        wait_s = self._retry_at - self._loop.time()
        if wait_s > 0 and self._opening.total():
            return
        if self.size >= self.limit and (
            self._opening[owner] or not self._close_idle_of_others(owner)
        ):
            return
        self._opening[owner] += 1
        task = self._loop.create_task(self._open_one(max(0.0, wait_s), owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _close_idle_of_others(self, business: str) -> bool:
        """Close another business' connection that has been idle longest, if any."""
        for index, (link, _) in enumerate(self._idle):
            if link.business != business:
                del self._idle[index]
                link.close()
                return True
        return False

    async def _open_one(self, wait_s: float, business: str) -> None:
        generation = self._generation
        try:
            if wait_s:
                await asyncio.sleep(wait_s)
            link = await self._connect(self.info, _OPEN_TIMEOUT_S, business)
        except asyncio.CancelledError:
            self._opening[business] -= 1
            raise
        except ConnectFailed as exc:
            self._opening[business] -= 1
            self._on_connect_failed(exc)
            return
        self._opening[business] -= 1
        self._retry_delay_s, self._retry_at = _RETRY_DELAY_MIN_S, 0.0
        self.idle_policy.record_opened()
        self._generations[link] = generation
        self._in_use += 1
        self.release(link)
        self._on_opened()

    def _on_connect_failed(self, exc: ConnectFailed) -> None:
        has_no_room = exc.full or exc.withheld
        if has_no_room:
            self.full_at = self._loop.time()
        if exc.full:
            self.idle_policy.record_refusal()
        self._retry_at = self._loop.time() + (
            _FULL_RETRY_DELAY_S if has_no_room else self._retry_delay_s
        )
        self._retry_delay_s = min(_RETRY_DELAY_MAX_S, 2 * self._retry_delay_s)
        self._on_failed(exc)
        if self.size == 0:
            self._fail_waiting(exc)
        else:
            self._serve_waiting()

    def _fail_waiting(self, exc: ConnectFailed) -> None:
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.fut.done():
                waiter.fut.set_exception(PoolClosed(exc))
