"""Model the usual way: a fixed timeout, then the store's lease."""

import dataclasses
import typing as t

from rosemaryridge.group import _events as ev
from rosemaryridge.group._election import Election
from rosemaryridge.model import Role
from rosemaryridge_testbed.experiments._proxy import ModelProxy

_TIMEOUT_S = 1.0
_LEASE_S = 3.0
_RENEW_S = 1.0
_RETRY_S = 0.25


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the lease that the primary renews while it can."""

    latency_s: float = 0.004
    down: bool = False
    expires_at: float = _LEASE_S


class LeaseFailover:
    """Depose a primary that is silent to this proxy alone, once its lease is over."""

    def __init__(self, proxy: "BaselineProxy"):
        self.candidate_term: int | None = None
        self._proxy = proxy
        self._rank = 0
        self._silent_since: float | None = None
        self._polled_at = float("-inf")
        self._asked_at = float("-inf")
        self._election: Election | None = None
        self._renewed_at = float("-inf")

    def on_event(self, event: ev.Event, now: float) -> tuple[ev.Effect, ...]:
        """Take in one event and return what to do about it."""
        view = self._proxy.view
        if isinstance(event, ev.Ranked):
            self._rank = event.rank
        if isinstance(event, ev.StatusReceived) and event.target == view.primary:
            self._silent_since = None
        if isinstance(event, ev.StatusFailed) and event.target == view.primary:
            self._silent_since = self._silent_since or event.sent_at
        if isinstance(event, ev.Tick):
            return self._tick(now)
        return self._elect(event)

    def _tick(self, now: float) -> tuple[ev.Effect, ...]:
        self._renew(now)
        effects: tuple[ev.Effect, ...] = ()
        if now - self._polled_at >= self._proxy.cfg.poll_period_s:
            self._polled_at = now
            effects = tuple(ev.Poll(name) for name in self._proxy.view.targets)
        silent = self._silent_since is not None
        if silent and now - self._silent_since >= _TIMEOUT_S:
            self._ask_lease(now)
        return effects

    def _renew(self, now: float) -> None:
        store, network = self._proxy.store, self._proxy.network
        if self._rank or store.down or now - self._renewed_at < _RENEW_S:
            return
        self._renewed_at = now
        leader = max(self._proxy.targets.values(), key=lambda one: one.term)
        if leader.role is Role.PRIMARY and network.is_up(leader.name):
            store.expires_at = now + _LEASE_S

    def _ask_lease(self, now: float) -> None:
        store = self._proxy.store
        if self._election or store.down or now - self._asked_at < _RETRY_S:
            return
        self._asked_at = now
        self._proxy.network.timer.after(2 * store.latency_s, self._lease_answered)

    def _lease_answered(self) -> None:
        now = self._proxy.network.timer.now()
        store, view = self._proxy.store, self._proxy.view
        if self._election or now < store.expires_at:
            return
        store.expires_at = now + _LEASE_S
        others = tuple(name for name in view.targets if name != view.primary)
        term = view.highest_term + 1
        self._election = Election(
            term, self._proxy.vm, others, view.majority, view.primary, now
        )
        for effect in (
            ev.TakeoverBegan(term, ev.Cause.UNRESPONSIVE),
            *self._election.begin(),
        ):
            self._proxy.act(effect)

    def _elect(self, event: t.Any) -> tuple[ev.Effect, ...]:
        if self._election is None:
            return ()
        if isinstance(event, ev.FenceEnded):
            return self._election.on_fence_ended(event)
        if not isinstance(event, ev.PromoteEnded):
            return ()
        effects = self._election.on_promote_ended(event)
        if self._election.winner is None:
            return effects
        term, primary = self._election.term, self._election.winner
        self._election = self._silent_since = None
        self._proxy.view.record_promotion(term, primary)
        others = [name for name in self._proxy.view.targets if name != primary]
        follows = tuple(ev.Follow(name, term, primary) for name in others)
        return (ev.Promoted(term, primary), *follows)


class BaselineProxy(ModelProxy):
    """Run the baseline in place of the aggregate."""

    store = Store()

    def __init__(self, cluster: t.Any, vm: str, *args: t.Any):
        self.network = cluster.network
        self.targets = cluster.targets
        super().__init__(cluster, vm, *args)
        self.failover = LeaseFailover(self)


def baseline_type(latency_s: float, down: bool) -> type[BaselineProxy]:
    """Return a proxy type whose proxies share a store of their own."""
    return type("Baseline", (BaselineProxy,), {"store": Store(latency_s, down)})
