"""Ask one target for its status, one request at a time."""

import asyncio
import typing as t

from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.group._port import TargetPort
from rosemaryridge.model import TargetStatus
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

OnStatus = t.Callable[[str, TargetStatus, float], None]
OnFailure = t.Callable[[str, float], None]


class Poller:
    """Ask when told to; a request that is not yet sent serves every asker."""

    def __init__(
        self,
        timer: TimerService,
        port: TargetPort,
        target: TargetConfig,
        timeout_s: float,
        on_status: OnStatus,
        on_failure: OnFailure,
    ):
        self.target = target
        self._timer = timer
        self._port = port
        self._timeout_s = timeout_s
        self._on_status = on_status
        self._on_failure = on_failure
        self._task: asyncio.Task | None = None
        self._due = float("inf")
        self._subscription: Subscription | None = None

    def kick(self, delay_s: float = 0.0) -> None:
        """Ask after at most a delay in seconds."""
        due = self._timer.now() + delay_s
        if due >= self._due:
            return
        self._due = due
        if self._task is None:
            self._arm()

    def stop(self) -> None:
        """Stop asking and drop the request under way."""
        self._disarm()
        self._due = float("-inf")
        if self._task is not None:
            self._task.cancel()

    def _arm(self) -> None:
        self._disarm()
        delay_s = self._due - self._timer.now()
        self._subscription = self._timer.after(delay_s, self._begin)

    def _disarm(self) -> None:
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None

    def _begin(self) -> None:
        self._due = float("inf")
        self._task = asyncio.ensure_future(self._ask())

    async def _ask(self) -> None:
        sent_at = self._timer.now()
        name = self.target.name
        try:
            status = await self._port.status(self.target, self._timeout_s)
        except TargetUnavailable:
            report = (self._on_failure, (name, sent_at))
        else:
            report = (self._on_status, (name, status, sent_at))
        self._task = None
        if self._due == float("-inf"):
            return
        callback, args = report
        callback(*args)
        if self._task is None and self._due < float("inf"):
            self._arm()
