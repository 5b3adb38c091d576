"""Measure one proxy process's cost of callers and statements."""

import asyncio
import dataclasses
import socket
import struct
import time

import asyncpg
import psutil

from rosemaryridge import codes
from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry import Metrics
from rosemaryridge.wire import Login
from rosemaryridge.wire import PgTargetPort
from rosemaryridge_testbed.experiments._measure import Slope
from rosemaryridge_testbed.experiments._measure import cpu_s
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.fleet import PASSWORD
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import USER
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.load import create_table

_CALLERS = (400, 800, 1600)
_STATEMENTS = (1000, 2000, 4000)
_POLLS = (200, 400, 800)
_SERIES = (500, 1000, 2000)
_STATUS = "SELECT * FROM rosemaryridge.status()"
_TCP_INFO_BYTES = 256
# The offset of tcpi_bytes_acked in Linux's struct tcp_info.
_TCP_INFO_ACKED_OFFSET = 120
_POLL_TIMEOUT_S = 5.0
_MAX_CONCURRENT_OPENS = 20
_WORKERS = 8
_IDLE_S = 6.0
READ = "SELECT session, key FROM entry WHERE session = $1"
_WRITE = "INSERT INTO entry (session, key, part) VALUES ($1, $2, 1)"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Record a proxy's memory in bytes and its processor time in seconds."""

    size: int
    memory: int
    cpu_s: float


class ProxyMeter:
    """Read one proxy process's memory and processor time."""

    def __init__(self, fleet: Fleet, vm: str):
        self._process = psutil.Process(fleet.processes.pid(vm))

    def sample(self, size: int) -> Sample:
        """Return the current memory and the processor time so far."""
        times = self._process.cpu_times()
        memory = self._process.memory_info().rss
        return Sample(size, memory, times.user + times.system)


async def connect_to(port: int) -> asyncpg.Connection:
    """Connect and log in as a caller on a local port."""
    return await asyncpg.connect(
        host="127.0.0.1",
        port=port,
        user=USER,
        password=PASSWORD,
        database=SERVICE,
        ssl=False,
    )


async def _open_connections(
    fleet: Fleet, vm: str, count: int
) -> list[asyncpg.Connection]:
    port = fleet.ports[vm]
    conns = []
    while len(conns) < count:
        batch = min(_MAX_CONCURRENT_OPENS, count - len(conns))
        conns += await asyncio.gather(*(connect_to(port) for _ in range(batch)))
    return conns


async def measure_idle_callers(fleet: Fleet, vm: str) -> list[Slope]:
    """Return the memory and processor time per idle caller connection."""
    meter = ProxyMeter(fleet, vm)
    conns, samples, idle_cpu = [], [], []
    for size in _CALLERS:
        conns += await _open_connections(fleet, vm, size - len(conns))
        await asyncio.sleep(1.0)
        samples.append(meter.sample(size))
        await asyncio.sleep(_IDLE_S)
        idle_cpu.append((meter.sample(size).cpu_s - samples[-1].cpu_s) / _IDLE_S)
    for conn in conns:
        conn.terminate()
    memory = tuple(float(sample.memory) for sample in samples)
    logins = tuple(sample.cpu_s for sample in samples)
    return [
        Slope("idle caller", "bytes", _CALLERS, memory),
        Slope("idle caller", "cpu s/s", _CALLERS, tuple(idle_cpu)),
        Slope("login of a caller", "cpu s", _CALLERS, logins),
    ]


async def _run(conn: asyncpg.Connection, count: int, write: bool) -> None:
    for index in range(count):
        if write:
            await conn.execute(_WRITE, "slope", str(index))
        else:
            await conn.fetch(READ, "none")


async def measure_statements(fleet: Fleet, vm: str, write: bool) -> Slope:
    """Return the whole proxy's processor time per statement."""
    meter = ProxyMeter(fleet, vm)
    conns = await _open_connections(fleet, vm, _WORKERS)
    await asyncio.gather(*(_run(conn, 50, write) for conn in conns))
    costs = []
    for size in _STATEMENTS:
        before = meter.sample(size).cpu_s
        each = size // _WORKERS
        await asyncio.gather(*(_run(conn, each, write) for conn in conns))
        costs.append(meter.sample(size).cpu_s - before)
    for conn in conns:
        conn.terminate()
    name = "write" if write else "read"
    return Slope(f"{name} statement", "cpu s", _STATEMENTS, tuple(costs))


async def measure_status_polls(fleet: Fleet) -> Slope:
    """Return this process's processor time per status poll of a target."""
    name = fleet.targets[0]
    endpoint = Endpoint("127.0.0.1", fleet.ports[f"{name}-public"])
    target = TargetConfig(name, endpoint, "none")
    port = PgTargetPort(Login("test", "", SERVICE))
    await port.status(target, _POLL_TIMEOUT_S)
    costs = []
    for size in _POLLS:
        before = time.process_time()
        for _ in range(size):
            await port.status(target, _POLL_TIMEOUT_S)
        costs.append(time.process_time() - before)
    port.close()
    return Slope("status poll", "cpu s", _POLLS, tuple(costs))


def _tcp_bytes(conn: asyncpg.Connection) -> int:
    """Return the bytes sent and received, from the kernel's TCP_INFO."""
    sock = conn._transport.get_extra_info("socket")
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return sum(struct.unpack_from("=QQ", info, _TCP_INFO_ACKED_OFFSET))


async def measure_poll_bytes(fleet: Fleet) -> Slope:
    """Return the bytes per status poll in both directions, without headers."""
    conn = await fleet.connect_target(fleet.targets[0])
    statement = await conn.prepare(_STATUS)
    await statement.fetch()
    costs = []
    for size in _POLLS:
        before = _tcp_bytes(conn)
        for _ in range(size):
            await statement.fetch()
        costs.append(float(_tcp_bytes(conn) - before))
    conn.terminate()
    return Slope("status poll", "bytes", _POLLS, tuple(costs))


def measure_series() -> list[Slope]:
    """Return the cost per series of rendering the metrics page."""
    times, sizes = [], []
    for size in _SERIES:
        metrics = Metrics()
        for index in range(size):
            metrics.refuse(codes.limits.SHED, f"service-{index}")
        sizes.append(float(len(metrics.render())))
        times.append(cpu_s(metrics.render))
    return [
        Slope("metric series rendered", "cpu s", _SERIES, tuple(times)),
        Slope("metric series rendered", "bytes", _SERIES, tuple(sizes)),
    ]


async def _measure(seed: int) -> list[Slope]:
    settings = {"callers": {"max_callers": 5000}}
    options = FleetOptions(proxies=1, seed=seed, settings=settings)
    async with Fleet(options) as fleet:
        await create_table(fleet)
        vm = fleet.proxies[0]
        slopes = [await measure_statements(fleet, vm, write) for write in (False, True)]
        slopes.append(await measure_status_polls(fleet))
        slopes.append(await measure_poll_bytes(fleet))
        slopes += await measure_idle_callers(fleet, vm)
    return slopes + measure_series()


@experiment("callers")
def measure_callers(seed: int) -> list[Row]:
    """Return the slope of each caller cost, from three sizes."""
    return [slope.row() for slope in asyncio.run(_measure(seed))]
