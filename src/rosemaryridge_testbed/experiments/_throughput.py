"""Compare reads through a proxy with reads over a direct connection."""

import asyncio
import statistics
import time
import typing as t

import asyncpg

from rosemaryridge_testbed.experiments._callers import READ
from rosemaryridge_testbed.experiments._callers import connect_to
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._sim import percentile
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.load import create_table

_LATENCY_READS = 400
_RUN_S = 3.0
_CALLERS = 16


async def _timed_reads(conn: asyncpg.Connection) -> list[float]:
    timings = []
    for _ in range(_LATENCY_READS):
        started = time.perf_counter()
        await conn.fetch(READ, "none")
        timings.append(time.perf_counter() - started)
    return timings


async def _throughput(conns: t.Sequence[asyncpg.Connection]) -> float:
    end = time.monotonic() + _RUN_S

    async def read_until_end(conn: asyncpg.Connection) -> int:
        done = 0
        while time.monotonic() < end:
            await conn.fetch(READ, "none")
            done += 1
        return done

    return sum(await asyncio.gather(*map(read_until_end, conns))) / _RUN_S


async def _row(name: str, port: int) -> Row:
    conns = await asyncio.gather(*(connect_to(port) for _ in range(_CALLERS)))
    timings = await _timed_reads(conns[0])
    rate = await _throughput(conns)
    for conn in conns:
        conn.terminate()
    return {
        "way": name,
        "median ms": round(statistics.median(timings) * 1e3, 3),
        "p99 ms": round(percentile(timings, 0.99) * 1e3, 3),
        "reads a second": round(rate),
    }


async def _measure(seed: int) -> list[Row]:
    async with Fleet(FleetOptions(proxies=1, seed=seed)) as fleet:
        await create_table(fleet)
        direct = await _row("direct", fleet.ports[f"{fleet.targets[0]}-public"])
        proxied = await _row("proxy", fleet.ports[fleet.proxies[0]])
    ratio: Row = {"way": "proxy over direct"}
    for name in list(direct)[1:]:
        ratio[name] = round(proxied[name] / direct[name], 3)
    return [direct, proxied, ratio]


@experiment("throughput")
def measure_throughput(seed: int) -> list[Row]:
    """Return latency and rate of reads; both routes cross one emulated link."""
    return asyncio.run(_measure(seed))
