"""Poll one group's targets and complete the waits for a majority."""

import asyncio
import typing as t

from rosemaryridge.config import FaultSettings
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.group._acknowledge import AcknowledgeTracker
from rosemaryridge.group._acknowledge import MajorityWait
from rosemaryridge.group._acknowledge import WaitResult
from rosemaryridge.group._poller import Poller
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.model import TargetStatus
from rosemaryridge.timer import TimerService

_POLL_DELAY_GROWTH = 1.5
_MAX_POLL_DELAY_S = 0.05
_STATUS_WAIT_POLL_DELAY_S = 0.05


class Group:
    """Maintain the view of one group and the callers that wait for its majority."""

    def __init__(
        self,
        cfg: GroupSettings,
        faults: FaultSettings,
        timer: TimerService,
        port: TargetPort,
        service: ServiceConfig,
    ):
        self.service = service
        self.view = GroupView(service.name, (target.name for target in service.targets))
        self.on_status: list[t.Callable[[str, TargetStatus, float], None]] = []
        self.on_status_failure: list[t.Callable[[str, float], None]] = []
        self.on_primary_change: list[t.Callable[[], None]] = []
        self._cfg = cfg
        self._timer = timer
        self._port = port
        self._tracker = AcknowledgeTracker(self.view, faults.acknowledge_early)
        self._futures: dict[int, asyncio.Future[WaitResult | None]] = {}
        self._status_futures: set[asyncio.Future[bool]] = set()
        self._poll_delays: dict[str, float] = {}
        self._pollers: dict[str, Poller] = {}
        self._update_pollers()

    def adopt(self, service: ServiceConfig) -> None:
        """Apply a changed configuration."""
        self.service = service
        self.view.set_targets(target.name for target in service.targets)
        self._update_pollers()

    def stop(self) -> None:
        """Stop polling the targets."""
        for poller in self._pollers.values():
            poller.stop()

    def poll(self, targets: t.Iterable[str] | None = None) -> None:
        """Request the status of the named targets, or of all, as soon as possible."""
        for name in self._pollers if targets is None else targets:
            if name in self._pollers:
                self._pollers[name].schedule()

    def target(self, name: str) -> TargetConfig | None:
        """Return a target's configuration, None if it is not a target of the group."""
        poller = self._pollers.get(name)
        return poller.target if poller else None

    def notify_promotion(self) -> None:
        """Complete waits and call back after the view has recorded a promotion."""
        self._complete_waits()
        self._notify_primary_change()

    def record_promotion(self, term: int, primary: str) -> bool:
        """Record a promotion; return whether the view changed."""
        changed = self.view.record_promotion(term, primary)
        if changed:
            self.notify_promotion()
        return changed

    def observe(self, target: str, entry: ObservedStatus) -> None:
        """Record a status and complete the waits that it ends."""
        if self.view.observe(target, entry):
            self._notify_primary_change()
        self._complete_waits()
        for future in self._status_futures:
            if not future.done():
                future.set_result(True)

    async def wait(self, waiter: MajorityWait, deadline: float) -> WaitResult | None:
        """Return how a wait ended, None if the deadline (monotonic seconds) passed."""
        key = self._tracker.add(waiter)
        future = asyncio.get_running_loop().create_future()
        self._futures[key] = future
        self._poll_delays.clear()
        self._complete_waits()
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
            self._tracker.remove(key)

    async def next_status(self, until: float) -> bool:
        """Wait for the next status; return whether it came before monotonic `until`."""
        future = asyncio.get_running_loop().create_future()
        self._status_futures.add(future)
        for poller in self._pollers.values():
            poller.schedule(_STATUS_WAIT_POLL_DELAY_S)
        expiry = self._timer.after(
            until - self._timer.now(),
            lambda: future.done() or future.set_result(False),
        )
        try:
            return await future
        finally:
            expiry.cancel()
            self._status_futures.discard(future)

    def _update_pollers(self) -> None:
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
                    self._on_poll_status,
                    self._on_poll_failure,
                )

    def _on_poll_status(self, name: str, status: TargetStatus, sent_at: float) -> None:
        self.observe(name, ObservedStatus(status, sent_at))
        for callback in self.on_status:
            callback(name, status, sent_at)
        self._poll_for_waiters(name)

    def _on_poll_failure(self, name: str, sent_at: float) -> None:
        for callback in self.on_status_failure:
            callback(name, sent_at)
        self._poll_for_waiters(name)

    def _poll_for_waiters(self, name: str) -> None:
        if not self._tracker:
            return
        delay_s = self._poll_delays.get(name, self._cfg.acknowledge_pace_s)
        self._poll_delays[name] = min(delay_s * _POLL_DELAY_GROWTH, _MAX_POLL_DELAY_S)
        self._pollers[name].schedule(delay_s)

    def _complete_waits(self) -> None:
        for result in self._tracker.pop_finished():
            future = self._futures.pop(result.key)
            if not future.done():
                future.set_result(result)

    def _notify_primary_change(self) -> None:
        for callback in self.on_primary_change:
            callback()
