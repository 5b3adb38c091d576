"""Poll one group's targets and settle those who wait for a majority."""

import asyncio
import typing as t

from rosemaryridge.config import FaultSettings
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.group._acknowledge import AcknowledgeWindow
from rosemaryridge.group._acknowledge import Settled
from rosemaryridge.group._acknowledge import Waiter
from rosemaryridge.group._poller import Poller
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.model import TargetStatus
from rosemaryridge.timer import TimerService

_PACE_GROWTH = 1.5
_MAX_PACE_S = 0.05
_WATCH_PACE_S = 0.05


class Group:
    """Keep the view of one group fresh for its waiters."""

    def __init__(
        self,
        cfg: GroupSettings,
        faults: FaultSettings,
        timer: TimerService,
        port: TargetPort,
        service: ServiceConfig,
    ):
        self.service = service
        self.view = GroupView(service.name, (one.name for one in service.targets))
        self.on_status: list[t.Callable[[str, TargetStatus, float], None]] = []
        self.on_failure: list[t.Callable[[str, float], None]] = []
        self.on_primary: list[t.Callable[[], None]] = []
        self._cfg = cfg
        self._timer = timer
        self._port = port
        self._window = AcknowledgeWindow(self.view, faults.acknowledge_early)
        self._futures: dict[int, asyncio.Future[Settled | None]] = {}
        self._watching: set[asyncio.Future[bool]] = set()
        self._paces: dict[str, float] = {}
        self._pollers: dict[str, Poller] = {}
        self._rebuild_pollers()

    def adopt(self, service: ServiceConfig) -> None:
        """Take over a changed configuration."""
        self.service = service
        self.view.retarget(one.name for one in service.targets)
        self._rebuild_pollers()

    def stop(self) -> None:
        """Stop polling."""
        for poller in self._pollers.values():
            poller.stop()

    def poll(self, targets: t.Iterable[str] | None = None) -> None:
        """Ask the named targets, or all, for their status now."""
        for name in self._pollers if targets is None else targets:
            if name in self._pollers:
                self._pollers[name].kick()

    def target(self, name: str) -> TargetConfig | None:
        """Return a target's configuration, None where it is no longer one."""
        poller = self._pollers.get(name)
        return poller.target if poller else None

    def led(self) -> None:
        """Settle and tell those who wait, after a promotion by this proxy."""
        self._settle()
        self._primary_changed()

    def announce(self, term: int, primary: str) -> bool:
        """Take in who was promoted; return whether that is news."""
        news = self.view.announce(term, primary)
        if news:
            self.led()
        return news

    def observe(self, target: str, entry: ObservedStatus) -> None:
        """Take in a status and settle who waited for it."""
        if self.view.observe(target, entry):
            self._primary_changed()
        self._settle()
        for future in self._watching:
            if not future.done():
                future.set_result(True)

    async def wait(self, waiter: Waiter, deadline: float) -> Settled | None:
        """Return how the wait ended, or None at the deadline."""
        key = self._window.add(waiter)
        future = asyncio.get_running_loop().create_future()
        self._futures[key] = future
        self._paces.clear()
        self._settle()
        if not future.done():
            self.poll()
        expiry = self._timer.after(
            deadline - self._timer.now(),
            lambda: future.done() or future.set_result(None),
        )
        try:
            return await future
        finally:
            expiry.cancel()
            self._futures.pop(key, None)
            self._window.drop(key)

    async def next_status(self, until: float) -> bool:
        """Return whether a target's status came in before a monotonic time."""
        future = asyncio.get_running_loop().create_future()
        self._watching.add(future)
        for poller in self._pollers.values():
            poller.kick(_WATCH_PACE_S)
        expiry = self._timer.after(
            until - self._timer.now(),
            lambda: future.done() or future.set_result(False),
        )
        try:
            return await future
        finally:
            expiry.cancel()
            self._watching.discard(future)

    def _rebuild_pollers(self) -> None:
        wanted = {target.name: target for target in self.service.targets}
        for name, poller in list(self._pollers.items()):
            if wanted.get(name) != poller.target:
                self._pollers.pop(name).stop()
        for name, target in wanted.items():
            if name not in self._pollers:
                self._pollers[name] = Poller(
                    self._timer,
                    self._port,
                    target,
                    self._cfg.status_timeout_s,
                    self._status_seen,
                    self._status_failed,
                )

    def _status_seen(self, name: str, status: TargetStatus, sent_at: float) -> None:
        self.observe(name, ObservedStatus(status, sent_at))
        for callback in self.on_status:
            callback(name, status, sent_at)
        self._poll_again(name)

    def _status_failed(self, name: str, sent_at: float) -> None:
        for callback in self.on_failure:
            callback(name, sent_at)
        self._poll_again(name)

    def _poll_again(self, name: str) -> None:
        if not self._window:
            return
        pace_s = self._paces.get(name, self._cfg.acknowledge_pace_s)
        self._paces[name] = min(pace_s * _PACE_GROWTH, _MAX_PACE_S)
        self._pollers[name].kick(pace_s)

    def _settle(self) -> None:
        for settled in self._window.settle():
            future = self._futures.pop(settled.key)
            if not future.done():
                future.set_result(settled)

    def _primary_changed(self) -> None:
        for callback in self.on_primary:
            callback()
