"""Model a proxy that watches, fails over and writes."""

import random
import typing as t

from rosemaryridge.config import GroupSettings
from rosemaryridge.group import GroupView
from rosemaryridge.group import ObservedStatus
from rosemaryridge.group import _events as ev
from rosemaryridge.group._acknowledge import AcknowledgeTracker
from rosemaryridge.group._acknowledge import Waiter
from rosemaryridge.group._failover import Failover
from rosemaryridge.model import TargetStatus
from rosemaryridge_testbed.experiments._network import Network
from rosemaryridge_testbed.experiments._target import ModelTarget
from rosemaryridge_testbed.experiments._target import Refused

if t.TYPE_CHECKING:
    from rosemaryridge_testbed.experiments._cluster import Cluster

_TICK_S = 0.025
_DEADLINE_S = 0.5


class ModelProxy:
    """Run the pure parts of one proxy on the model's network."""

    def __init__(
        self,
        cluster: "Cluster",
        vm: str,
        rng: random.Random,
        acknowledge_early: bool,
        skip_fencing: bool,
    ):
        self.vm = vm
        self.cfg: GroupSettings = cluster.cfg
        self.view = GroupView("shop", tuple(cluster.targets))
        self.failover = Failover(self.cfg, self.view, rng, vm, skip_fencing)
        self._cluster = cluster
        self._network: Network = cluster.network
        self._window = AcknowledgeTracker(self.view, acknowledge_early)
        self._waiting: dict[int, tuple[str, int]] = {}
        self._asking: set[str] = set()
        self._ask_again: set[str] = set()
        self._reconnect: set[str] = set()
        self._stopped = False
        self._tick()

    def stop(self) -> None:
        """End this process; what it waits for no longer matters."""
        self._stopped = True

    def event(self, event: ev.Event) -> None:
        """Give the aggregate an event and carry out its effects."""
        if self._stopped:
            return
        for effect in self.failover.on_event(event, self._network.timer.now()):
            self.act(effect)

    def act(self, effect: ev.Effect) -> None:
        """Carry out one effect."""
        if isinstance(effect, ev.Poll):
            self.poll(effect.target)
        elif isinstance(effect, ev.Fence):
            self._verb(
                effect,
                lambda one: one.fence(effect.term, effect.candidate),
                ev.FenceEnded,
            )
        elif isinstance(effect, ev.Promote):
            self._verb(
                effect,
                lambda one: one.promote(effect.term, effect.candidate),
                ev.PromoteEnded,
            )
        elif isinstance(effect, ev.Follow):
            self._verb(
                effect, lambda one: one.follow(effect.term, effect.primary), None
            )
        else:
            self._tell(effect)

    def write(self, value: str) -> None:
        """Commit on the primary that this proxy knows and wait for a majority."""
        primary, term = self.view.primary, self.view.term
        if primary is None or not self._network.is_up(self.vm):
            return
        target = self._cluster.targets[primary]

        def commit() -> None:
            try:
                target.commit(value)
            except Refused:
                return
            self._cluster.history.committed(value, target.term)
            self._network.send(primary, self.vm, committed)

        def committed() -> None:
            waiter = Waiter(primary, term, self._network.timer.now())
            key = self._window.add(waiter)
            self._waiting[key] = (value, term)
            self._network.timer.after(_DEADLINE_S, lambda: self._expire(key))
            for name in self._cluster.targets:
                self.poll(name)

        self._network.send(self.vm, primary, commit)

    def _expire(self, key: int) -> None:
        self._window.remove(key)
        self._waiting.pop(key, None)

    def poll(self, name: str) -> None:
        """Ask a target for its status; one request at a time."""
        if self._stopped:
            return
        if name in self._asking:
            self._ask_again.add(name)
            return
        self._asking.add(name)
        sent_at = self._network.timer.now()
        self._call(
            name, ModelTarget.status, lambda got: self._answered(name, got, sent_at)
        )

    def _answered(self, name: str, got: TargetStatus | None, sent_at: float) -> None:
        self._asking.discard(name)
        if got is None:
            self.event(ev.StatusFailed(name, sent_at))
        else:
            self.observe(name, got, sent_at)
            self.event(ev.StatusReceived(name, got, sent_at))
        if name in self._ask_again:
            self._ask_again.discard(name)
            self.poll(name)
        elif self._waiting:
            pace_s = self.cfg.acknowledge_pace_s
            self._network.timer.after(pace_s, lambda: self._poll_waiting(name))

    def _poll_waiting(self, name: str) -> None:
        if self._waiting and name not in self._asking:
            self.poll(name)

    def observe(self, name: str, status: TargetStatus, seen_at: float) -> None:
        """Give the view a status and settle who waited for it."""
        if self._stopped:
            return
        self.view.observe(name, ObservedStatus(status, seen_at))
        for settled in self._window.pop_finished():
            value, term = self._waiting.pop(settled.key)
            if settled.code is None:
                self._cluster.history.acknowledged(value, term)

    def _verb(self, effect: t.Any, verb: t.Callable, ended: t.Any) -> None:
        sent_at = self._network.timer.now()

        def done(got: TargetStatus | Refused | None) -> None:
            if isinstance(got, TargetStatus):
                self.observe(effect.target, got, sent_at)
            if ended is None:
                return
            status = got if isinstance(got, TargetStatus) else None
            extra = {}
            if isinstance(got, Refused):
                extra = {"refused": True} if ended is ev.PromoteEnded else {}
                extra = extra or {"refused_term": effect.term}
            self.event(ended(effect.target, effect.term, status, **extra))

        self._call(effect.target, verb, done)

    def _call(self, name: str, verb: t.Callable, done: t.Callable) -> None:
        ended = []

        def finish(got: t.Any) -> None:
            if ended:
                return
            ended.append(True)
            if got is None:
                self._reconnect.add(name)
            done(got)

        def serve() -> None:
            try:
                got = verb(self._cluster.targets[name])
            except Refused as exc:
                got = exc
            self._network.send(name, self.vm, lambda: finish(got))

        extra_s = self._network.latency.connect_s if name in self._reconnect else 0.0
        self._reconnect.discard(name)
        self._network.send(self.vm, name, serve, extra_s)
        self._network.timer.after(
            self.cfg.status_timeout_s,
            lambda: self._network.run(self.vm, lambda: finish(None)),
        )

    def _tell(self, effect: ev.Effect) -> None:
        if isinstance(effect, ev.TakeoverBegan):
            self._cluster.history.began(effect)
        for other in self._cluster.proxies.values():
            if other is not self:
                self._network.send(
                    self.vm, other.vm, lambda other=other: other.told(self.vm, effect)
                )

    def told(self, vm: str, effect: ev.Effect) -> None:
        """Take in what another watcher tells."""
        if isinstance(effect, ev.ReportSilence):
            report = (vm, effect.primary, effect.term, effect.silence_s)
            self.event(ev.PeerReportedSilence(*report))
        elif isinstance(effect, ev.TakeoverBegan):
            self.event(ev.PeerBeganTakeover(effect.term))
        elif isinstance(effect, ev.Promoted):
            self.view.record_promotion(effect.term, effect.primary)
            self.poll(effect.primary)

    def _tick(self) -> None:
        if self._stopped:
            return
        self._network.timer.after(_TICK_S, self._tick)
        if self._network.is_up(self.vm):
            self.event(ev.Tick())
