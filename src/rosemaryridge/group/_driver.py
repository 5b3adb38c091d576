"""Carry out the effects that a group's failover state machine returns."""

import asyncio
import random
import typing as t

from rosemaryridge.config import GroupSettings
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.group import _events as ev
from rosemaryridge.group._failover import Failover
from rosemaryridge.group._group import Group
from rosemaryridge.group._messages import GroupLed
from rosemaryridge.group._messages import GroupSilence
from rosemaryridge.group._messages import GroupTakeover
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._view import ObservedStatus
from rosemaryridge.model import TargetStatus
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerMessage
from rosemaryridge.telemetry import Log
from rosemaryridge.timer import TimerService

log = Log("group")

_Command = t.Callable[..., t.Awaitable[TargetStatus]]
_Executor = t.Callable[["FailoverDriver", t.Any], None]
_EXECUTORS: dict[type, _Executor] = {}


def _executes(kind: type) -> t.Callable[[_Executor], _Executor]:
    def register(executor: _Executor) -> _Executor:
        _EXECUTORS[kind] = executor
        return executor

    return register


class FailoverDriver:
    """Pass events to one group's `Failover` and carry out the effects it returns."""

    def __init__(
        self,
        cfg: GroupSettings,
        timer: TimerService,
        rng: random.Random,
        port: TargetPort,
        bus: PeerBus,
        group: Group,
        vm: str,
        skip_fencing: bool,
    ):
        self.watchers: tuple[str, ...] = ()
        self.on_promotion: list[t.Callable[[int, str], None]] = []
        self._cfg = cfg
        self._timer = timer
        self._port = port
        self._bus = bus
        self._group = group
        self._vm = vm
        self._failover = Failover(cfg, group.view, rng, vm, skip_fencing)
        self._tasks: set[asyncio.Task] = set()
        group.on_status.append(self._on_status)
        group.on_status_failure.append(self._on_status_failure)

    @property
    def is_watcher(self) -> bool:
        """Return whether this proxy is one of the group's watchers."""
        return self._vm in self.watchers

    def set_watchers(self, watchers: tuple[str, ...]) -> None:
        """Set the VMs that watch the group, in the order of their ranks."""
        if watchers == self.watchers:
            return
        self.watchers = watchers
        rank = watchers.index(self._vm) if self._vm in watchers else None
        self.handle_event(ev.RankChanged(rank, len(watchers)))

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to `Failover` and carry out its effects."""
        for effect in self._failover.on_event(event, self._timer.now()):
            _EXECUTORS[type(effect)](self, effect)

    def stop(self) -> None:
        """Cancel the requests to targets that are under way."""
        for task in self._tasks:
            task.cancel()

    def _on_status(self, target: str, status: TargetStatus, sent_at: float) -> None:
        self.handle_event(ev.StatusReceived(target, status, sent_at))

    def _on_status_failure(self, target: str, sent_at: float) -> None:
        self.handle_event(ev.StatusFailed(target, sent_at))

    @_executes(ev.Poll)
    def _poll(self, effect: ev.Poll) -> None:
        self._group.poll((effect.target,))

    @_executes(ev.Fence)
    def _fence(self, effect: ev.Fence) -> None:
        args = (effect.term, effect.candidate)
        self._spawn(
            self._send_command(effect, self._port.fence, args, self._on_fence_ended)
        )

    @_executes(ev.Promote)
    def _promote(self, effect: ev.Promote) -> None:
        args = (effect.term, effect.candidate)
        self._spawn(
            self._send_command(effect, self._port.promote, args, self._on_promote_ended)
        )

    @_executes(ev.Follow)
    def _follow(self, effect: ev.Follow) -> None:
        primary = self._group.target(effect.primary)
        if primary is not None:
            args = (effect.term, primary.endpoint)
            self._spawn(
                self._send_command(
                    effect, self._port.follow, args, self._on_follow_ended
                )
            )

    @_executes(ev.ReportSilence)
    def _report(self, effect: ev.ReportSilence) -> None:
        service = self._group.service.name
        self._send_to_watchers(
            GroupSilence(service, effect.primary, effect.term, effect.silence_s)
        )

    @_executes(ev.AnnounceTakeover)
    def _announce_takeover(self, effect: ev.AnnounceTakeover) -> None:
        service = self._group.service.name
        cause = effect.cause.value
        log.warning("A takeover began.", service=service, term=effect.term, cause=cause)
        self._send_to_watchers(GroupTakeover(service, effect.term))

    @_executes(ev.LogFailedTakeover)
    def _log_failed_takeover(self, effect: ev.LogFailedTakeover) -> None:
        service = self._group.service.name
        log.warning("A takeover failed: no promotion was confirmed.", service=service)

    @_executes(ev.AnnouncePromotion)
    def _announce_promotion(self, effect: ev.AnnouncePromotion) -> None:
        service = self._group.service.name
        log.warning(
            "A target was promoted.",
            service=service,
            term=effect.term,
            target=effect.primary,
        )
        self._bus.broadcast(GroupLed(service, effect.term, effect.primary))
        self._group.notify_promotion()
        for callback in self.on_promotion:
            callback(effect.term, effect.primary)

    def _send_to_watchers(self, message: PeerMessage) -> None:
        for vm in self.watchers:
            if vm != self._vm:
                self._bus.send(vm, message)

    def _spawn(self, coro: t.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_command(
        self, effect: t.Any, command: _Command, args: tuple, on_ended: t.Callable
    ) -> None:
        target = self._group.target(effect.target)
        if target is None:
            return
        sent_at = self._timer.now()
        status, refusal = None, None
        try:
            status = await command(target, *args, self._cfg.status_timeout_s)
        except FenceRefused as exc:
            refusal = exc
        except TargetUnavailable:
            pass
        if status is not None:
            self._group.observe(effect.target, ObservedStatus(status, sent_at))
        on_ended(effect, status, refusal)

    def _on_fence_ended(
        self, effect: ev.Fence, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        refused_term = max(exc.fenced_term, effect.term) if exc else 0
        event = ev.FenceEnded(effect.target, effect.term, status, refused_term)
        self.handle_event(event)

    def _on_promote_ended(
        self, effect: ev.Promote, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        refused = exc is not None
        self.handle_event(ev.PromoteEnded(effect.target, effect.term, status, refused))

    def _on_follow_ended(
        self, effect: ev.Follow, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        # A refusal brings no status; poll for the term that the target is in.
        if exc is not None:
            self._group.poll((effect.target,))
