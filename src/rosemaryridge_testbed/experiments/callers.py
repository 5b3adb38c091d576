"""Measure what callers and statements cost one proxy process."""

import asyncio
import dataclasses
import json
import statistics
import time
import typing as t

import asyncpg
import click
import psutil

from rosemaryridge_testbed.fleet import PASSWORD
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import USER
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.load import create_table

_CALLERS = (400, 800, 1600)
_STATEMENTS = (1000, 2000, 4000)
_OPEN_AT_ONCE = 20
_WORKERS = 8
_QUIET_S = 6.0
_READ = "SELECT session, key FROM entry WHERE session = $1"
_WRITE = "INSERT INTO entry (session, key, part) VALUES ($1, $2, 1)"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Hold a proxy's use of memory in bytes and of a processor in seconds."""

    size: int
    memory: int
    cpu_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Hold what one more of something costs, in `unit`, and the fit's r squared."""

    name: str
    unit: str
    value: float
    fit: float
    samples: tuple[float, ...]


def fit(name: str, unit: str, sizes: t.Sequence[float], costs: t.Sequence[float]):
    """Return the slope of costs over sizes by least squares."""
    line = statistics.linear_regression(sizes, costs)
    r = statistics.correlation(sizes, costs) if len(set(costs)) > 1 else 0.0
    return Slope(name, unit, line.slope, r * r, tuple(costs))


class ProxyMeter:
    """Read one proxy process's memory and processor time."""

    def __init__(self, fleet: Fleet, vm: str):
        self._process = psutil.Process(fleet.processes.pid(vm))

    def sample(self, size: int) -> Sample:
        """Return the use so far."""
        times = self._process.cpu_times()
        memory = self._process.memory_info().rss
        return Sample(size, memory, times.user + times.system)


async def _connect_to(port: int) -> asyncpg.Connection:
    return await asyncpg.connect(
        host="127.0.0.1",
        port=port,
        user=USER,
        password=PASSWORD,
        database=SERVICE,
        ssl=False,
    )


async def _open(fleet: Fleet, vm: str, count: int) -> list[asyncpg.Connection]:
    port = fleet.ports[vm]
    conns = []
    while len(conns) < count:
        batch = min(_OPEN_AT_ONCE, count - len(conns))
        conns += await asyncio.gather(*(_connect_to(port) for _ in range(batch)))
    return conns


async def measure_idle_callers(fleet: Fleet, vm: str) -> list[Slope]:
    """Return memory and processor time for each caller's idle connection."""
    meter = ProxyMeter(fleet, vm)
    opened, samples, quiet = [], [], []
    for size in _CALLERS:
        opened += await _open(fleet, vm, size - len(opened))
        await asyncio.sleep(1.0)
        samples.append(meter.sample(size))
        await asyncio.sleep(_QUIET_S)
        quiet.append((meter.sample(size).cpu_s - samples[-1].cpu_s) / _QUIET_S)
    for conn in opened:
        conn.terminate()
    memory = [sample.memory / 1024 for sample in samples]
    logins = [sample.cpu_s * 1e3 for sample in samples]
    return [
        fit("idle caller: memory", "KiB", _CALLERS, memory),
        fit("idle caller: processor", "core", _CALLERS, quiet),
        fit("caller's login: processor", "ms", _CALLERS, logins),
    ]


async def _run(conn: asyncpg.Connection, count: int, write: bool) -> None:
    for index in range(count):
        if write:
            await conn.execute(_WRITE, "slope", str(index))
        else:
            await conn.fetch(_READ, "none")


async def measure_statements(fleet: Fleet, vm: str, write: bool) -> Slope:
    """Return the processor time for each statement, all parts of the proxy included."""
    meter = ProxyMeter(fleet, vm)
    conns = await _open(fleet, vm, _WORKERS)
    await asyncio.gather(*(_run(conn, 50, write) for conn in conns))
    costs = []
    for size in _STATEMENTS:
        before = meter.sample(size).cpu_s
        each = size // _WORKERS
        await asyncio.gather(*(_run(conn, each, write) for conn in conns))
        costs.append((meter.sample(size).cpu_s - before) * 1e3)
    for conn in conns:
        conn.terminate()
    name = "write" if write else "read"
    return fit(f"{name} statement: processor", "ms", _STATEMENTS, costs)


async def measure_latency(fleet: Fleet, vm: str, count: int = 300) -> list[str]:
    """Return the median latency through the proxy against a direct connection.

    Both ways cross one link of the faulty network.
    """
    direct = await _connect_to(fleet.ports[f"{fleet.targets[0]}-public"])
    through = await _connect_to(fleet.ports[vm])
    medians = []
    for conn in (direct, through):
        timings = []
        for _ in range(count):
            started = time.perf_counter()
            await conn.fetch(_READ, "none")
            timings.append(time.perf_counter() - started)
        medians.append(statistics.median(timings))
        conn.terminate()
    ratio = medians[1] / medians[0]
    return [f"read latency, through the proxy over direct: {ratio:.2f}"]


async def measure(seed: int) -> tuple[list[Slope], list[str]]:
    """Run every measurement on a fleet of one proxy."""
    settings = {"callers": {"max_callers": 5000}}
    options = FleetOptions(proxies=1, seed=seed, settings=settings)
    async with Fleet(options) as fleet:
        await create_table(fleet)
        vm = fleet.proxies[0]
        slopes = [await measure_statements(fleet, vm, write) for write in (False, True)]
        notes = await measure_latency(fleet, vm)
        slopes += await measure_idle_callers(fleet, vm)
    return slopes, notes


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(seed: int, as_json: bool) -> None:
    """Print each slope with its fit, at three sizes."""
    slopes, notes = asyncio.run(measure(seed))
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(slope) for slope in slopes]))
        return
    for slope in slopes:
        samples = " ".join(f"{cost:.4g}" for cost in slope.samples)
        line = f"{slope.name:28} {slope.value:10.5f} {slope.unit:5} r2 {slope.fit:.3f}"
        click.echo(f"{line}  [{samples}]")
    for note in notes:
        click.echo(note)


if __name__ == "__main__":
    main()
