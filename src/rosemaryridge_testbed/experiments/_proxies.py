"""Run the proxy's slot queues against simulated targets."""

import dataclasses
import itertools
import random
import typing as t

from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import Priority
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._slots import Granted
from rosemaryridge.pool._slots import SlotTable
from rosemaryridge.timer import ManualTimer
from rosemaryridge.timer import Subscription
from rosemaryridge_testbed.experiments._sim import SimTarget

_BUSINESS_ACTIVE_S = 5.0


@dataclasses.dataclass(slots=True)
class RequestStats:
    """Count one business's requests by outcome; latencies in seconds."""

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    attempts: int = 0
    done: int = 0
    failed: int = 0
    refused: int = 0


class SimProxy:
    """Queue requests for one target with a proxy's slot table."""

    def __init__(
        self,
        timer: ManualTimer,
        rng: random.Random,
        target: SimTarget,
        limit: int,
        businesses: t.Sequence[BusinessConfig],
    ):
        self.slots = SlotTable(limit, _BUSINESS_ACTIVE_S, rng)
        self.slots.configure(businesses)
        self._timer = timer
        self._target = target
        self._poll: Subscription | None = None
        self._waiter_ids = itertools.count()
        self._pending: dict[int, tuple[Entry, t.Callable[[str], None]]] = {}

    def request(
        self,
        business: str,
        priority: Priority,
        deadline: float,
        on_end: t.Callable[[str], None],
    ) -> None:
        """Send a request; call `on_end` with `done`, `failed` or `refused`."""
        entry = Entry(next(self._waiter_ids), business, priority, deadline)
        self._pending[entry.waiter] = (entry, on_end)
        self._apply(self.slots.request_slot(entry, self._timer.now()))
        if entry.waiter in self._pending:
            wait_s = deadline - self._timer.now()
            self._timer.after(wait_s, lambda: self._apply(self.slots.expire(entry)))

    def _apply(self, effects: t.Iterable[object]) -> None:
        self._finish_requests(effects)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        wait_s = self.slots.next_grant_in_s(self._timer.now())
        if wait_s is not None and self._poll is None:
            self._poll = self._timer.after(wait_s, self._on_poll)

    def _on_poll(self) -> None:
        self._poll = None
        self._apply(self.slots.grant_waiting(self._timer.now()))

    def _finish_requests(self, effects: t.Iterable[object]) -> None:
        for effect in effects:
            entry, on_end = self._pending.pop(effect.waiter)
            if isinstance(effect, Granted):
                self._send(entry, on_end)
            else:
                on_end("refused")

    def _send(self, entry: Entry, on_end: t.Callable[[str], None]) -> None:
        started_at = self._timer.now()

        def done(ok: bool) -> None:
            now = self._timer.now()
            self._apply(self.slots.release_slot(entry.business, now - started_at, now))
            on_end("done" if ok else "failed")

        self._target.submit(done)
