"""Measure a proxy's cost of streams, messages and members."""

import asyncio
import random
import typing as t

from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MembershipDelta
from rosemaryridge.membership._messages import MemberState
from rosemaryridge.membership._placement import Placement
from rosemaryridge.membership._table import MemberTable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import BusSettings
from rosemaryridge.peer import GrpcPeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.peer._dispatch import Dispatcher
from rosemaryridge.peer._stats import BusStats
from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.experiments._measure import Slope
from rosemaryridge_testbed.experiments._measure import cpu_rate
from rosemaryridge_testbed.experiments._measure import cpu_s
from rosemaryridge_testbed.experiments._measure import memory_bytes

_PEERS = (4, 8, 16)
_RATES = (1600, 6400, 12_800)
_BATCH_RATES = (40, 80, 160)
_ASK_RATES = (50, 100, 200)
_MEMBERS = (114, 455, 910)
_RUNS = 3
_IDLE_S = 3.0
_BUSY_S = 2.0
_TICK_S = 0.02
_DOMAINS = 6
# The header of a gRPC message has five bytes and that of an HTTP/2 frame nine.
_FRAMING_BYTES = 14


def record(number: int) -> MemberRecord:
    """Return a member record like those of a large fleet."""
    endpoint = f"10.0.{number // 250}.{number % 250}:6433"
    domain = f"domain-{number % _DOMAINS}"
    vm = f"proxy-{number:04}"
    return MemberRecord(vm, 1, 0, MemberState.LIVE, domain, "region-1", endpoint)


async def _star(peers: int, cfg: BusSettings | None = None) -> list[GrpcPeerBus]:
    buses = []
    for number in range(peers + 1):
        identity = PeerIdentity(f"vm{number:02}", 1, "a", "r", Endpoint("127.0.0.1", 0))
        bus = GrpcPeerBus(
            cfg or BusSettings(), LoopTimer(), random.Random(number), identity
        )
        await bus.start()
        bus.on_message(MembershipDelta, lambda vm, message: None)
        bus.on_ask(MembershipDelta, lambda vm, message: message)
        buses.append(bus)
    hub = buses[0]
    for bus in buses[1:]:
        hub.set_address(bus.identity.vm, bus.identity.endpoint)
    hub.set_neighbours([bus.identity.vm for bus in buses[1:]])
    async with asyncio.timeout(20.0):
        while len(hub.peers()) < peers:
            await asyncio.sleep(0.05)
    return buses


async def _stop(buses: list[GrpcPeerBus]) -> None:
    await asyncio.gather(*(bus.stop() for bus in buses))


async def _idle_cost(peers: int) -> float:
    buses = await _star(peers)
    cost = await cpu_rate(_IDLE_S)
    await _stop(buses)
    return cost / 2


async def _sending_cost(rate: int) -> float:
    buses = await _star(4)
    delta = MembershipDelta(records=(record(1),))
    per_tick = rate * _TICK_S / 4

    async def load() -> None:
        pending = 0.0
        while True:
            pending += per_tick
            for bus in buses[1:]:
                for _ in range(int(pending)):
                    buses[0].send(bus.identity.vm, delta)
            pending -= int(pending)
            await asyncio.sleep(_TICK_S)

    task = asyncio.ensure_future(load())
    cost = await cpu_rate(_BUSY_S)
    task.cancel()
    await _stop(buses)
    return cost / 2


async def _batching_cost(rate: int) -> float:
    buses = await _star(4, BusSettings(flush_s=0.0005))
    delta = MembershipDelta(records=(record(1),))

    async def load() -> None:
        while True:
            buses[0].broadcast(delta)
            await asyncio.sleep(4 / rate)

    task = asyncio.ensure_future(load())
    cost = await cpu_rate(_BUSY_S)
    task.cancel()
    await _stop(buses)
    return cost / 2


