"""Strike faults at the system's own steps, as a seed draws them."""

import asyncio
import collections
import random
import typing as t

from rosemaryridge.core import Statement
from rosemaryridge.core import Verb
from rosemaryridge_testbed.schedules._explore import Result
from rosemaryridge_testbed.schedules._explore import Schedule
from rosemaryridge_testbed.schedules._loop import run_virtually
from rosemaryridge_testbed.schedules._proxy import DATABASE
from rosemaryridge_testbed.schedules._proxy import ModelProxy
from rosemaryridge_testbed.schedules._proxy import Options
from rosemaryridge_testbed.schedules._steps import NO_EFFECT
from rosemaryridge_testbed.schedules._steps import STEPS
from rosemaryridge_testbed.schedules._steps import Effect
from rosemaryridge_testbed.schedules._steps import Moment
from rosemaryridge_testbed.schedules._world import CLOUD
from rosemaryridge_testbed.schedules._world import STORE

# The platform's bound for a recovery; writes are served later than this.
_RECOVERY_S = 12.0
# Time after it in which each proxy must serve a write.
_JUDGED_S = 6.0
# A call without an answer may be carried out this much later.
_LATE_S = (2.0, 12.0)
# Steps that each statement takes are met hundreds of times in a schedule.
_COMMON_STEPS = frozenset(("begin", "write", "commit", "read", "claims listed"))
_STATEMENTS = frozenset(("begin", "write", "commit", "read"))
_RARE_OCCURRENCES = (1, 1, 1, 2, 3)
_MAX_COMMON_OCCURRENCE = 120
# A promotion needs a fault first: most schedules begin with one at the primary.
_LEADING_SHARE = 0.9
_LEADING_FAULTS = ("crash_primary", "crash_primary", "darken_primary")


class StepFault(t.NamedTuple):
    """Name a fault and the step that it strikes at, by its occurrence."""

    step: str
    occurrence: int
    moment: Moment
    fault: str
    duration_s: float

    def __str__(self) -> str:
        return (
            f"{self.moment.value} {self.step} #{self.occurrence}: {self.fault} "
            f"({self.duration_s:.2f} s)"
        )


class _Strike(t.NamedTuple):
    schedule: "StepSchedule"
    fault: StepFault
    sender: str
    receiver: str


_Fault = t.Callable[[_Strike], Effect]
FAULTS: dict[str, _Fault] = {}


def _fault(fault: _Fault) -> _Fault:
    FAULTS[fault.__name__.strip("_")] = fault
    return fault


def draw_options(seed: int) -> Options:
    """Return the settings of a seed, within what the platform's page describes."""
    rng = random.Random(f"settings/{seed}")
    return Options(
        targets=rng.choice((2, 3, 3, 4, 5)),
        proxies=rng.choice((2, 3, 4)),
        callers=rng.choice((2, 3, 4)),
        faults=0,
        duration_s=rng.choice((8.0, 12.0)),
        promotion_s=rng.choice((0.3, 0.6, 1.0)),
        restored_stores=False,
        sync_replicas=rng.choice((0, 1, 1)),
        fenced=rng.random() < 0.5,
        # Callers that rest leave the replicas with equal logs.
        rest_s=rng.choice((0.0, 0.0, 0.3)),
        far_replicas=rng.random() < 0.8,
        entry_delay_s=rng.choice((0.0, 1.0, 3.0)),
    )


