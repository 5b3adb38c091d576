"""Serve timers whose time a test moves by hand."""

import heapq
import itertools
import random

from rosemaryridge.timer._service import Callback
from rosemaryridge.timer._service import Periodic
from rosemaryridge.timer._service import Subscription


class _Entry:
    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callback):
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class ManualTimer:
    """Serve timers that fire only while `advance` runs."""

    def __init__(self, now: float = 0.0):
        self._now = now
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _Entry]] = []

    def now(self) -> float:
        """Return the time that was set, in seconds."""
        return self._now

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, after a delay in seconds."""
        entry = _Entry(callback)
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, next(self._order), entry))
        return entry

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back each period in seconds, lengthened at random by up to jitter."""
        return Periodic(self, period_s, callback, jitter, rng)

    def advance(self, delay_s: float) -> None:
        """Move time on by seconds and fire what falls due, in order."""
        end = self._now + delay_s
        while self._heap and self._heap[0][0] <= end:
            due, _, entry = heapq.heappop(self._heap)
            self._now = max(self._now, due)
            if not entry.cancelled:
                entry.callback()
        self._now = end
