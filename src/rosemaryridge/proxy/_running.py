"""Cancel the request that a caller's connection is running."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.request import CancelRequested
from rosemaryridge.request import CancelTarget
from rosemaryridge.request import Finish
from rosemaryridge.request import Request
from rosemaryridge.wire import TargetConnection

_CANCEL_TIMEOUT_S = 2.0
_tasks: set[asyncio.Task[None]] = set()


class RunningRequest:
    """Hold a running request so that a cancellation reaches only this request."""

    def __init__(self, request: Request):
        self.request = request
        self.connection: TargetConnection | None = None
        self.timeout: asyncio.Timeout | None = None
        self.finish: Finish | None = None

    def cancel(self) -> None:
        """Handle a cancellation by the caller."""
        effect = self.request.on_event(CancelRequested())
        if isinstance(effect, CancelTarget) and self.connection is not None:
            run_in_background(cancel_best_effort(self.connection))
        if isinstance(effect, Finish):
            self.finish = effect
            if self.timeout is not None and not self.timeout.expired():
                self.timeout.reschedule(asyncio.get_running_loop().time())


async def cancel_best_effort(connection: TargetConnection) -> None:
    """Ask a target to cancel the statement on a connection; ignore failures."""
    try:
        async with asyncio.timeout(_CANCEL_TIMEOUT_S):
            await connection.cancel()
    except (TimeoutError, asyncpg.PostgresError, *CONNECTION_ERRORS):
        pass


def run_in_background(coro: t.Coroutine[t.Any, t.Any, None]) -> None:
    """Run a short task concurrently with the caller's request."""
    task = asyncio.get_running_loop().create_task(coro)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
