"""Implement the timer service on an event loop."""

import asyncio
import random

from rosemaryridge.timer._service import Callback
from rosemaryridge.timer._service import PeriodicTimer
from rosemaryridge.timer._service import Subscription


class LoopTimer:
    """Timer service of an asyncio event loop, by default the running one."""

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None):
        self._loop = loop or asyncio.get_running_loop()

    def now(self) -> float:
        """Return the monotonic time of the loop in seconds."""
        return self._loop.time()

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call `callback` once after a delay in seconds."""
        return self._loop.call_later(delay_s, callback)

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call `callback` each period in seconds, lengthened by a random jitter."""
        return PeriodicTimer(self, period_s, callback, jitter, rng)
