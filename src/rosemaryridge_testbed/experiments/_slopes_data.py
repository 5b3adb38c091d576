"""Measure a proxy's cost of queues, connections, sessions and groups."""

import asyncio
import random
import time
import typing as t

from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import PoolSettings
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.group import GroupService
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.pool import Pools
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._slots import SlotTable
from rosemaryridge.routing import Router
from rosemaryridge.routing import TargetRequirement
from rosemaryridge.session import ReadBound
from rosemaryridge.session._table import SessionTable
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._measure import Slope
from rosemaryridge_testbed.experiments._measure import cpu_rate
from rosemaryridge_testbed.experiments._measure import cpu_s
from rosemaryridge_testbed.experiments._measure import memory_bytes
from rosemaryridge_testbed.experiments._routing import _GroupView
from rosemaryridge_testbed.experiments._routing import _ObservedStatus
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import VirtualStore

_ENTRIES = (200, 1000, 5000)
_SESSIONS = (2000, 10_000, 50_000)
_POOLS = (30, 90, 270)
_LEASES = (200, 1000, 5000)
_TARGETS = (3, 5, 9)
_GROUPS = (5, 15, 45)
_WATCH_S = 3.0
_CHOICES = 2000


class _Connection:
    def is_closed(self) -> bool:
        return False

    async def close(self) -> None:
        return

    def terminate(self) -> None:
        return


class _Port:
    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        role = Role.PRIMARY if target.name.endswith("0") else Role.REPLICA
        return _status(target.name, role)


def _status(name: str, role: Role = Role.REPLICA) -> TargetStatus:
    at = Position(1, 1)
    upstream = "" if role is Role.PRIMARY else "127.0.0.1:1"
    writable = role is Role.PRIMARY
    return TargetStatus(name, role, 1, 1, at, at, upstream, writable=writable)


def _service(number: int, targets: int = 3) -> ServiceConfig:
    endpoint = Endpoint("127.0.0.1", 1)
    name = f"service{number}"
    configs = tuple(
        TargetConfig(f"{name}-{index}", endpoint, f"domain-{index}")
        for index in range(targets)
    )
    return ServiceConfig(name, 1, name, configs)


def _queue(entries: int) -> SlotTable:
    slots = SlotTable(1, 5.0, random.Random(1))
    slots.configure([BusinessConfig("claims", queue_limit=entries)])
    slots.mean_hold_s = 1e-9
    for number in range(entries):
        priority = Priority(number % 3)
        slots.request_slot(Entry(number, "claims", priority, 1e6 + number), 0.0)
    return slots


def _queue_cost(entries: int) -> float:
    return cpu_s(lambda: _queue(entries))


def _sessions(count: int) -> SessionTable:
    table = SessionTable(0.0, lambda key: ("a", "b", "c"), 10 * count)
    for number in range(count):
        key = ("service", f"session-{number:08}")
        table.put(key, ReadBound(Position(1, number)), 0.0)
    return table


def _make_pools(services: int) -> Pools:
    async def connect(target: TargetConfig, service: ServiceConfig) -> _Connection:
        return _Connection()

    cfg = PoolSettings(fleet_size=1)
    pools = Pools(cfg, ManualTimer(), random.Random(1), connect, Metrics())
    for number in range(services):
        pools.adopt(_service(number, targets=1))
    return pools


async def _lease_cost(leases: int) -> float:
    pools = _make_pools(1)
    start = time.process_time()
    for _ in range(leases):
        lease = await pools.acquire("service0", "service0-0", "b", Priority.NORMAL, 1e9)
        lease.release()
    return time.process_time() - start


def _choice_cost(targets: int) -> float:
    service = _service(0, targets)
    names = [target.name for target in service.targets]
    roles = {names[0]: Role.PRIMARY}
    statuses = {
        name: _ObservedStatus(_status(name, roles.get(name, Role.REPLICA)), 0.0)
        for name in names
    }
    view = _GroupView(1, names[0], statuses)
    router = Router(ManualTimer(), random.Random(1), Metrics())
    requirement = TargetRequirement()

    def choose_all() -> None:
        for _ in range(_CHOICES):
            name = router.choose(service, view, requirement, 0.1)
            router.started(service.name, name)
            router.finished(service.name, name, 0.005, ok=True)

    return cpu_s(choose_all) / _CHOICES


async def _watch_cost(groups: int) -> float:
    network = VirtualNetwork(ManualTimer(), random.Random(1), 0.001)
    bus = t.cast(t.Any, VirtualBus(network, "vm0", "a"))
    service = GroupService(
        GroupSettings(),
        LoopTimer(),
        random.Random(1),
        t.cast(t.Any, _Port()),
        bus,
        VirtualStore(),
        Metrics(),
        vm="vm0",
    )
    for number in range(groups):
        service.adopt(_service(number))
    await service.start()
    await asyncio.sleep(1.0)
    cost = await cpu_rate(_WATCH_S)
    await service.stop()
    return cost


async def group_slopes() -> list[Slope]:
    """Measure watched groups of three targets each, with a fake target port."""
    costs = [await _watch_cost(groups) for groups in _GROUPS]
    return [Slope("group watched", "cpu s/s", _GROUPS, tuple(costs))]


async def lease_slopes() -> list[Slope]:
    """Measure the lease of a reused connection."""
    costs = [await _lease_cost(leases) for leases in _LEASES]
    return [Slope("lease of a connection", "cpu s", _LEASES, tuple(costs))]


def state_slopes() -> list[Slope]:
    """Measure the in-memory state and the choice of a target."""
    queued = [memory_bytes(lambda n=n: _queue(n)) for n in _ENTRIES]
    queue_costs = [_queue_cost(n) for n in _ENTRIES]
    sessions = [memory_bytes(lambda n=n: _sessions(n)) for n in _SESSIONS]
    put = [cpu_s(lambda n=n: _sessions(n)) for n in _SESSIONS]
    pools = [memory_bytes(lambda n=n: _make_pools(n)) for n in _POOLS]
    choices = [_choice_cost(n) for n in _TARGETS]
    return [
        Slope("queue entry", "bytes", _ENTRIES, tuple(queued)),
        Slope("queue entry", "cpu s", _ENTRIES, tuple(queue_costs)),
        Slope("session directory entry", "bytes", _SESSIONS, tuple(sessions)),
        Slope("session directory entry", "cpu s a put", _SESSIONS, tuple(put)),
        Slope("pool of one target", "bytes", _POOLS, tuple(pools)),
        Slope("target, a choice among them", "cpu s", _TARGETS, tuple(choices)),
    ]
