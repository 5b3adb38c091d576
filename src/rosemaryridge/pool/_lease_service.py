"""Borrow connections from the grantor, and lend them while being it."""

import asyncio
import random
import typing as t

from rosemaryridge.config import PoolSettings
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.objects import ObjectStore
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.pool._grantor import Grantor
from rosemaryridge.pool._holder import Key
from rosemaryridge.pool._holder import LeaseHolder
from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._pools import Pools
from rosemaryridge.pool._reign import GrantorRecord
from rosemaryridge.pool._reign import Reign
from rosemaryridge.pool._reign_keeper import ReignKeeper
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_ASK_TIMEOUT_S = 1.0

Candidates = t.Callable[[], t.Sequence[str]]


class LeaseService:
    """Keep this proxy's leases and, while it is the grantor, everyone's.

    `candidates` returns the VMs that may become the grantor, best first.
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
        self.grantor = Grantor(cfg.lease_s)
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._vm = identity.vm
        self._bus = bus
        self._candidates = candidates
        self._pools = pools
        self._holder = LeaseHolder(identity.incarnation)
        own = GrantorRecord(identity.vm, identity.incarnation)
        self._reign = Reign(own, cfg.reign_s)
        self._keeper = ReignKeeper(timer, self._reign, self.grantor, store)
        self._asked_at = float("-inf")
        self._next_s = 0.0
        self._attempts = 0
        self._hint = ""
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._subscriptions: list[Subscription] = []
        bus.on_ask(LeaseRequest, self._respond)

    async def start(self) -> None:
        """Start to renew leases and, where this proxy may, the reign."""
        cfg = self._cfg
        self._subscriptions = [
            self._timer.every(cfg.lease_hurry_s, self._tick),
            self._timer.every(cfg.reign_s / 5, self._reign_tick, 0.2, self._rng),
        ]
        self._reign_tick()

    async def stop(self) -> None:
        """Stop renewing; what is lent comes free by lapse."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _respond(self, vm: str, req: LeaseRequest) -> LeaseAnswer:
        now = self._timer.now()
        if not self.grantor.is_grantor(now):
            return LeaseAnswer(req.number, 0.0, (), self._reign.grantor)
        for one in req.wanted:
            self.grantor.set_lendable(one.key, self._pools.lendable(one.key))
        return self.grantor.request(vm, req, now)

    def _reign_tick(self) -> None:
        is_candidate = self._vm in self._candidates()
        if is_candidate or self.grantor.is_grantor(self._timer.now()):
            self._run("reign", self._keeper.keep)

    def _tick(self) -> None:
        now = self._timer.now()
        self._apply(now)
        hurry = self._pools.starving()
        wait_s = self._cfg.lease_hurry_s if hurry else self._next_s
        if now - self._asked_at >= wait_s:
            self._run("ask", self._renew)

    def _run(self, name: str, job: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]):
        task = self._tasks.get(name)
        if task is None or task.done():
            self._tasks[name] = asyncio.ensure_future(job())

    def _apply(self, now: float) -> None:
        linger_s = self._cfg.lease_linger_s
        for key in self._holder.held():
            if now >= self._holder.until(key) - linger_s:
                self._pools.set_leased(key, 0)
            if now >= self._holder.until(key):
                self._pools.enforce(key, 0)
                self._holder.forget(key)

    async def _renew(self) -> None:
        wanted = self._pools.wanted()
        held = self._holder.held()
        if not wanted and not held:
            return
        now = self._timer.now()
        self._asked_at = now
        self._next_s = self._cfg.lease_renew_s * self._rng.uniform(0.8, 1.2)
        req = self._holder.request(wanted, now)
        self._use(held)
        answer = await self._ask(req)
        if answer is not None and self._holder.answer(answer):
            self._attempts = 0
            self._use(set(held) | set(wanted))

    def _use(self, keys: t.Iterable[Key]) -> None:
        now = self._timer.now()
        for key in keys:
            lasts = now < self._holder.until(key) - self._cfg.lease_linger_s
            units = self._holder.units(key, now) if lasts else 0
            self._pools.set_leased(key, units)

    async def _ask(self, req: LeaseRequest) -> LeaseAnswer | None:
        vm = self._whom()
        if vm == self._vm:
            return self._respond(vm, req)
        if not vm:
            return None
        try:
            answer = await self._bus.ask(vm, req, _ASK_TIMEOUT_S)
        except PeerUnavailable:
            self._hint = ""
            self._attempts += 1
            return None
        self._hint = answer.grantor if answer.duration_s <= 0.0 else vm
        self._attempts += answer.duration_s <= 0.0
        return answer

    def _whom(self) -> str:
        if self.grantor.is_grantor(self._timer.now()):
            return self._vm
        if self._hint and self._hint != self._vm:
            return self._hint
        others = [vm for vm in self._candidates() if vm != self._vm]
        return others[self._attempts % len(others)] if others else ""
