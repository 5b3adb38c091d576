"""Tell one proxy what each business asks for, and take its limits."""

import asyncio
import random
import typing as t

import msgspec

from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.peer import PeerMessage
from rosemaryridge.pool._allocation import allocate
from rosemaryridge.pool._pools import Pools
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_PERIOD_S = 0.5
_KEPT_S = 3 * _PERIOD_S
_ASK_TIMEOUT_S = 0.4

Watchers = t.Callable[[ServiceConfig], t.Sequence[str]]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Say how many slots of a target a business asks for at one proxy."""

    target: str
    business: str
    slots: float


class SlotDemand(PeerMessage, frozen=True, array_like=True):
    """Report one service's demands at one proxy."""

    service: str
    demands: tuple[Demand, ...]


class SlotLimits(PeerMessage, frozen=True, array_like=True):
    """Limit businesses' slots at one proxy; those not named are not limited."""

    limits: tuple[Demand, ...]


class SlotService:
    """Keep businesses apart on a target that several of them use.

    Only services with more than one business are reported. Without an answer the
    limits end, since they guard latency and no promise.
    """

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
        bus: PeerBus,
        watchers: Watchers,
        pools: Pools,
    ):
        self._timer = timer
        self._rng = rng
        self._vm = identity.vm
        self._bus = bus
        self._watchers = watchers
        self._pools = pools
        self._heard: dict[str, dict[str, tuple[float, SlotDemand]]] = {}
        self._answered_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._subscription: Subscription | None = None
        bus.on_ask(SlotDemand, self._respond)

    async def start(self) -> None:
        """Start to report."""
        self._subscription = self._timer.every(_PERIOD_S, self._tick, 0.1, self._rng)

    async def stop(self) -> None:
        """Stop reporting."""
        if self._subscription is not None:
            self._subscription.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _tick(self) -> None:
        for name, service in self._pools.services().items():
            task = self._tasks.get(name)
            if len(service.businesses) > 1 and (task is None or task.done()):
                self._tasks[name] = asyncio.ensure_future(self._report(service))

    async def _report(self, service: ServiceConfig) -> None:
        demand = SlotDemand(service.name, self._demands(service.name))
        watchers = self._watchers(service)
        if not watchers:
            return
        try:
            answer = await self._ask(watchers[0], demand)
        except PeerUnavailable:
            self._end_stale(service)
            return
        self._answered_at[service.name] = self._timer.now()
        self._apply(service, answer)

    async def _ask(self, vm: str, demand: SlotDemand) -> SlotLimits:
        if vm == self._vm:
            return self._respond(vm, demand)
        answer = await self._bus.ask(vm, demand, _ASK_TIMEOUT_S)
        return t.cast(SlotLimits, answer)

    def _demands(self, service: str) -> tuple[Demand, ...]:
        found = []
        for (name, target), pool in self._pools.pools().items():
            if name != service:
                continue
            for business, slots in pool.slots.take_demand(_PERIOD_S).items():
                if slots > 0.0:
                    found.append(Demand(target, business, slots))
        return tuple(found)

    def _respond(self, vm: str, demand: SlotDemand) -> SlotLimits:
        now = self._timer.now()
        heard = self._heard.setdefault(demand.service, {})
        heard[vm] = (now, demand)
        for old in [one for one, (at, _) in heard.items() if now - at > _KEPT_S]:
            del heard[old]
        service = self._pools.services().get(demand.service)
        if service is None:
            return SlotLimits(())
        return SlotLimits(self._limits(vm, service, heard))

    def _limits(
        self,
        vm: str,
        service: ServiceConfig,
        heard: dict[str, tuple[float, SlotDemand]],
    ) -> tuple[Demand, ...]:
        shares = {one.name: one.share for one in service.businesses}
        found = []
        for target in service.targets:
            demands = {
                (other, one.business): one.slots
                for other, (_, demand) in heard.items()
                for one in demand.demands
                if one.target == target.name
            }
            for (other, business), rate in allocate(
                target.slots, shares, demands
            ).items():
                if other == vm:
                    found.append(Demand(target.name, business, rate))
        return tuple(found)

    def _apply(self, service: ServiceConfig, answer: SlotLimits) -> None:
        rates = {(one.target, one.business): one.slots for one in answer.limits}
        for target in service.targets:
            pool = self._pools.pool(service.name, target.name)
            for business in service.businesses:
                rate = rates.get((target.name, business.name))
                pool.limit_business(business.name, rate)

    def _end_stale(self, service: ServiceConfig) -> None:
        answered_at = self._answered_at.get(service.name, float("-inf"))
        if self._timer.now() - answered_at > _KEPT_S:
            self._apply(service, SlotLimits(()))
