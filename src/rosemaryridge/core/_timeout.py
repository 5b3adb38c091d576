"""Limit a wait by the time in which this process was able to run."""

import asyncio
import contextlib
import typing as t

# The least time that a process which stood still gets to handle what has arrived.
_TICK_S = 0.05


@contextlib.asynccontextmanager
async def running_timeout(timeout_s: float) -> t.AsyncIterator[None]:
    """Raise TimeoutError after `timeout_s` in which this process was able to run.

    A process without processor time finds both its timer and the answer due. A plain
    timeout would then blame a peer that has answered in time.
    """
    loop = asyncio.get_running_loop()
    left_s = timeout_s
    tick: asyncio.TimerHandle | None = None
    async with asyncio.timeout(None) as scope:

        def schedule() -> None:
            nonlocal left_s, tick
            if left_s <= 0.0:
                scope.reschedule(loop.time())
                return
            step_s = min(_TICK_S, left_s)
            left_s -= step_s
            tick = loop.call_later(step_s, schedule)

        schedule()
        try:
            yield
        finally:
            if tick is not None:
                tick.cancel()
