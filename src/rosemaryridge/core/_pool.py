"""Keep the connections to one target and hand them out by urgency."""

import asyncio
import heapq
import itertools
import random
import typing as t

from rosemaryridge.core._admission import Admission
from rosemaryridge.core._admission import Keeping
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.commands import Link

# A target in another region answers within 2 x 20 ms and takes 27 ms to open;
# SYN and START go one after the other, and its slots may be taken.
_OPEN_TIMEOUT_S = 0.8
# After a failure the next connection is opened no sooner than this.
_RETRY_MIN_S = 0.05
# Goes before every statement and is not held back by a full target.
NO_SLOT = -1
_RETRY_MAX_S = 0.25
# A target that has no connection to spare is asked again after this.
_FULL_RETRY_S = 0.3


class _Waiter(t.NamedTuple):
    priority: int
    deadline: float
    number: int
    pinned: bool
    fut: asyncio.Future[Link]


class PoolClosed(Exception):
    """Report that a target cannot be reached; `failure` says why."""

    def __init__(self, failure: ConnectFailed):
        super().__init__(str(failure))
        self.failure = failure


class TurnTooLate(Exception):
    """Report that a connection would come free only after the deadline."""

    def __init__(self, wait_s: float):
        super().__init__(f"a connection comes free in {wait_s:.2f} s")
        self.wait_s = wait_s


