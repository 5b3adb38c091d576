"""Request the status of one target, one request at a time."""

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
    """Request a target's status on demand.

    At most one request is under way. Calls of `schedule` before the next request is
    sent share that request.
    """

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
        self._due_at = float("inf")
        self._scheduled: Subscription | None = None

    def schedule(self, delay_s: float = 0.0) -> None:
        """Schedule a request to be sent within `delay_s` seconds if none is under way.

        Otherwise the request is sent after the current one has ended.
        """
        due_at = self._timer.now() + delay_s
        if due_at >= self._due_at:
            return
        self._due_at = due_at
        if self._task is None:
            self._start_timer()

    def stop(self) -> None:
        """Cancel the scheduled request and the request under way."""
        self._cancel_timer()
        # Marks the poller as stopped: no request is due any more.
        self._due_at = float("-inf")
        if self._task is not None:
            self._task.cancel()

    def _start_timer(self) -> None:
        self._cancel_timer()
        delay_s = self._due_at - self._timer.now()
        self._scheduled = self._timer.after(delay_s, self._start_request)

    def _cancel_timer(self) -> None:
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None

    def _start_request(self) -> None:
        self._due_at = float("inf")
        self._task = asyncio.ensure_future(self._request_status())

    async def _request_status(self) -> None:
        sent_at = self._timer.now()
        name = self.target.name
        try:
            status = await self._port.status(self.target, self._timeout_s)
        except TargetUnavailable:
            report = (self._on_failure, (name, sent_at))
        else:
            report = (self._on_status, (name, status, sent_at))
        self._task = None
        if self._due_at == float("-inf"):
            return
        callback, args = report
        callback(*args)
        if self._task is None and self._due_at < float("inf"):
            self._start_timer()
