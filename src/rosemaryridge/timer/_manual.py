"""Implement the timer service with a clock that tests advance."""

import heapq
import itertools
import random

from rosemaryridge.timer._service import Callback
from rosemaryridge.timer._service import PeriodicTimer
from rosemaryridge.timer._service import Subscription


class _ManualSubscription:
    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callback):
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class ManualTimer:
    """Timer service that calls back only while `advance` runs."""

    def __init__(self, now: float = 0.0):
        self._now = now
        self._sequence = itertools.count()
        self._pending: list[tuple[float, int, _ManualSubscription]] = []

    def now(self) -> float:
        """Return the current time of the manual clock in seconds."""
        return self._now

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call `callback` once after a delay in seconds; below 0 counts as 0."""
        subscription = _ManualSubscription(callback)
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._pending, (due, next(self._sequence), subscription))
        return subscription

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call `callback` each period in seconds, lengthened by a random jitter."""
        return PeriodicTimer(self, period_s, callback, jitter, rng)

    def advance(self, delay_s: float) -> None:
        """Advance the clock by seconds and call the due callbacks in order of time."""
        end = self._now + delay_s
        while self._pending and self._pending[0][0] <= end:
            due, _, subscription = heapq.heappop(self._pending)
            self._now = max(self._now, due)
            if not subscription.cancelled:
                subscription.callback()
        self._now = end
