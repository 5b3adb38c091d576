"""Hold the request that a caller's connection runs now."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.request import CancelAsked
from rosemaryridge.request import CancelTarget
from rosemaryridge.request import Finish
from rosemaryridge.request import Request
from rosemaryridge.wire import TargetConnection

_CANCEL_TIMEOUT_S = 2.0
_tasks: set[asyncio.Task[None]] = set()


class Running:
    """Let a cancel request reach the request that runs now, and no other."""

    def __init__(self, request: Request):
        self.request = request
        self.connection: TargetConnection | None = None
        self.scope: asyncio.Timeout | None = None
        self.finish: Finish | None = None

    def cancel(self) -> None:
        """Take in that the caller wants the request cancelled."""
        effect = self.request.on_event(CancelAsked())
        if isinstance(effect, CancelTarget) and self.connection is not None:
            run_aside(cancel_quietly(self.connection))
        if isinstance(effect, Finish):
            self.finish = effect
            if self.scope is not None and not self.scope.expired():
                self.scope.reschedule(asyncio.get_running_loop().time())


async def cancel_quietly(connection: TargetConnection) -> None:
    """Ask a target to cancel what runs on a connection, best effort."""
    try:
        async with asyncio.timeout(_CANCEL_TIMEOUT_S):
            await connection.cancel()
    except (TimeoutError, asyncpg.PostgresError, *CONNECTION_ERRORS):
        pass


def run_aside(work: t.Coroutine[t.Any, t.Any, None]) -> None:
    """Run a short job beside the caller's request."""
    task = asyncio.get_running_loop().create_task(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
