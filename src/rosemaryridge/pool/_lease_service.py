"""Request connection leases, and allocate them while this proxy leads."""

import asyncio
import random
import typing as t

from rosemaryridge.config import PoolSettings
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.objects import ObjectStore
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.pool._leadership import AllocatorRecord
from rosemaryridge.pool._leadership import Leadership
from rosemaryridge.pool._leadership_renewer import LeadershipRenewer
from rosemaryridge.pool._lease_allocator import LeaseAllocator
from rosemaryridge.pool._lease_holder import Key
from rosemaryridge.pool._lease_holder import LeaseHolder
from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._pools import Pools
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_REQUEST_TIMEOUT_S = 1.0

Candidates = t.Callable[[], t.Sequence[str]]


class LeaseService:
    """Renew this proxy's leases; as the leader, allocate the leases of all proxies.

    `candidates` returns the VMs that may become the allocator, best first.
    """

    def __init__(
        self,
        cfg: PoolSettings,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
        bus: PeerBus,
        candidates: Candidates,
        store: ObjectStore,
        pools: Pools,
    ):
        self.allocator = LeaseAllocator(cfg.lease_s)
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._vm = identity.vm
        self._bus = bus
        self._candidates = candidates
        self._pools = pools
        self._holder = LeaseHolder(identity.incarnation)
        record = AllocatorRecord(identity.vm, identity.incarnation)
        self._leadership = Leadership(record, cfg.reign_s)
        self._renewer = LeadershipRenewer(
            timer, self._leadership, self.allocator, store
        )
        self._requested_at = float("-inf")
        self._renew_after_s = 0.0
        self._failed_requests = 0
        self._allocator_vm = ""
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._subscriptions: list[Subscription] = []
        bus.on_ask(LeaseRequest, self._on_request)

    async def start(self) -> None:
        """Start renewing leases and, on a candidate, the leadership."""
        cfg = self._cfg
        self._subscriptions = [
            self._timer.every(cfg.lease_hurry_s, self._on_lease_timer),
            self._timer.every(
                cfg.reign_s / 5, self._on_leadership_timer, 0.2, self._rng
            ),
        ]
        self._on_leadership_timer()

    async def stop(self) -> None:
        """Stop renewing; the leases expire."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _on_request(self, vm: str, req: LeaseRequest) -> LeaseAnswer:
        now = self._timer.now()
        if not self.allocator.is_leader(now):
            return LeaseAnswer(req.number, 0.0, (), self._leadership.allocator_vm)
        for item in req.wanted:
            self.allocator.set_lendable(item.key, self._pools.lendable(item.key))
        return self.allocator.handle_request(vm, req, now)

    def _on_leadership_timer(self) -> None:
        is_candidate = self._vm in self._candidates()
        if is_candidate or self.allocator.is_leader(self._timer.now()):
            self._start_task("leadership", self._renewer.renew)

    def _on_lease_timer(self) -> None:
        now = self._timer.now()
        self._enforce_expiry(now)
        has_waiting = self._pools.has_waiting()
        wait_s = self._cfg.lease_hurry_s if has_waiting else self._renew_after_s
        if now - self._requested_at >= wait_s:
            self._start_task("leases", self._renew_leases)

    def _start_task(
        self, name: str, job: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
    ):
        task = self._tasks.get(name)
        if task is None or task.done():
            self._tasks[name] = asyncio.ensure_future(job())

    def _enforce_expiry(self, now: float) -> None:
        """End the use of leases.

        Before a lease expires, stop granting slots on it; at expiry, terminate what
        remains in use.
        """
        linger_s = self._cfg.lease_linger_s
        for key in self._holder.held_keys():
            if now >= self._holder.until(key) - linger_s:
                self._pools.set_leased(key, 0)
            if now >= self._holder.until(key):
                self._pools.terminate_excess(key, 0)
                self._holder.drop(key)

    async def _renew_leases(self) -> None:
        wanted = self._pools.collect_wanted_leases()
        held = self._holder.held_keys()
        if not wanted and not held:
            return
        now = self._timer.now()
        self._requested_at = now
        self._renew_after_s = self._cfg.lease_renew_s * self._rng.uniform(0.8, 1.2)
        req = self._holder.next_request(wanted, now)
        self._apply_leases(held)
        answer = await self._request_leases(req)
        if answer is not None and self._holder.on_answer(answer):
            self._failed_requests = 0
            self._apply_leases(set(held) | set(wanted))

    def _apply_leases(self, keys: t.Iterable[Key]) -> None:
        now = self._timer.now()
        for key in keys:
            usable = now < self._holder.until(key) - self._cfg.lease_linger_s
            units = self._holder.units(key, now) if usable else 0
            self._pools.set_leased(key, units)

    async def _request_leases(self, req: LeaseRequest) -> LeaseAnswer | None:
        vm = self._allocator_to_ask()
        if vm == self._vm:
            return self._on_request(vm, req)
        if not vm:
            return None
        try:
            answer = await self._bus.ask(vm, req, _REQUEST_TIMEOUT_S)
        except PeerUnavailable:
            self._allocator_vm = ""
            self._failed_requests += 1
            return None
        self._allocator_vm = answer.grantor if answer.duration_s <= 0.0 else vm
        self._failed_requests += answer.duration_s <= 0.0
        return answer

    def _allocator_to_ask(self) -> str:
        if self.allocator.is_leader(self._timer.now()):
            return self._vm
        if self._allocator_vm and self._allocator_vm != self._vm:
            return self._allocator_vm
        others = [vm for vm in self._candidates() if vm != self._vm]
        return others[self._failed_requests % len(others)] if others else ""