def draw_faults(seed: int) -> tuple[StepFault, ...]:
    """Return the faults of a seed, one to four.

    Each second seed takes the next pair of a rare step and a fault, so that all are met
    equally often; statements are met by the other draws.
    """
    rng = random.Random(f"faults/{seed}")
    drawn = []
    if rng.random() < _LEADING_SHARE:
        # Half of the time the primary is back while its replacement is under way.
        down_s = rng.uniform(*rng.choice(((0.3, 2.5), (0.1, 7.0))))
        occurrence = rng.randint(10, _MAX_COMMON_OCCURRENCE)
        step, fault = rng.choice(("write", "begin")), rng.choice(_LEADING_FAULTS)
        drawn.append(StepFault(step, occurrence, Moment.BEFORE, fault, down_s))
    rare = [name for name in STEPS if name not in _COMMON_STEPS]
    pairs = [(step, name) for step in rare for name in sorted(FAULTS)]
    random.Random("pairs").shuffle(pairs)
    for number in range(rng.randint(1, 3)):
        step, name = rng.choice(STEPS), rng.choice(sorted(FAULTS))
        if number == 0 and seed % 2:
            step, name = pairs[seed // 2 % len(pairs)]
        drawn.append(_draw_at(rng, step, name))
    return tuple(drawn)


def _draw_at(rng: random.Random, step: str, name: str) -> StepFault:
    is_common = step in _COMMON_STEPS
    occurrence = rng.randint(1, _MAX_COMMON_OCCURRENCE)
    if not is_common:
        occurrence = rng.choice(_RARE_OCCURRENCES)
    # What was carried out cannot be carried out later.
    is_late = name == "carry_out_late"
    moment = Moment.BEFORE if is_late else rng.choice(list(Moment))
    return StepFault(step, occurrence, moment, name, rng.uniform(0.1, 7.0))


class StepSchedule(Schedule):
    """Run a schedule whose faults strike at steps."""

    def __init__(
        self, seed: int, options: Options, faults: t.Sequence[StepFault], trace: bool
    ):
        super().__init__(seed, options, trace)
        self.faults = faults
        self.met: list[StepFault] = []
        self._counts: collections.Counter[tuple[str, Moment]] = collections.Counter()
        self._joined = 0

    def start_faults(self) -> None:
        """Wait for the steps of the faults."""
        self.world.on_step = self._on_step

    def _on_step(self, name: str, moment: Moment, sender: str, receiver: str) -> Effect:
        key = name, moment
        self._counts[key] += 1
        effect = NO_EFFECT
        for fault in self.faults:
            if (fault.step, fault.moment) != key or fault in self.met:
                continue
            if fault.occurrence != self._counts[key]:
                continue
            self.met.append(fault)
            now = asyncio.get_running_loop().time()
            if self.trace:
                print(f"{now:8.3f} {sender} -> {receiver}: {fault}")
            self.result.faults_met += (f"{fault.step}, {fault.fault}",)
            self.extend(fault.duration_s)
            effect = FAULTS[fault.fault](_Strike(self, fault, sender, receiver))
        return effect

    def extend(self, duration_s: float) -> None:
        """Keep callers going until writes must be served after a fault."""
        now = asyncio.get_running_loop().time()
        self.ends_at = max(self.ends_at, now + duration_s + _RECOVERY_S)

    def later(self, delay_s: float, work: t.Callable[[], None]) -> None:
        """Call a function after a delay."""
        asyncio.get_running_loop().call_later(delay_s, work)

    def target(self, receiver: str) -> t.Any:
        """Return the target of a step, the primary if it went elsewhere."""
        targets = self.world.targets
        return targets.get(receiver) or targets[self.world.leader]

    def join_target(self) -> None:
        """Add a replica, which proxies learn of late."""
        self._joined += 1
        target = self.world.add_target(f"n{self._joined}")
        self._watch_commits(target)
        for proxy in self.proxies:
            delay_s = self.rng.uniform(0.0, self.options.entry_delay_s)
            self.later(delay_s, lambda proxy=proxy: proxy.learn(target))

    def end_process(self, name: str, restart_s: float | None) -> None:
        """Kill the proxy of a name; start it again after a time, if any."""
        for index, proxy in enumerate(self.proxies):
            if proxy.name == name and proxy.alive:
                proxy.kill()
                self.result.kills += 1
                if restart_s is not None:
                    self.later(restart_s, lambda index=index: self._restart(index))

    def _restart(self, index: int) -> None:
        killed = self.proxies[index]
        seed = f"{self.result.seed}/{killed.name}/{self.result.kills}"
        self.proxies[index] = self._start_proxy(killed.name, seed)

    async def judge_recovery(self) -> None:
        """Check that each proxy serves a write later than the recovery's bound."""
        if self.met:
            serves = [self._serves(proxy) for proxy in self.proxies if proxy.alive]
            for name, served in await asyncio.gather(*serves):
                self.result.violations["not recovered"] += not served
                if self.trace and not served:
                    print(f"not recovered: {name}")
        self.result.violations = +self.result.violations

    async def _serves(self, proxy: ModelProxy) -> tuple[str, bool]:
        loop = asyncio.get_running_loop()
        until = loop.time() + _JUDGED_S
        while loop.time() < until:
            caller = await proxy.proxy.open(DATABASE)
            data = b"recovered-%d" % next(self._numbers)
            answer = await caller.serve(Statement(b"1", Verb.WRITE, data))
            caller.close()
            if answer.ok:
                return proxy.name, True
            await asyncio.sleep(0.2)
        return proxy.name, False


def explore_steps(
    seed: int,
    keep: t.Collection[int] | None = None,
    trace: bool = False,
    options: Options | None = None,
    faults: t.Sequence[StepFault] | None = None,
) -> Result:
    """Run the schedule of a seed with faults at steps; return its counts.

    `keep` names the faults to strike, by their places in the seed's list. Settings and
    faults may be given in place of those that the seed draws.
    """
    faults = draw_faults(seed) if faults is None else faults
    if keep is not None:
        faults = tuple(f for place, f in enumerate(faults) if place in keep)
    options = options or draw_options(seed)
    return run_virtually(lambda: StepSchedule(seed, options, faults, trace).run())


def shrink(seed: int) -> list[int]:
    """Return the places of the fewest faults with which a seed still fails."""
    kept = list(range(len(draw_faults(seed))))
    for place in tuple(kept):
        fewer = [other for other in kept if other != place]
        if +explore_steps(seed, fewer).violations:
            kept = fewer
    return kept


def coverage(results: t.Iterable[Result]) -> dict[str, collections.Counter[str]]:
    """Return by step how often each fault struck there."""
    table: dict[str, collections.Counter[str]] = {
        name: collections.Counter() for name in STEPS
    }
    for result in results:
        for entry in result.faults_met:
            name, _, fault = entry.rpartition(", ")
            table[name][fault] += 1
    return table


@_fault
def _nothing(strike: _Strike) -> Effect:
    return NO_EFFECT


@_fault
def _lose_message(strike: _Strike) -> Effect:
    """Lose the message, or its answer once it was carried out."""
    return Effect(is_lost=True)


@_fault
def _carry_out_late(strike: _Strike) -> Effect:
    """Leave an order without an answer and carry it out seconds later.

    Statements are not orders: they are lost.
    """
    if strike.fault.step in _STATEMENTS:
        return Effect(is_lost=True)
    late_s = strike.schedule.rng.uniform(*_LATE_S)
    strike.schedule.extend(late_s)
    return Effect(is_lost=True, late_s=late_s)


@_fault
def _kill_sender(strike: _Strike) -> Effect:
    """Kill the sender, which starts again."""
    strike.schedule.end_process(strike.sender, strike.fault.duration_s)
    return NO_EFFECT


@_fault
def _kill_sender_for_good(strike: _Strike) -> Effect:
    """Kill the sender, which stays away."""
    schedule = strike.schedule
    if sum(proxy.alive for proxy in schedule.proxies) > 1:
        schedule.end_process(strike.sender, None)
    return NO_EFFECT


@_fault
def _kill_all(strike: _Strike) -> Effect:
    """Kill all proxies, which start again a second later."""
    for name in strike.schedule.names():
        strike.schedule.end_process(name, 1.0)
    return NO_EFFECT


@_fault
def _cut_sender(strike: _Strike) -> Effect:
    """Cut the sender from all others for up to 3.5 s."""
    world = strike.schedule.world
    others = {*world.targets, STORE, CLOUD, *strike.schedule.names()}
    pairs = {frozenset((strike.sender, other)) for other in others - {strike.sender}}
    return _cut_for(strike, pairs, strike.fault.duration_s / 2.0)


def _cut_for(strike: _Strike, pairs: set[frozenset[str]], duration_s: float) -> Effect:
    world = strike.schedule.world
    cuts = pairs - world.cuts
    world.cuts |= cuts
    strike.schedule.later(duration_s, lambda: world.cuts.difference_update(cuts))
    return NO_EFFECT


def _crash(strike: _Strike, target: t.Any, down_s: float) -> Effect:
    if not target.crashed:
        target.crash()
        strike.schedule.later(down_s, target.restart)
    return NO_EFFECT


@_fault
def _crash_primary(strike: _Strike) -> Effect:
    """Crash the primary; it comes back with its log."""
    world = strike.schedule.world
    return _crash(strike, world.targets[world.leader], strike.fault.duration_s)


@_fault
def _restart_primary(strike: _Strike) -> Effect:
    """Restart the primary at once."""
    world = strike.schedule.world
    return _crash(strike, world.targets[world.leader], 0.15)


@_fault
def _crash_target(strike: _Strike) -> Effect:
    """Crash the target of the step, or the primary."""
    target = strike.schedule.target(strike.receiver)
    return _crash(strike, target, strike.fault.duration_s)


@_fault
def _restart_replicas(strike: _Strike) -> Effect:
    """Restart each replica at once."""
    world = strike.schedule.world
    for target in world.targets.values():
        if target.name != world.leader:
            _crash(strike, target, 0.1)
    return NO_EFFECT


@_fault
def _darken_primary(strike: _Strike) -> Effect:
    """Cut the primary from all others."""
    world = strike.schedule.world
    others = {*world.targets, *strike.schedule.names()} - {world.leader}
    pairs = {frozenset((world.leader, other)) for other in others}
    return _cut_for(strike, pairs, strike.fault.duration_s)


@_fault
def _cut_primary_from_sender(strike: _Strike) -> Effect:
    """Cut the primary from the sender, and from half of the others."""
    schedule = strike.schedule
    names = sorted({*schedule.names(), *schedule.world.targets})
    far = set(schedule.rng.sample(names, len(names) // 2)) | {strike.sender}
    leader = schedule.world.leader
    pairs = {frozenset((leader, name)) for name in far - {leader}}
    return _cut_for(strike, pairs, strike.fault.duration_s)


@_fault
def _deafen_replica(strike: _Strike) -> Effect:
    """Let a replica receive nothing."""
    world, rng = strike.schedule.world, strike.schedule.rng
    name = rng.choice(sorted(set(world.targets) - {world.leader}))
    world.deaf.add(name)
    duration_s = strike.fault.duration_s
    strike.schedule.later(duration_s, lambda: world.deaf.discard(name))
    return NO_EFFECT


@_fault
def _join_replica(strike: _Strike) -> Effect:
    """Add a replica."""
    strike.schedule.join_target()
    return NO_EFFECT


@_fault
def _refusing_store(strike: _Strike) -> Effect:
    """Let the store refuse every call."""
    world = strike.schedule.world
    world.store_down = True

    def end() -> None:
        world.store_down = False

    strike.schedule.later(strike.fault.duration_s, end)
    return NO_EFFECT


@_fault
def _silent_store(strike: _Strike) -> Effect:
    """Cut the sender, or all proxies, from the store."""
    schedule = strike.schedule
    names = schedule.names() if schedule.rng.random() < 0.5 else [strike.sender]
    pairs = {frozenset((name, STORE)) for name in names}
    return _cut_for(strike, pairs, strike.fault.duration_s)
