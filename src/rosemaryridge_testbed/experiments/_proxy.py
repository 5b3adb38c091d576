"""Model a proxy that watches a group, runs failovers and writes."""

import random
import typing as t

from rosemaryridge.config import GroupSettings
from rosemaryridge.group import GroupView
from rosemaryridge.group import ObservedStatus
from rosemaryridge.group import _events as ev
from rosemaryridge.group._acknowledge import AcknowledgeTracker
from rosemaryridge.group._acknowledge import MajorityWait
from rosemaryridge.group._failover import Failover
from rosemaryridge.model import TargetStatus
from rosemaryridge_testbed.experiments._network import Network
from rosemaryridge_testbed.experiments._target import ModelTarget
from rosemaryridge_testbed.experiments._target import Refused

if t.TYPE_CHECKING:
    from rosemaryridge_testbed.experiments._cluster import Cluster

_TICK_PERIOD_S = 0.025
_ACKNOWLEDGE_TIMEOUT_S = 0.5


class ModelProxy:
    """Run the failover and acknowledgement logic of one proxy on a model network."""

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
        self._tracker = AcknowledgeTracker(self.view, acknowledge_early)
        self._waiting: dict[int, tuple[str, int]] = {}
        self._polling: set[str] = set()
        self._poll_again: set[str] = set()
        self._disconnected: set[str] = set()
        self._stopped = False
        self._tick()

    def stop(self) -> None:
        """Stop this proxy; later answers and timers are ignored."""
        self._stopped = True

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the failover logic and execute its effects."""
        if self._stopped:
            return
        for effect in self.failover.on_event(event, self._network.timer.now()):
            self.act(effect)

    def act(self, effect: ev.Effect) -> None:
        """Execute one effect."""
        if isinstance(effect, ev.Poll):
            self.poll(effect.target)
        elif isinstance(effect, ev.Fence):
            self._run_verb(
                effect,
                lambda target: target.fence(effect.term, effect.candidate),
                ev.FenceEnded,
            )
        elif isinstance(effect, ev.Promote):
            self._run_verb(
                effect,
                lambda target: target.promote(effect.term, effect.candidate),
                ev.PromoteEnded,
            )
        elif isinstance(effect, ev.Follow):
            self._run_verb(
                effect, lambda target: target.follow(effect.term, effect.primary), None
            )
        else:
            self._broadcast(effect)

    def write(self, value: str) -> None:
        """Commit on the primary in this proxy's view and wait for a majority."""
        primary, term = self.view.primary, self.view.term
        if primary is None or not self._network.is_up(self.vm):
            return
        target = self._cluster.targets[primary]

        def commit() -> None:
            try:
                target.commit(value)
            except Refused:
                return
            self._cluster.history.record_commit(value, target.term)
            self._network.send(primary, self.vm, committed)

        def committed() -> None:
            waiter = MajorityWait(primary, term, self._network.timer.now())
            key = self._tracker.add(waiter)
            self._waiting[key] = (value, term)
            self._network.timer.after(_ACKNOWLEDGE_TIMEOUT_S, lambda: self._expire(key))
            for name in self._cluster.targets:
                self.poll(name)

        self._network.send(self.vm, primary, commit)

    def _expire(self, key: int) -> None:
        self._tracker.remove(key)
        self._waiting.pop(key, None)

    def poll(self, name: str) -> None:
        """Request a target's status, with one request in flight per target."""
        if self._stopped:
            return
        if name in self._polling:
            self._poll_again.add(name)
            return
        self._polling.add(name)
        sent_at = self._network.timer.now()
        self._call_target(
            name,
            ModelTarget.status,
            lambda result: self._on_status(name, result, sent_at),
        )

    def _on_status(
        self, name: str, result: TargetStatus | None, sent_at: float
    ) -> None:
        self._polling.discard(name)
        if result is None:
            self.handle_event(ev.StatusFailed(name, sent_at))
        else:
            self.observe(name, result, sent_at)
            self.handle_event(ev.StatusReceived(name, result, sent_at))
        if name in self._poll_again:
            self._poll_again.discard(name)
            self.poll(name)
        elif self._waiting:
            pace_s = self.cfg.acknowledge_pace_s
            self._network.timer.after(pace_s, lambda: self._poll_waiting(name))

    def _poll_waiting(self, name: str) -> None:
        if self._waiting and name not in self._polling:
            self.poll(name)

    def observe(self, name: str, status: TargetStatus, seen_at: float) -> None:
        """Record a status in the view and finish the writes it acknowledges."""
        if self._stopped:
            return
        self.view.observe(name, ObservedStatus(status, seen_at))
        for settled in self._tracker.pop_finished():
            value, term = self._waiting.pop(settled.key)
            if settled.code is None:
                self._cluster.history.record_acknowledgement(value, term)

    def _run_verb(self, effect: t.Any, verb: t.Callable, event_type: t.Any) -> None:
        sent_at = self._network.timer.now()

        def done(result: TargetStatus | Refused | None) -> None:
            if isinstance(result, TargetStatus):
                self.observe(effect.target, result, sent_at)
            if event_type is None:
                return
            status = result if isinstance(result, TargetStatus) else None
            extra = {}
            if isinstance(result, Refused):
                extra = {"refused": True} if event_type is ev.PromoteEnded else {}
                extra = extra or {"refused_term": effect.term}
            self.handle_event(event_type(effect.target, effect.term, status, **extra))

        self._call_target(effect.target, verb, done)

    def _call_target(self, name: str, verb: t.Callable, done: t.Callable) -> None:
        finished = []

        def finish(result: t.Any) -> None:
            if finished:
                return
            finished.append(True)
            if result is None:
                self._disconnected.add(name)
            done(result)

        def serve() -> None:
            try:
                result = verb(self._cluster.targets[name])
            except Refused as exc:
                result = exc
            self._network.send(name, self.vm, lambda: finish(result))

        extra_s = self._network.latency.connect_s if name in self._disconnected else 0.0
        self._disconnected.discard(name)
        self._network.send(self.vm, name, serve, extra_s)
        self._network.timer.after(
            self.cfg.status_timeout_s,
            lambda: self._network.run(self.vm, lambda: finish(None)),
        )

    def _broadcast(self, effect: ev.Effect) -> None:
        if isinstance(effect, ev.AnnounceTakeover):
            self._cluster.history.record_takeover(effect)
        for other in self._cluster.proxies.values():
            if other is not self:
                self._network.send(
                    self.vm,
                    other.vm,
                    lambda other=other: other.on_peer_effect(self.vm, effect),
                )

    def on_peer_effect(self, vm: str, effect: ev.Effect) -> None:
        """Handle an effect that another watcher has sent."""
        if isinstance(effect, ev.ReportSilence):
            report = (vm, effect.primary, effect.term, effect.silence_s)
            self.handle_event(ev.PeerReportedSilence(*report))
        elif isinstance(effect, ev.AnnounceTakeover):
            self.handle_event(ev.PeerBeganTakeover(effect.term))
        elif isinstance(effect, ev.AnnouncePromotion):
            self.view.record_promotion(effect.term, effect.primary)
            self.poll(effect.primary)

    def _tick(self) -> None:
        if self._stopped:
            return
        self._network.timer.after(_TICK_PERIOD_S, self._tick)
        if self._network.is_up(self.vm):
            self.handle_event(ev.Tick())
