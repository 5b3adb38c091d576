"""Sleep with a timer service."""

import asyncio

from rosemaryridge.timer._service import TimerService


async def sleep(timer: TimerService, delay_s: float) -> None:
    """Return after a delay in seconds on the clock of the timer service."""
    fut = asyncio.get_running_loop().create_future()
    subscription = timer.after(delay_s, lambda: fut.done() or fut.set_result(None))
    try:
        await fut
    finally:
        subscription.cancel()
