"""Model the usual failover: a fixed timeout, then a lease in the store."""

import dataclasses
import typing as t

from rosemaryridge.group import _events as ev
from rosemaryridge.group._election import Election
from rosemaryridge.model import Role
from rosemaryridge_testbed.experiments._proxy import ModelProxy

_UNRESPONSIVE_TIMEOUT_S = 1.0
_LEASE_S = 3.0
_LEASE_RENEW_PERIOD_S = 1.0
_LEASE_RETRY_PERIOD_S = 0.25


@dataclasses.dataclass(slots=True)
class Store:
    """Hold the lease that the primary renews while it is up."""

    latency_s: float = 0.004
    down: bool = False
    expires_at: float = _LEASE_S


class LeaseFailover:
    """Replace a primary unresponsive to this proxy once its lease has expired."""

    def __init__(self, proxy: "BaselineProxy"):
        self.candidate_term: int | None = None
        self._proxy = proxy
        self._rank = 0
        self._unresponsive_since: float | None = None
        self._polled_at = float("-inf")
        self._lease_requested_at = float("-inf")
        self._election: Election | None = None
        self._renewed_at = float("-inf")

    def on_event(self, event: ev.Event, now: float) -> tuple[ev.Effect, ...]:
        """Handle one event and return the effects to execute."""
        view = self._proxy.view
        if isinstance(event, ev.RankChanged):
            self._rank = event.rank
        if isinstance(event, ev.StatusReceived) and event.target == view.primary:
            self._unresponsive_since = None
        if isinstance(event, ev.StatusFailed) and event.target == view.primary:
            self._unresponsive_since = self._unresponsive_since or event.sent_at
        if isinstance(event, ev.Tick):
            return self._tick(now)
        return self._on_election_event(event)

    def _tick(self, now: float) -> tuple[ev.Effect, ...]:
        self._renew(now)
        effects: tuple[ev.Effect, ...] = ()
        if now - self._polled_at >= self._proxy.cfg.poll_period_s:
            self._polled_at = now
            effects = tuple(ev.Poll(name) for name in self._proxy.view.targets)
        unresponsive = self._unresponsive_since is not None
        if unresponsive and now - self._unresponsive_since >= _UNRESPONSIVE_TIMEOUT_S:
            self._request_lease(now)
        return effects

    def _renew(self, now: float) -> None:
        store, network = self._proxy.store, self._proxy.network
        if self._rank or store.down or now - self._renewed_at < _LEASE_RENEW_PERIOD_S:
            return
        self._renewed_at = now
        primary = max(self._proxy.targets.values(), key=lambda target: target.term)
        if primary.role is Role.PRIMARY and network.is_up(primary.name):
            store.expires_at = now + _LEASE_S

    def _request_lease(self, now: float) -> None:
        store = self._proxy.store
        if (
            self._election
            or store.down
            or now - self._lease_requested_at < _LEASE_RETRY_PERIOD_S
        ):
            return
        self._lease_requested_at = now
        self._proxy.network.timer.after(2 * store.latency_s, self._on_lease_response)

    def _on_lease_response(self) -> None:
        now = self._proxy.network.timer.now()
        store, view = self._proxy.store, self._proxy.view
        if self._election or now < store.expires_at:
            return
        store.expires_at = now + _LEASE_S
        others = tuple(name for name in view.targets if name != view.primary)
        term = view.highest_term + 1
        self._election = Election(
            term, self._proxy.vm, others, view.majority_size, view.primary, now
        )
        for effect in (
            ev.AnnounceTakeover(term, ev.Cause.UNRESPONSIVE),
            *self._election.begin(),
        ):
            self._proxy.act(effect)

    def _on_election_event(self, event: t.Any) -> tuple[ev.Effect, ...]:
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
        self._election = self._unresponsive_since = None
        self._proxy.view.record_promotion(term, primary)
        others = [name for name in self._proxy.view.targets if name != primary]
        follows = tuple(ev.Follow(name, term, primary) for name in others)
        return (ev.AnnouncePromotion(term, primary), *follows)


class BaselineProxy(ModelProxy):
    """Run the baseline instead of the proxy's failover logic."""

    store = Store()

    def __init__(self, cluster: t.Any, vm: str, *args: t.Any):
        self.network = cluster.network
        self.targets = cluster.targets
        super().__init__(cluster, vm, *args)
        self.failover = LeaseFailover(self)


def baseline_type(latency_s: float, down: bool) -> type[BaselineProxy]:
    """Return a proxy type whose proxies share one new store."""
    return type("Baseline", (BaselineProxy,), {"store": Store(latency_s, down)})
