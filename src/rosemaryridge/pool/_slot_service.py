"""Report each business's slot demand to the group's first watcher; apply its limits."""

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

_REPORT_PERIOD_S = 0.5
# Largest age of a proxy's demand at the watcher, and of the limits at a proxy.
_MAX_AGE_S = 3 * _REPORT_PERIOD_S
_REPORT_TIMEOUT_S = 0.4

Watchers = t.Callable[[ServiceConfig], t.Sequence[str]]


class BusinessSlots(msgspec.Struct, frozen=True, array_like=True):
    """Assign a number of slots, on average, to a business at a target.

    They are demanded in a `SlotDemand` and allowed in a `SlotLimits`.
    """

    target: str
    business: str
    slots: float


class SlotDemand(PeerMessage, frozen=True, array_like=True):
    """Report the demands for one service at one proxy."""

    service: str
    demands: tuple[BusinessSlots, ...]


class SlotLimits(PeerMessage, frozen=True, array_like=True):
    """Limit the slots of businesses at one proxy.

    Businesses that are not listed are not limited.
    """

    limits: tuple[BusinessSlots, ...]


class SlotService:
    """Isolate businesses that share a target from each other's load.

    Only demands for services with more than one business are reported. Limits are
    removed if the watcher stops answering: they protect latency, not correctness.
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
        self._demands_by_vm: dict[str, dict[str, tuple[float, SlotDemand]]] = {}
        self._answered_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._subscription: Subscription | None = None
        bus.on_ask(SlotDemand, self._on_demand)

    async def start(self) -> None:
        """Start reporting demands."""
        self._subscription = self._timer.every(
            _REPORT_PERIOD_S, self._on_timer, 0.1, self._rng
        )

    async def stop(self) -> None:
        """Stop reporting demands."""
        if self._subscription is not None:
            self._subscription.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _on_timer(self) -> None:
        for name, service in self._pools.services().items():
            task = self._tasks.get(name)
            if len(service.businesses) > 1 and (task is None or task.done()):
                self._tasks[name] = asyncio.ensure_future(self._report(service))

    async def _report(self, service: ServiceConfig) -> None:
        demand = SlotDemand(service.name, self._local_demands(service.name))
        watchers = self._watchers(service)
        if not watchers:
            return
        try:
            answer = await self._send_demand(watchers[0], demand)
        except PeerUnavailable:
            self._remove_stale_limits(service)
            return
        self._answered_at[service.name] = self._timer.now()
        self._apply_limits(service, answer)

    async def _send_demand(self, vm: str, demand: SlotDemand) -> SlotLimits:
        if vm == self._vm:
            return self._on_demand(vm, demand)
        answer = await self._bus.ask(vm, demand, _REPORT_TIMEOUT_S)
        return t.cast(SlotLimits, answer)

    def _local_demands(self, service: str) -> tuple[BusinessSlots, ...]:
        collected = []
        for (name, target), pool in self._pools.pools().items():
            if name != service:
                continue
            for business, slots in pool.slots.collect_demand(_REPORT_PERIOD_S).items():
                if slots > 0.0:
                    collected.append(BusinessSlots(target, business, slots))
        return tuple(collected)

    def _on_demand(self, vm: str, demand: SlotDemand) -> SlotLimits:
        now = self._timer.now()
        demands_by_vm = self._demands_by_vm.setdefault(demand.service, {})
        demands_by_vm[vm] = (now, demand)
        for stale_vm in [
            other for other, (at, _) in demands_by_vm.items() if now - at > _MAX_AGE_S
        ]:
            del demands_by_vm[stale_vm]
        service = self._pools.services().get(demand.service)
        if service is None:
            return SlotLimits(())
        return SlotLimits(self._limits(vm, service, demands_by_vm))

    def _limits(
        self,
        vm: str,
        service: ServiceConfig,
        demands_by_vm: dict[str, tuple[float, SlotDemand]],
    ) -> tuple[BusinessSlots, ...]:
        shares = {business.name: business.share for business in service.businesses}
        collected = []
        for target in service.targets:
            demands = {
                (other, item.business): item.slots
                for other, (_, demand) in demands_by_vm.items()
                for item in demand.demands
                if item.target == target.name
            }
            for (other, business), rate in allocate(
                target.slots, shares, demands
            ).items():
                if other == vm:
                    collected.append(BusinessSlots(target.name, business, rate))
        return tuple(collected)

    def _apply_limits(self, service: ServiceConfig, answer: SlotLimits) -> None:
        rates = {(item.target, item.business): item.slots for item in answer.limits}
        for target in service.targets:
            pool = self._pools.pool(service.name, target.name)
            for business in service.businesses:
                rate = rates.get((target.name, business.name))
                pool.limit_business(business.name, rate)

    def _remove_stale_limits(self, service: ServiceConfig) -> None:
        answered_at = self._answered_at.get(service.name, float("-inf"))
        if self._timer.now() - answered_at > _MAX_AGE_S:
            self._apply_limits(service, SlotLimits(()))
