"""Compare direct connections with owners where proxies outnumber connections."""

import asyncio
import collections
import itertools
import random
import typing as t

from rosemaryridge.core import Consistency
from rosemaryridge.core import Route
from rosemaryridge.core import Statement
from rosemaryridge.core import Verb
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.schedules import Options
from rosemaryridge_testbed.schedules._loop import run_virtually
from rosemaryridge_testbed.schedules._proxy import ModelProxy
from rosemaryridge_testbed.schedules._streams import Streams
from rosemaryridge_testbed.schedules._world import SERVICE
from rosemaryridge_testbed.schedules._world import World

_PROXIES = 139
_CONNECTIONS = 51
_SLOTS = 2
_HANDSHAKE_S = 0.012
# Arrivals a second of each kind, and its share of writes: some 0.7 of the slots.
_KINDS = {
    "order-entry": (40.0, 0.2),
    "stock-lookup": (40.0, 0.0),
    "ledger-sync": (180.0, 0.12),
}
_ROUTES = (
    Route(b"order-entry", SERVICE, Consistency.PRIMARY, 0.8, 0.6, 1),
    Route(b"stock-lookup", SERVICE, Consistency.BOUNDED, 1.2, 0.8, 2, 1.5),
    Route(b"ledger-sync", SERVICE, Consistency.SESSION, 0.8, 1.0, 2, 2.5),
)
_WARM_UP_S = 4.0
_MEASURED_S = 8.0


class _Trial:
    def __init__(self, seed: int, owned: bool, load: float):
        self.rng = random.Random(seed)
        self.load = load
        self.options = Options(
            proxies=_PROXIES,
            proofs=False,
            owned=owned,
            connections=_CONNECTIONS,
            routes=_ROUTES,
        )
        self.took_s: dict[str, list[float]] = collections.defaultdict(list)
        self.in_aim: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[Row]:
        loop = asyncio.get_running_loop()
        self.world = World(self.rng, 3, 0.4, 0.0)
        self.world.handshake_s = _HANDSHAKE_S
        for target in self.world.targets.values():
            target.connection_limit = _CONNECTIONS
            target.slots = asyncio.Semaphore(_SLOTS)
        streams = Streams(self.world)
        self.proxies = [
            ModelProxy(f"p{n}", self.world, streams, self.options, f"{n}", False)
            for n in range(_PROXIES)
        ]
        replication = loop.create_task(self.world.replicate())
        arrivals = [loop.create_task(self._arrive(route)) for route in _ROUTES]
        await asyncio.sleep(_WARM_UP_S)
        before = self._counts()
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self._tasks)
        replication.cancel()
        counts = [now - then for now, then in zip(self._counts(), before, strict=True)]
        return self._rows(*counts)

    def _counts(self) -> tuple[int, int, int, int]:
        targets = self.world.targets.values()
        return (
            sum(target.opened_connections for target in targets),
            sum(target.rejected_connections for target in targets),
            sum(target.arrivals for target in targets),
            sum(target.turned_away for target in targets),
        )

    async def _arrive(self, route: Route) -> None:
        loop = asyncio.get_running_loop()
        rate, _ = _KINDS[route.database.decode()]
        end = loop.time() + _WARM_UP_S + _MEASURED_S
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate * self.load))
            task = loop.create_task(self._serve(route))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, route: Route) -> None:
        kind = route.database.decode()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller = await self.rng.choice(self.proxies).proxy.open(route.database)
        number = b"%d" % next(self._numbers)
        if self.rng.random() < _KINDS[kind][1]:
            statement = Statement(number, Verb.WRITE, b"w" + number)
        else:
            statement = Statement(number, Verb.READ, b"k", read_only=True)
        answer = await caller.serve(statement)
        caller.close()
        if started_at < _WARM_UP_S:
            return
        took_s = loop.time() - started_at
        if answer.ok:
            self.took_s[kind].append(took_s)
            self.in_aim[kind] += took_s <= route.latency_target_s
        else:
            self.refused[kind] += 1

    def _rows(
        self, opened: int, rejected: int, arrivals: int, turned_away: int
    ) -> list[Row]:
        rows = []
        for kind in _KINDS:
            took_s = sorted(self.took_s[kind]) or [0.0]
            asked = len(self.took_s[kind]) + self.refused[kind]
            rows.append(
                {
                    "reached": "by owners" if self.options.owned else "directly",
                    "load": self.load,
                    "kind": kind,
                    "asked": asked,
                    "in aim %": round(100.0 * self.in_aim[kind] / max(1, asked), 2),
                    "refused %": round(100.0 * self.refused[kind] / max(1, asked), 2),
                    "p50 ms": round(1000 * took_s[len(took_s) // 2], 1),
                    "p99 ms": round(1000 * took_s[int(0.99 * (len(took_s) - 1))], 1),
                    "openings %": round(100.0 * opened / max(1, arrivals), 1),
                    "reset": rejected,
                    "turned away %": round(100.0 * turned_away / max(1, arrivals), 2),
                }
            )
        return rows


def measure(seed: int, owned: bool, load: float = 1.0) -> list[Row]:
    """Return a row for each kind of statement."""
    trial: t.Callable[[], t.Any] = _Trial(seed, owned, load).run
    return run_virtually(trial)


@experiment("owners")
def run(seed: int) -> list[Row]:
    """Measure 139 proxies before 51 connections and 2 slots, by the load."""
    return [
        row
        for load in (0.6, 1.0, 1.4)
        for owned in (False, True)
        for row in measure(seed, owned, load)
    ]
