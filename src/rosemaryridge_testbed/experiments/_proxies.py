"""Run the product's queues and router against simulated targets."""

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

_ACTIVE_S = 5.0


@dataclasses.dataclass(slots=True)
class Result:
    """Collect how one business's requests ended."""

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    attempts: int = 0
    done: int = 0
    failed: int = 0
    refused: int = 0


class SimProxy:
    """Queue requests for one target as a proxy does."""

    def __init__(
        self,
        timer: ManualTimer,
        rng: random.Random,
        target: SimTarget,
        limit: int,
        businesses: t.Sequence[BusinessConfig],
    ):
        self.slots = SlotTable(limit, _ACTIVE_S, rng)
        self.slots.configure(businesses)
        self._timer = timer
        self._target = target
        self._poll: Subscription | None = None
        self._numbers = itertools.count()
        self._open: dict[int, tuple[Entry, t.Callable[[str], None]]] = {}

    def request(
        self,
        business: str,
        priority: Priority,
        deadline: float,
        ended: t.Callable[[str], None],
    ) -> None:
        """Send a request; `ended` is told `done`, `failed` or `refused`."""
        entry = Entry(next(self._numbers), business, priority, deadline)
        self._open[entry.waiter] = (entry, ended)
        self._apply(self.slots.request_slot(entry, self._timer.now()))
        if entry.waiter in self._open:
            wait_s = deadline - self._timer.now()
            self._timer.after(wait_s, lambda: self._apply(self.slots.expire(entry)))

    def _apply(self, effects: t.Iterable[object]) -> None:
        self._answer(effects)
        self._arm()

    def _arm(self) -> None:
        wait_s = self.slots.poll_in_s(self._timer.now())
        if wait_s is not None and self._poll is None:
            self._poll = self._timer.after(wait_s, self._polled)

    def _polled(self) -> None:
        self._poll = None
        self._apply(self.slots.poll(self._timer.now()))

    def _answer(self, effects: t.Iterable[object]) -> None:
        for effect in effects:
            entry, ended = self._open.pop(effect.waiter)
            if isinstance(effect, Granted):
                self._send(entry, ended)
            else:
                ended("refused")

    def _send(self, entry: Entry, ended: t.Callable[[str], None]) -> None:
        since = self._timer.now()

        def done(ok: bool) -> None:
            now = self._timer.now()
            self._apply(self.slots.release_slot(entry.business, now - since, now))
            ended("done" if ok else "failed")

        self._target.submit(done)