async def _asking_cost(rate: int) -> float:
    buses = await _star(4)
    delta = MembershipDelta(records=(record(1),))

    async def load(bus: GrpcPeerBus) -> None:
        while True:
            await buses[0].ask(bus.identity.vm, delta, 5.0)
            await asyncio.sleep(4 / rate)

    tasks = [asyncio.ensure_future(load(bus)) for bus in buses[1:]]
    cost = await cpu_rate(_BUSY_S)
    for task in tasks:
        task.cancel()
    await _stop(buses)
    return cost / 2


def _batch_bytes(messages: int) -> int:
    dispatcher = Dispatcher(t.cast(t.Any, None), BusStats())
    envelopes = [
        dispatcher.envelope(MembershipDelta(records=(record(number),)))
        for number in range(messages)
    ]
    return Batch(sequence=10_000, envelopes=envelopes).ByteSize() + _FRAMING_BYTES


def _table(members: int) -> MemberTable:
    table = MemberTable(record(0), 3.0, 600.0)
    for number in range(1, members):
        table.apply(record(number))
    return table


def _placement(members: int) -> Placement:
    placement = Placement()
    for number in range(members):
        member = record(number)
        placement.add(member.vm, member.failure_domain)
    return placement


def _rank_cost(members: int) -> float:
    placement = _placement(members)
    keys = iter(range(10_000))
    rank_keys = lambda: [placement.top(f"service/{next(keys)}", 3) for _ in range(20)]  # noqa: E731
    return cpu_s(rank_keys) / 20


def _tick_cost(members: int) -> float:
    table = _table(members)
    connected = frozenset(f"proxy-{n:04}" for n in range(8))
    return cpu_s(lambda: [table.expire(connected, 1.0) for _ in range(20)]) / 20


async def _min_cost(measure: t.Callable[[int], t.Awaitable[float]], size: int) -> float:
    return min([await measure(size) for _ in range(_RUNS)])


async def stream_slopes() -> list[Slope]:
    """Measure streams and messages; each cost is for one end."""
    idle = [await _min_cost(_idle_cost, size) for size in _PEERS]
    sending = [await _min_cost(_sending_cost, rate) for rate in _RATES]
    batching = [await _min_cost(_batching_cost, rate) for rate in _BATCH_RATES]
    asking = [await _min_cost(_asking_cost, rate) for rate in _ASK_RATES]
    batches = (1, 16, 64)
    sizes = [_batch_bytes(count) for count in batches]
    heartbeat_s = BusSettings().heartbeat_s
    heartbeat_bytes = [size * _batch_bytes(0) / heartbeat_s for size in _PEERS]
    return [
        Slope("idle peer stream", "cpu s/s an end", _PEERS, tuple(idle)),
        Slope("idle peer stream", "bytes/s out", _PEERS, tuple(heartbeat_bytes)),
        Slope("message a second", "cpu s/s an end", _RATES, tuple(sending)),
        Slope("batch a second", "cpu s/s an end", _BATCH_RATES, tuple(batching)),
        Slope("question a second", "cpu s/s an end", _ASK_RATES, tuple(asking)),
        Slope("message in a batch", "bytes", batches, tuple(sizes)),
    ]


def member_slopes() -> list[Slope]:
    """Measure the member table and the placement."""
    memory = [memory_bytes(lambda size=size: _table(size)) for size in _MEMBERS]
    placed = [memory_bytes(lambda size=size: _placement(size)) for size in _MEMBERS]
    ranks = [_rank_cost(size) for size in _MEMBERS]
    ticks = [_tick_cost(size) for size in _MEMBERS]
    return [
        Slope("member known", "bytes", _MEMBERS, tuple(memory)),
        Slope("member placed", "bytes", _MEMBERS, tuple(placed)),
        Slope("member, a ranking of one key", "cpu s", _MEMBERS, tuple(ranks)),
        Slope("member, a check of doubts", "cpu s", _MEMBERS, tuple(ticks)),
    ]