class Pool:
    """Open, lend and reuse up to `limit` connections to one target.

    A transaction keeps its connection between its statements; only single
    statements count against the target's window.
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
        self.keeping = Keeping()
        self._connect = connect
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._idle: list[tuple[Link, float]] = []
        self._lent = 0
        self._pinned = 0
        self._opening = 0
        self._retry_at = 0.0
        self._retry_s = _RETRY_MIN_S
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._resume: asyncio.TimerHandle | None = None
        self.full_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._closed = False

    @property
    def size(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._idle) + self._lent + self._opening

    @property
    def lent(self) -> int:
        """Return how many connections are in use."""
        return self._lent

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection."""
        return sum(1 for waiter in self._waiting if not waiter.fut.done())

    @property
    def free(self) -> int:
        """Return how many statements could run without waiting for another."""
        if self.admission.paused_s(self._loop.time()) > 0.0:
            return 0
        lanes = self.admission.lanes - (self._lent - self._pinned)
        connections = len(self._idle)
        if self._loop.time() >= self._retry_at:
            connections += max(0, self.limit - self.size)
        return max(0, min(lanes, connections))

    def resize(self, limit: int) -> None:
        """Change how many connections there may be."""
        self.limit = limit
        self.admission.resize(limit)

    def warm(self) -> None:
        """Open a first connection ahead of need."""
        if self.size == 0:
            self._open()

    async def acquire(
        self, priority: int, deadline: float, pinned: bool = False
    ) -> Link:
        """Lend a connection; raise TimeoutError, TurnTooLate or PoolClosed.

        What takes no slot, such as a ping, has the priority `NO_SLOT`.
        """
        urgent = priority == NO_SLOT
        if self._may_lend(pinned, urgent) and (link := self._take_idle()) is not None:
            return self._lend(link, pinned, urgent)
        now = self._loop.time()
        wait_s = self.admission.wait_s(self._ahead(priority, deadline), now)
        crowded = self._waiting or self.admission.paused_s(now) > 0.0
        if crowded and not urgent and wait_s > deadline - now:
            raise TurnTooLate(wait_s)
        fut: asyncio.Future[Link] = self._loop.create_future()
        number = next(self._numbers)
        heapq.heappush(self._waiting, _Waiter(priority, deadline, number, pinned, fut))
        if self._may_lend(pinned, urgent):
            self._open()
        else:
            self._arm_pause()
        try:
            async with asyncio.timeout_at(deadline):
                return await fut
        except BaseException:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(fut.result(), pinned)
            fut.cancel()
            raise

    def release(self, link: Link, pinned: bool = False) -> None:
        """Take a connection back; a busy one is closed."""
        self._lent -= 1
        self._pinned -= pinned
        if link.closed or link.busy or self._closed or self.size >= self.limit:
            link.close()
        else:
            self._idle.append((link, self._loop.time()))
        self._serve_waiting()

    def discard(self, link: Link, pinned: bool = False) -> None:
        """Close a connection whose state is unknown."""
        link.close()
        self._lent -= 1
        self._pinned -= pinned
        self._serve_waiting()

    def _may_lend(self, pinned: bool, urgent: bool) -> bool:
        if urgent:
            return True
        if self.admission.paused_s(self._loop.time()) > 0.0:
            return False
        return pinned or self._lent - self._pinned < self.admission.lanes

    def _arm_pause(self) -> None:
        paused_s = self.admission.paused_s(self._loop.time())
        if paused_s > 0.0 and self._resume is None:
            self._resume = self._loop.call_later(paused_s, self._resumed)

    def _resumed(self) -> None:
        self._resume = None
        self._serve_waiting()

    def _lend(self, link: Link, pinned: bool, urgent: bool) -> Link:
        if not urgent:
            self.admission.sent(self._loop.time())
        self._lent += 1
        self._pinned += pinned
        return link

    def _take_idle(self) -> Link | None:
        while self._idle:
            link, _ = self._idle.pop()
            if not link.closed:
                return link
        return None

    def _ahead(self, priority: int, deadline: float) -> int:
        return sum(
            1
            for waiter in self._waiting
            if not waiter.fut.done() and waiter[:2] <= (priority, deadline)
        )

    def _serve_waiting(self) -> None:
        """Lend to those who wait, the most urgent first."""
        while (waiter := self._first()) is not None and self._may_lend(
            waiter.pinned, waiter.priority == NO_SLOT
        ):
            link = self._take_idle()
            if link is None:
                self._open()
                break
            heapq.heappop(self._waiting)
            urgent = waiter.priority == NO_SLOT
            waiter.fut.set_result(self._lend(link, waiter.pinned, urgent))
        if self._waiting:
            self._arm_pause()
        self._arm_sweep()

    def _first(self) -> "_Waiter | None":
        while self._waiting and self._waiting[0].fut.done():
            heapq.heappop(self._waiting)
        return self._waiting[0] if self._waiting else None

    def _arm_sweep(self) -> None:
        if self._sweep is None and self._idle:
            self._sweep = self._loop.call_at(self._stale_at(), self._close_stale)

    def _stale_at(self) -> float:
        return self._idle[0][1] + self.keeping.idle_s(len(self._idle))

    def _close_stale(self) -> None:
        self._sweep = None
        while self._idle and self._stale_at() <= self._loop.time():
            self._idle.pop(0)[0].close()
        self._arm_sweep()

    def close(self) -> None:
        """Close idle connections now and the lent ones when they come back."""
        self._closed = True
        for timer in (self._sweep, self._resume):
            if timer is not None:
                timer.cancel()
        for link, _ in self._idle:
            link.close()
        self._idle.clear()
        for task in self._tasks:
            task.cancel()
        self._fail(ConnectFailed("the target has left", wrong=True))

    def _open(self) -> None:
        if self._closed or self.size >= self.limit:
            return
        wait_s = self._retry_at - self._loop.time()
        if wait_s > 0 and self._opening:
            return
        self._opening += 1
        task = self._loop.create_task(self._open_one(max(0.0, wait_s)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_one(self, wait_s: float) -> None:
        try:
            if wait_s:
                await asyncio.sleep(wait_s)
            link = await self._connect(self.info, _OPEN_TIMEOUT_S)
        except asyncio.CancelledError:
            self._opening -= 1
            raise
        except ConnectFailed as exc:
            self._opening -= 1
            self._failed(exc)
            return
        self._opening -= 1
        self._retry_s, self._retry_at = _RETRY_MIN_S, 0.0
        self.keeping.opened()
        self._lent += 1
        self.release(link)
        self._on_opened()

    def _failed(self, exc: ConnectFailed) -> None:
        if exc.full:
            self.full_at = self._loop.time()
            self.keeping.refused()
        self._retry_at = self._loop.time() + (
            _FULL_RETRY_S if exc.full else self._retry_s
        )
        self._retry_s = min(_RETRY_MAX_S, 2 * self._retry_s)
        self._on_failed(exc)
        if self.size == 0:
            self._fail(exc)
        else:
            self._serve_waiting()

    def _fail(self, exc: ConnectFailed) -> None:
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.fut.done():
                waiter.fut.set_exception(PoolClosed(exc))
