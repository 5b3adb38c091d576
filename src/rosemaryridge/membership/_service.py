"""Maintain this proxy's view of the other proxies."""

import random
import typing as t

from rosemaryridge.config import MembershipSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.membership._bus import MemberBus
from rosemaryridge.membership._draining import DrainingTargets
from rosemaryridge.membership._member import Member
from rosemaryridge.membership._member import from_record
from rosemaryridge.membership._member import to_record
from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MembershipDelta
from rosemaryridge.membership._messages import MembershipDigest
from rosemaryridge.membership._messages import MemberState
from rosemaryridge.membership._messages import Suspicion
from rosemaryridge.membership._placement import Placement
from rosemaryridge.membership._table import MemberTable
from rosemaryridge.membership._vms import VmList
from rosemaryridge.model import Endpoint
from rosemaryridge.objects import ObjectStore
from rosemaryridge.objects import VmRecord
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_MIN_WATCHERS = 3
_MAX_CONTACTS = 3

Callback = t.Callable[[], None]


class Membership:
    """Track live members and draining targets by gossip, and place keys on members.

    Changes are broadcast to the connected peers, which forward what is new to them;
    periodic digests repair what was missed.
    """

    def __init__(
        self,
        cfg: MembershipSettings,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
        bus: MemberBus,
        store: ObjectStore,
        seeds: t.Iterable[Endpoint] = (),
    ):
        self.identity = identity
        self.draining = DrainingTargets()
        self.vms = VmList(cfg, timer, rng, store, identity.endpoint.port)
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._bus = bus
        self._seeds = tuple(seeds)
        self._table = MemberTable(to_record(identity), cfg.confirm_s, cfg.forget_s)
        self._placement = Placement()
        self._placement.add(identity.vm, identity.failure_domain)
        self._neighbours: frozenset[str] = frozenset()
        self._suspect_at: dict[str, float] = {}
        self._callbacks: list[Callback] = []
        self._subscriptions: list[Subscription] = []
        self._subscribe()

    def live(self) -> tuple[Member, ...]:
        """Return the members that accept new work, including this one."""
        return tuple(from_record(record) for record in self._table.live())

    def watchers(self, service: ServiceConfig) -> tuple[str, ...]:
        """Return the VMs that watch a service's group, by descending rank."""
        return self._placement.top(f"service/{service.name}", _MIN_WATCHERS)

    def holders(self, key: str, n: int) -> tuple[str, ...]:
        """Return the VMs that hold a key, in different failure domains if possible."""
        return self._placement.holders(key, n)

    def is_target_draining(self, target: str) -> bool:
        """Return whether a target, given by its key, must get no new work."""
        return target in self.draining

    def observe_target(self, target: str, leaving: bool) -> None:
        """Record whether a target drains, by its key; broadcast a change."""
        flag = self.draining.observe(target, leaving)
        if flag is not None:
            self._bus.broadcast(MembershipDelta(targets=(flag,)))
            self._notify_change()

    def on_change(self, callback: Callback) -> None:
        """Call back after the live members or the draining targets change."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Contact the seeds and start the periodic checks and VM list reads."""
        cfg = self._cfg
        self._subscriptions = [
            self._timer.every(cfg.tick_s, self._tick),
            self._timer.every(cfg.digest_s, self._send_digest, 0.5, self._rng),
            self._timer.every(cfg.rejoin_s, self._rejoin, 0.5, self._rng),
        ]
        self._rejoin()
        self.vms.start(lambda: len(self._table.live()), self._on_vms)

    async def stop(self) -> None:
        """Announce that this member has left and stop the periodic work."""
        self._announce(MemberState.LEFT)
        for subscription in self._subscriptions:
            subscription.cancel()
        self.vms.stop()

    def drain(self) -> None:
        """Announce that this member accepts no new work."""
        self._announce(MemberState.DRAINING)

    def _subscribe(self) -> None:
        self._bus.on_message(MembershipDelta, self._on_delta)
        self._bus.on_message(MembershipDigest, self._on_digest)
        self._bus.on_hello(self._on_hello)
        self._bus.on_resync(self._on_resync)
        self._bus.on_lost(self._on_lost)

    def _announce(self, state: MemberState) -> None:
        record = self._table.set_own_state(state)
        self._bus.broadcast(MembershipDelta(records=(record,)))
        self._update_member(record.vm)
        self._notify_change()

    def _on_hello(self, identity: PeerIdentity) -> None:
        self._suspect_at.pop(identity.vm, None)
        record = to_record(identity)
        known = self._table.get(identity.vm)
        if known is None or known.incarnation < record.incarnation:
            self._merge(MembershipDelta(records=(record,)), identity.vm)
        elif self._table.mark_alive(identity.vm):
            self._update_member(identity.vm)
            self._notify_change()

    def _on_resync(self, vm: str) -> None:
        self._bus.send(vm, self._digest())

    def _on_lost(self, vm: str) -> None:
        if vm in self._neighbours:
            self._suspect_at[vm] = self._timer.now() + self._cfg.doubt_s

    def _on_digest(self, vm: str, digest: MembershipDigest) -> None:
        buckets = self._table.differing_buckets(digest.buckets)
        flags = self.draining.flags() if digest.targets != self.draining.digest else ()
        if buckets or flags:
            records, suspicions = self._table.in_buckets(buckets)
            self._bus.send(vm, MembershipDelta(records, suspicions, flags))

    def _on_delta(self, vm: str, delta: MembershipDelta) -> None:
        self._merge(delta, vm)

    def _merge(self, delta: MembershipDelta, source: str) -> None:
        own = self._table.own_record
        suspected = {suspicion.vm for suspicion in delta.doubts}
        records = tuple(r for r in delta.records if self._apply_record(r, suspected))
        now = self._timer.now()
        suspicions = tuple(s for s in delta.doubts if self._table.suspect(s, now))
        targets = tuple(flag for flag in delta.targets if self.draining.apply(flag))
        for record in records:
            self._update_member(record.vm)
        if self._table.own_record is not own:
            records += (self._table.own_record,)
            suspicions = tuple(s for s in suspicions if s.vm != own.vm)
        if records or suspicions or targets:
            self._forward(MembershipDelta(records, suspicions, targets), source)
        if records or targets:
            self._notify_change()

    def _apply_record(self, record: MemberRecord, suspected: set[str]) -> bool:
        """Merge a record; return whether another member's record changed."""
        if record.vm in suspected and self._table.get(record.vm) is None:
            return False
        return self._table.apply(record) and record.vm != self.identity.vm

    def _forward(self, delta: MembershipDelta, source: str) -> None:
        # The source needs the delta too if this member's own record changed.
        refuted = any(record.vm == self.identity.vm for record in delta.records)
        self._bus.broadcast(delta, "" if refuted else source)

    def _tick(self) -> None:
        now = self._timer.now()
        connected = frozenset(self._bus.peers())
        self._suspect_disconnected(connected, now)
        before = {record.vm for record in self._table.live()}
        if self._table.expire(connected, now):
            removed = before - {record.vm for record in self._table.live()}
            for vm in removed:
                self._update_member(vm)
            self._notify_change()

    def _suspect_disconnected(self, connected: frozenset[str], now: float) -> None:
        for vm, due_at in list(self._suspect_at.items()):
            record = self._table.get(vm)
            if record is None or vm in connected or self._is_gone(record):
                del self._suspect_at[vm]
            elif due_at <= now:
                self._suspect_at[vm] = now + self._cfg.redoubt_s
                suspicion = Suspicion(vm, record.incarnation, record.version)
                self._merge(MembershipDelta(doubts=(suspicion,)), self.identity.vm)

    def _is_gone(self, record: MemberRecord) -> bool:
        return record.state is MemberState.LEFT or self._table.is_dead(record.vm)

    def _update_member(self, vm: str) -> None:
        record = self._table.get(vm)
        if record is None:
            return
        if record.state is MemberState.LIVE and not self._table.is_dead(vm):
            self._placement.add(vm, record.failure_domain)
        else:
            self._placement.remove(vm)
        if record.state is MemberState.LEFT:
            self._bus.remove_address(vm)
        else:
            self._bus.set_address(vm, Endpoint.parse(record.endpoint))

    def _notify_change(self) -> None:
        self._neighbours = frozenset(self._choose_neighbours())
        self._bus.set_neighbours(self._neighbours)
        for callback in self._callbacks:
            callback()

    def _choose_neighbours(self) -> tuple[str, ...]:
        others = [r.vm for r in self._table.live() if r.vm != self.identity.vm]
        if len(others) < self._cfg.full_mesh:
            return tuple(others)
        chosen = set(self._placement.neighbours(self.identity.vm, self._cfg.neighbours))
        successor = self._placement.successor(self.identity.vm)
        return tuple(chosen | {successor}) if successor else tuple(chosen)

    def _digest(self) -> MembershipDigest:
        return MembershipDigest(self._table.digest, self.draining.digest)

    def _send_digest(self) -> None:
        peers = self._bus.peers()
        if peers:
            self._bus.send(self._rng.choice(peers), self._digest())
        dead = self._table.dead()
        if dead:
            # Reconnects the two sides after a partition has healed.
            self._bus.contact(Endpoint.parse(self._rng.choice(dead).endpoint))

    def _rejoin(self) -> None:
        if not self._bus.peers():
            self._contact_some(self._seeds)

    def _contact_some(self, endpoints: t.Sequence[Endpoint]) -> None:
        others = [other for other in endpoints if other != self.identity.endpoint]
        chosen = self._rng.sample(others, min(_MAX_CONTACTS, len(others)))
        for endpoint in chosen:
            self._bus.contact(endpoint)

    def _on_vms(self, records: tuple[VmRecord, ...]) -> None:
        self._contact_some(self._unknown_endpoints(records))

    def _unknown_endpoints(self, records: tuple[VmRecord, ...]) -> list[Endpoint]:
        found = (
            self.vms.endpoint(record)
            for record in records
            if not record.leaving and self._table.is_dead(record.vm)
        )
        return [endpoint for endpoint in found if endpoint is not None]
