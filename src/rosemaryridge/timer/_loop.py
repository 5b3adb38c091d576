"""Serve timers from the running event loop."""

import asyncio
import random

from rosemaryridge.timer._service import Callback
from rosemaryridge.timer._service import Periodic
from rosemaryridge.timer._service import Subscription


class LoopTimer:
    """Serve timers from an asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None):
        self._loop = loop or asyncio.get_running_loop()

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return self._loop.time()

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, after a delay in seconds."""
        return self._loop.call_later(delay_s, callback)

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back each period in seconds, lengthened at random by up to jitter."""
        return Periodic(self, period_s, callback, jitter, rng)
