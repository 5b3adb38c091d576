"""Run one random schedule and check the promises."""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing as t

from rosemaryridge.core import Statement
from rosemaryridge.core import Verb
from rosemaryridge_testbed.schedules._loop import run_virtually
from rosemaryridge_testbed.schedules._proxy import DATABASE
from rosemaryridge_testbed.schedules._proxy import ModelProxy
from rosemaryridge_testbed.schedules._proxy import Options
from rosemaryridge_testbed.schedules._streams import Streams
from rosemaryridge_testbed.schedules._world import CLOUD
from rosemaryridge_testbed.schedules._world import STORE
from rosemaryridge_testbed.schedules._world import World

# Two slow messages may take a write to its target after its caller has given up.
_LATE_S = 1.1
_SETTLE_S = 6.0
_FAULTS_OF_OWNERS = ("cut_proxies", "kill_proxy")
_FAULTS_OF_REPLICAS = ("deaf_replica",)
_DEFAULT_OPTIONS = Options()
# Only some of the proxies that share the connections run.
OWNED_OPTIONS = Options(owned=True, connections=20, counted=24)


@dataclasses.dataclass(slots=True)
class Result:
    """Count what a schedule did, and the violations of each promise."""

    seed: int
    acknowledged: int = 0
    refused: int = 0
    unknown: int = 0
    reads: int = 0
    promotions: int = 0
    kills: int = 0
    # Links of proxies to owners, and connections beside them.
    owned_links: int = 0
    direct_links: int = 0
    rejected_connections: int = 0
    # The faults at steps that struck, with their steps.
    faults_met: tuple[str, ...] = ()
    violations: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Schedule:
    """Run one schedule with faults at random times."""

    def __init__(self, seed: int, options: Options, trace: bool):
        self.options = options
        self.rng = random.Random(seed)
        self.result = Result(seed)
        self.trace = trace
        self._numbers = itertools.count()
        # Data of acknowledged writes, and when the first byte of the answer was sent.
        self.acknowledged: dict[bytes, float] = {}
        self.refused: set[bytes] = set()
        # When the caller of a write got its answer.
        self.ended: dict[bytes, float] = {}
        self.committed: dict[bytes, t.Any] = {}
        self._serving: dict[t.Any, ModelProxy] = {}
        self.ends_at = 0.0

    async def run(self) -> Result:
        options = self.options
        loop = asyncio.get_running_loop()
        world = self.world = World(
            self.rng, options.targets, options.promotion_s, options.work_s
        )
        world.sync_replicas = options.sync_replicas
        world.fenced = options.fenced
        world.far_replicas = options.far_replicas
        self._streams = Streams(world)
        if options.owned:
            for target in world.targets.values():
                target.connection_limit = options.connections
        self.proxies = [
            self._start_proxy(f"p{n}", f"{self.result.seed}/{n}")
            for n in range(options.proxies)
        ]
        for proxy in self.proxies[1:]:
            if self.rng.random() < 0.7:
                proxy.claims.request_from_relay = lambda proxy=proxy: self.proxies[
                    0
                ].relay_claims(proxy.name)
        for target in world.targets.values():
            self._watch_commits(target)
        self.ends_at = end = loop.time() + options.duration_s
        tasks = [loop.create_task(world.replicate())]
        tasks += [
            loop.create_task(self._call(number)) for number in range(options.callers)
        ]
        self.start_faults()
        tasks += [loop.create_task(self._strike(end)) for _ in range(options.faults)]
        await asyncio.gather(*tasks[1:])
        await self.judge_recovery()
        tasks[0].cancel()
        # What was sent may still run.
        await asyncio.sleep(_SETTLE_S)
        self._check_writes()
        if options.sync_replicas:
            self._check_promotions()
        self.result.promotions = world.promotions
        self._count_links()
        fences = [fence for fence, _ in world.orders]
        by_fence = {}
        for fence, target in world.orders:
            if by_fence.setdefault(fence, target) != target:
                self.result.violations["fence used twice"] += 1
        if fences != sorted(fences):
            self.result.violations["fence went back"] += 1
        return self.result

    def start_faults(self) -> None:
        """Start the faults that do not strike at random times."""

    async def judge_recovery(self) -> None:
        """Check that writes are served again after the faults."""

    def _start_proxy(self, name: str, seed: str) -> ModelProxy:
        return ModelProxy(
            name, self.world, self._streams, self.options, seed, self.trace
        )

    async def kill_proxy(self, duration_s: float) -> None:
        """Kill a proxy and start it again."""
        index = self.rng.randrange(len(self.proxies))
        killed = self.proxies[index]
        if not killed.alive:
            return
        self.result.kills += 1
        killed.kill()
        await asyncio.sleep(min(duration_s, 2.0))
        seed = f"{self.result.seed}/{killed.name}/{self.result.kills}"
        self.proxies[index] = self._start_proxy(killed.name, seed)

    def _count_links(self) -> None:
        for proxy in self.proxies:
            metrics = proxy.proxy.metrics
            self.result.owned_links += int(metrics.value("links_total", by="owner"))
            self.result.direct_links += int(metrics.value("links_total", by="none"))
        self.result.rejected_connections = sum(
            target.rejected_connections for target in self.world.targets.values()
        )

    def _watch_commits(self, target: t.Any) -> None:
        commit = target.commit

        def watched(data: bytes) -> None:
            commit(data)
            if data in self.committed:
                self.result.violations["twice"] += 1
            now = asyncio.get_running_loop().time()
            ended_at = self.ended.get(data)
            if ended_at is not None and now - ended_at > _LATE_S:
                self.result.violations["late"] += 1
            self.committed[data] = target.log[-1]

        target.commit = watched

    async def _call(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(f"{self.result.seed}/caller/{number}")
        while loop.time() < self.ends_at:
            proxy = rng.choice(self.proxies)
            if not proxy.alive:
                await asyncio.sleep(0.1)
                continue
            caller = await proxy.proxy.open(DATABASE)
            for _ in range(rng.randint(1, 6)):
                await asyncio.sleep(rng.expovariate(8.0) + self.options.rest_s)
                if not proxy.alive:
                    break
                self._serving[asyncio.current_task()] = proxy
                await rng.choice((self._write, self._read, self._transact))(caller)
            caller.close()

    async def _write(self, caller: t.Any) -> None:
        data = b"w%d" % next(self._numbers)
        answer = await caller.serve(Statement(b"1", Verb.WRITE, data))
        self._record(data, answer)

    async def _transact(self, caller: t.Any) -> None:
        data = b"t%d" % next(self._numbers)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        before = set(self.acknowledged)
        await caller.serve(Statement(b"1", Verb.BEGIN, b"BEGIN"))
        read = await caller.serve(Statement(b"1", Verb.READ, b"k", read_only=True))
        if read.ok:
            self._check_read(read, before, started_at)
        wrote = await caller.serve(Statement(b"1", Verb.WRITE, data))
        gives_up = self.options.owned and self.rng.random() < 0.2
        if wrote.ok and read.ok and not gives_up:
            answer = await caller.serve(Statement(b"1", Verb.COMMIT, b"COMMIT"))
            self._record(data, answer)
        else:
            await caller.serve(Statement(b"1", Verb.ROLLBACK, b"ROLLBACK"))
            # Nobody has asked to commit it.
            self.refused.add(data)

    def _record(self, data: bytes, answer: t.Any) -> None:
        self.ended[data] = asyncio.get_running_loop().time()
        if not self._serving[asyncio.current_task()].alive:
            # Its process was killed, so its caller got no answer.
            self.result.unknown += 1
        elif answer.ok:
            self.acknowledged[data] = asyncio.get_running_loop().time()
            self.result.acknowledged += 1
        elif answer.failure.value in ("unknown outcome", "timeout", "failed"):
            self.result.unknown += 1
        else:
            self.refused.add(data)
            self.result.refused += 1

    async def _read(self, caller: t.Any) -> None:
        before = set(self.acknowledged)
        started_at = asyncio.get_running_loop().time()
        answer = await caller.serve(Statement(b"1", Verb.READ, b"k", read_only=True))
        if answer.ok:
            self._check_read(answer, before, started_at)

    def _check_read(self, answer: t.Any, before: set[bytes], started_at: float) -> None:
        self.result.reads += 1
        seen = set(answer.rows)
        kept = {commit.data for commit in self.world.targets[self.world.leader].log}
        # Commits that a promotion rolled back are not owed.
        if (before & kept) - seen:
            self.result.violations["stale"] += 1
            if self.trace:
                print(f"stale: {started_at} {sorted((before & kept) - seen)[:3]}")

    def _check_promotions(self) -> None:
        """Check that each promoted target had what was acknowledged before."""
        for at, log in self.world.promoted:
            lost = [d for d, since in self.acknowledged.items() if since < at]
            lost = [data for data in lost if data not in log]
            self.result.violations["lost"] += len(lost)
            if lost and self.trace:
                print(f"lost: {len(lost)} writes at {at:.3f}, such as {lost[0]}")
        self.result.violations = +self.result.violations

    def _check_writes(self) -> None:
        for data in self.acknowledged:
            if data not in self.committed:
                self.result.violations["lost"] += 1
            elif not self.committed[data].led:
                self.result.violations["one"] += 1
                if self.trace:
                    at = self.acknowledged[data]
                    print(f"one: {data} {self.committed[data]} acknowledged at {at}")
        for data in self.refused & self.committed.keys():
            self.result.violations["refused"] += 1
            if self.trace:
                print(f"refused: {data}")

    async def _strike(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        rng = self.rng
        await asyncio.sleep(rng.uniform(1.0, self.options.duration_s - 4.0))
        if loop.time() >= end:
            return
        faults = sorted(_FAULTS)
        if not self.options.owned:
            faults = [name for name in faults if name not in _FAULTS_OF_OWNERS]
        if not self.options.sync_replicas:
            faults = [name for name in faults if name not in _FAULTS_OF_REPLICAS]
        fault = rng.choice(faults)
        if self.trace:
            print(f"{loop.time():8.3f} fault {fault}")
        await _FAULTS[fault](self, rng.uniform(0.3, 5.0))

    def names(self) -> list[str]:
        """Return the names of the proxies."""
        return [proxy.name for proxy in self.proxies]


_Fault = t.Callable[[Schedule, float], t.Awaitable[None]]
_FAULTS: dict[str, _Fault] = {}


def _fault(fault: _Fault) -> _Fault:
    _FAULTS[fault.__name__.strip("_")] = fault
    return fault


async def _cut(
    schedule: Schedule, duration_s: float, pairs: t.Iterable[tuple[str, str]]
) -> None:
    cuts = {frozenset(pair) for pair in pairs} - schedule.world.cuts
    schedule.world.cuts |= cuts
    await asyncio.sleep(duration_s)
    schedule.world.cuts -= cuts


@_fault
async def _split(schedule: Schedule, duration_s: float) -> None:
    """Leave the primary with some proxies, the rest with the store."""
    world, rng = schedule.world, schedule.rng
    primary = world.leader
    inside = {primary, *rng.sample(schedule.names(), rng.randint(1, 2))}
    outside = {*world.targets, *schedule.names(), STORE, CLOUD} - inside
    pairs = [(one, other) for one in inside for other in outside]
    await _cut(schedule, duration_s, pairs)


@_fault
async def _cut_primary(schedule: Schedule, duration_s: float) -> None:
    """Cut the primary from the other targets and from some proxies."""
    world, rng = schedule.world, schedule.rng
    far = set(world.targets) - {world.leader}
    far |= set(rng.sample(schedule.names(), rng.randint(0, len(schedule.names()))))
    await _cut(schedule, duration_s, [(world.leader, name) for name in far])


@_fault
async def _cut_store(schedule: Schedule, duration_s: float) -> None:
    """Cut some proxies from the store and the promotion API."""
    names = schedule.rng.sample(schedule.names(), schedule.rng.randint(1, 3))
    pairs = [(name, node) for name in names for node in (STORE, CLOUD)]
    await _cut(schedule, duration_s, pairs)


@_fault
async def _cut_proxy(schedule: Schedule, duration_s: float) -> None:
    """Cut one proxy from a part of the targets."""
    name = schedule.rng.choice(schedule.names())
    targets = sorted(schedule.world.targets)
    far = schedule.rng.sample(targets, schedule.rng.randint(1, len(targets)))
    await _cut(schedule, duration_s, [(name, target) for target in far])


@_fault
async def _store_down(schedule: Schedule, duration_s: float) -> None:
    """Let the store refuse every call."""
    schedule.world.store_down = True
    await asyncio.sleep(duration_s)
    schedule.world.store_down = False


@_fault
async def _restored_store(schedule: Schedule, duration_s: float) -> None:
    """Bring the store back from a copy."""
    if schedule.options.restored_stores:
        await schedule.world.restore_store(duration_s)


@_fault
async def _crash_primary(schedule: Schedule, duration_s: float) -> None:
    """Crash the primary; it comes back with its log."""
    target = schedule.world.targets[schedule.world.leader]
    target.crash()
    await asyncio.sleep(duration_s)
    target.restart()


@_fault
async def _restart_cut_off(schedule: Schedule, duration_s: float) -> None:
    """Restart the primary soon after a crash, behind a cut with some proxies."""
    world, rng = schedule.world, schedule.rng
    target = world.targets[world.leader]
    inside = {target.name, *rng.sample(schedule.names(), rng.randint(1, 2))}
    outside = {*world.targets, *schedule.names(), STORE, CLOUD} - inside
    target.crash()
    await asyncio.sleep(rng.uniform(0.05, 0.6))
    target.restart()
    pairs = [(one, other) for one in inside for other in outside]
    await _cut(schedule, duration_s, pairs)


@_fault
async def _slow_node(schedule: Schedule, duration_s: float) -> None:
    """Delay the messages of a target or of a proxy."""
    world = schedule.world
    node = schedule.rng.choice((world.leader, *schedule.names()))
    world.slow.add(node)
    await asyncio.sleep(duration_s)
    world.slow.discard(node)


@_fault
async def _crash_replica(schedule: Schedule, duration_s: float) -> None:
    """Crash a replica; it comes back with its log."""
    names = sorted(set(schedule.world.targets) - {schedule.world.leader})
    target = schedule.world.targets[schedule.rng.choice(names)]
    target.crash()
    await asyncio.sleep(duration_s)
    target.restart()


@_fault
async def _deaf_replica(schedule: Schedule, duration_s: float) -> None:
    """Let a replica receive nothing."""
    world = schedule.world
    names = sorted(set(world.targets) - {world.leader} - world.deaf)
    if names:
        name = schedule.rng.choice(names)
        world.deaf.add(name)
        await asyncio.sleep(duration_s)
        world.deaf.discard(name)


@_fault
async def _kill_proxy(schedule: Schedule, duration_s: float) -> None:
    """Kill a proxy, maybe an owner, and start it again."""
    await schedule.kill_proxy(duration_s)


@_fault
async def _cut_proxies(schedule: Schedule, duration_s: float) -> None:
    """Cut one proxy from some others."""
    name, *others = schedule.rng.sample(schedule.names(), len(schedule.names()))
    far = others[: schedule.rng.randint(1, len(others))]
    await _cut(schedule, duration_s, [(name, other) for other in far])


def explore(
    seed: int, options: Options = _DEFAULT_OPTIONS, trace: bool = False
) -> Result:
    """Run the schedule of a seed; return its counts and violations."""
    return run_virtually(lambda: Schedule(seed, options, trace).run())
