"""Carry out what a group's failover aggregate decides."""

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

_Verb = t.Callable[..., t.Awaitable[TargetStatus]]
_Runner = t.Callable[["FailoverDriver", t.Any], None]
_RUNNERS: dict[type, _Runner] = {}


def _runs(kind: type) -> t.Callable[[_Runner], _Runner]:
    def register(runner: _Runner) -> _Runner:
        _RUNNERS[kind] = runner
        return runner

    return register


class FailoverDriver:
    """Feed one group's aggregate and turn its effects into calls and messages."""

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
        self.on_led: list[t.Callable[[int, str], None]] = []
        self._cfg = cfg
        self._timer = timer
        self._port = port
        self._bus = bus
        self._group = group
        self._vm = vm
        self._failover = Failover(cfg, group.view, rng, vm, skip_fencing)
        self._tasks: set[asyncio.Task] = set()
        group.on_status.append(self._status_seen)
        group.on_failure.append(self._status_failed)

    @property
    def watches(self) -> bool:
        """Return whether this proxy is one of the group's watchers."""
        return self._vm in self.watchers

    def rank(self, watchers: tuple[str, ...]) -> None:
        """Take in who watches the group, ranked."""
        if watchers == self.watchers:
            return
        self.watchers = watchers
        rank = watchers.index(self._vm) if self._vm in watchers else None
        self.event(ev.Ranked(rank, len(watchers)))

    def event(self, event: ev.Event) -> None:
        """Give the aggregate an event and carry out its effects."""
        for effect in self._failover.on_event(event, self._timer.now()):
            _RUNNERS[type(effect)](self, effect)

    def stop(self) -> None:
        """Drop the verbs under way."""
        for task in self._tasks:
            task.cancel()

    def _status_seen(self, target: str, status: TargetStatus, sent_at: float) -> None:
        self.event(ev.StatusSeen(target, status, sent_at))

    def _status_failed(self, target: str, sent_at: float) -> None:
        self.event(ev.StatusFailed(target, sent_at))

    @_runs(ev.Poll)
    def _poll(self, effect: ev.Poll) -> None:
        self._group.poll((effect.target,))

    @_runs(ev.Fence)
    def _fence(self, effect: ev.Fence) -> None:
        args = (effect.term, effect.candidate)
        self._spawn(self._run(effect, self._port.fence, args, self._fence_ended))

    @_runs(ev.Promote)
    def _promote(self, effect: ev.Promote) -> None:
        args = (effect.term, effect.candidate)
        self._spawn(self._run(effect, self._port.promote, args, self._promote_ended))

    @_runs(ev.Follow)
    def _follow(self, effect: ev.Follow) -> None:
        primary = self._group.target(effect.primary)
        if primary is not None:
            args = (effect.term, primary.endpoint)
            self._spawn(self._run(effect, self._port.follow, args, self._follow_ended))

    @_runs(ev.Report)
    def _report(self, effect: ev.Report) -> None:
        service = self._group.service.name
        self._tell(GroupSilence(service, effect.primary, effect.term, effect.silence_s))

    @_runs(ev.TakeoverBegan)
    def _began(self, effect: ev.TakeoverBegan) -> None:
        service = self._group.service.name
        cause = effect.cause.value
        log.warning("A takeover began.", service=service, term=effect.term, cause=cause)
        self._tell(GroupTakeover(service, effect.term))

    @_runs(ev.TakeoverFailed)
    def _takeover_failed(self, effect: ev.TakeoverFailed) -> None:
        service = self._group.service.name
        log.warning("A takeover ended without a primary.", service=service)

    @_runs(ev.Led)
    def _led(self, effect: ev.Led) -> None:
        service = self._group.service.name
        log.warning(
            "A target was promoted.",
            service=service,
            term=effect.term,
            target=effect.primary,
        )
        self._bus.broadcast(GroupLed(service, effect.term, effect.primary))
        self._group.led()
        for callback in self.on_led:
            callback(effect.term, effect.primary)

    def _tell(self, message: PeerMessage) -> None:
        for vm in self.watchers:
            if vm != self._vm:
                self._bus.send(vm, message)

    def _spawn(self, work: t.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, effect: t.Any, verb: _Verb, args: tuple, ended: t.Callable
    ) -> None:
        target = self._group.target(effect.target)
        if target is None:
            return
        sent_at = self._timer.now()
        status, refusal = None, None
        try:
            status = await verb(target, *args, self._cfg.status_timeout_s)
        except FenceRefused as exc:
            refusal = exc
        except TargetUnavailable:
            pass
        if status is not None:
            self._group.observe(effect.target, ObservedStatus(status, sent_at))
        ended(effect, status, refusal)

    def _fence_ended(
        self, effect: ev.Fence, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        refused_term = max(exc.fenced_term, effect.term) if exc else 0
        ended = ev.FenceEnded(effect.target, effect.term, status, refused_term)
        self.event(ended)

    def _promote_ended(
        self, effect: ev.Promote, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        refused = exc is not None
        self.event(ev.PromoteEnded(effect.target, effect.term, status, refused))

    def _follow_ended(
        self, effect: ev.Follow, status: TargetStatus | None, exc: FenceRefused | None
    ) -> None:
        if exc is not None:
            self._group.poll((effect.target,))
