"""Keep the connections to one target and hand them out by urgency."""

import asyncio
import heapq
import itertools
import typing as t

from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.commands import Link

# A target in another region answers within 2 x 20 ms and takes 27 ms to open;
# SYN and START go one after the other, and its slots may be taken.
_OPEN_TIMEOUT_S = 0.8
# After a failure the next connection is opened no sooner than this.
_RETRY_MIN_S = 0.05
_RETRY_MAX_S = 0.25
# A target that has no connection to spare is asked again after this.
_FULL_RETRY_S = 0.3


class PoolClosed(Exception):
    """Report that a target cannot be reached; `failure` says why."""

    def __init__(self, failure: ConnectFailed):
        super().__init__(str(failure))
        self.failure = failure


class Pool:
    """Open, lend and reuse up to `limit` connections to one target."""

    def __init__(
        self,
        info: TargetInfo,
        limit: int,
        connect: Connect,
        on_opened: t.Callable[[], None],
        on_failed: t.Callable[[ConnectFailed], None],
    ):
        self.info = info
        self.limit = limit
        self.opened = 0
        self._connect = connect
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._idle: list[Link] = []
        self._lent = 0
        self._opening = 0
        self._retry_at = 0.0
        self._retry_s = _RETRY_MIN_S
        self._waiting: list[tuple[int, float, int, asyncio.Future[Link]]] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
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
        return sum(1 for entry in self._waiting if not entry[3].done())

    @property
    def free(self) -> int:
        """Return how many connections could be lent without waiting for another."""
        if self._loop.time() < self._retry_at:
            return len(self._idle)
        return len(self._idle) + max(0, self.limit - self.size)

    def warm(self) -> None:
        """Open a first connection ahead of need."""
        if self.size == 0:
            self._open()

    def take_idle(self) -> Link | None:
        """Lend a connection only if one is idle."""
        while self._idle:
            link = self._idle.pop()
            if not link.closed:
                self._lent += 1
                return link
        return None

    async def acquire(self, priority: int, deadline: float) -> Link:
        """Lend a connection; raise TimeoutError or PoolClosed."""
        link = self.take_idle()
        if link is not None:
            return link
        fut: asyncio.Future[Link] = self._loop.create_future()
        entry = (priority, deadline, next(self._numbers), fut)
        heapq.heappush(self._waiting, entry)
        self._open()
        try:
            async with asyncio.timeout_at(deadline):
                return await fut
        except BaseException:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(fut.result())
            fut.cancel()
            raise

    def release(self, link: Link) -> None:
        """Take a connection back; a busy one is closed."""
        self._lent -= 1
        if link.closed or link.busy or self._closed or self.size >= self.limit:
            link.close()
            self._replace()
            return
        fut = self._next()
        if fut is not None:
            self._lent += 1
            fut.set_result(link)
        else:
            self._idle.append(link)

    def discard(self, link: Link) -> None:
        """Close a connection whose state is unknown."""
        link.close()
        self._lent -= 1
        self._replace()

    def close(self) -> None:
        """Close idle connections now and the lent ones when they come back."""
        self._closed = True
        for link in self._idle:
            link.close()
        self._idle.clear()
        for task in self._tasks:
            task.cancel()
        self._fail(ConnectFailed("the target has left", wrong=True))

    def _replace(self) -> None:
        if self._waiting:
            self._open()

    def _next(self) -> asyncio.Future[Link] | None:
        while self._waiting:
            fut = heapq.heappop(self._waiting)[3]
            if not fut.done():
                return fut
        return None

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
        self.opened += 1
        self._retry_s, self._retry_at = _RETRY_MIN_S, 0.0
        self._lent += 1
        self.release(link)
        self._on_opened()

    def _failed(self, exc: ConnectFailed) -> None:
        self._retry_at = self._loop.time() + (
            _FULL_RETRY_S if exc.full else self._retry_s
        )
        self._retry_s = min(_RETRY_MAX_S, 2 * self._retry_s)
        self._on_failed(exc)
        if self.size == 0:
            self._fail(exc)

    def _fail(self, exc: ConnectFailed) -> None:
        while (fut := self._next()) is not None:
            fut.set_exception(PoolClosed(exc))
