"""Emulate the platform's watches in virtual time."""

import asyncio
import collections

from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import StoredObject
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.virtual._store import VirtualStore

_LOOP_TURNS_PER_STEP = 4


class WaitingStore(VirtualStore):
    """Hold watches open until a change, a timeout or an outage."""

    def __init__(self, timer: ManualTimer):
        super().__init__()
        self.watches = collections.Counter()
        self._timer = timer
        self._waiting: set[asyncio.Future[None]] = set()

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write an object and wake every watch."""
        version = await super().put(kind, name, value, expected)
        self._wake_watches()
        return version

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Wait for changes after revision `since`; raise StoreUnavailable."""
        self._record_call()
        self.watches[int(self._timer.now())] += 1
        deadline = self._timer.now() + wait_s
        while (
            not (found := self._changed_after(kind, since))
            and self._timer.now() < deadline
        ):
            await self._wait_for_change(deadline - self._timer.now())
            if self.down:
                raise StoreUnavailable("the store is down")
        return self._revision, found

    def set_down(self, down: bool) -> None:
        """Start or end an outage."""
        self.down = down
        self._wake_watches()

    def _changed_after(self, kind: str, since: int) -> tuple[StoredObject, ...]:
        objects = self._objects.values()
        return tuple(
            item for item in objects if item.kind == kind and item.version > since
        )

    async def _wait_for_change(self, wait_s: float) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._waiting.add(fut)
        subscription = self._timer.after(wait_s, lambda: _complete(fut))
        try:
            await fut
        finally:
            subscription.cancel()
            self._waiting.discard(fut)

    def _wake_watches(self) -> None:
        for fut in self._waiting:
            _complete(fut)


def _complete(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)


async def advance(timer: ManualTimer, duration_s: float, step_s: float = 0.01) -> None:
    """Advance virtual time and let tasks run between the steps."""
    for _ in range(max(1, round(duration_s / step_s))):
        timer.advance(step_s)
        for _ in range(_LOOP_TURNS_PER_STEP):
            await asyncio.sleep(0)
