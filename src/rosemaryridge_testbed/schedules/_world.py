"""Model a group of targets, the store and the promotion API, with cut routes."""

import asyncio
import collections
import dataclasses
import random
import typing as t

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import StoreEra
from rosemaryridge.core import TargetCondition
from rosemaryridge.core import TargetInfo
from rosemaryridge.core import TargetLost
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.core import commands
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import OrderExpired
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.platform.store import Listing
from rosemaryridge.platform.store import StoredObject
from rosemaryridge_testbed.schedules._steps import NO_EFFECT
from rosemaryridge_testbed.schedules._steps import Effect
from rosemaryridge_testbed.schedules._steps import Moment
from rosemaryridge_testbed.schedules._steps import step

SERVICE = "books"
STORE = "store"
CLOUD = "cloud"
_LATENCY_S = (0.0005, 0.02)
SLOW_LATENCY_S = (0.02, 0.5)
_REPLICATION_PERIOD_S = 0.03
# The same of a replica by its distance.
_LINK_PERIODS_S = (0.004, 0.02, 0.08)
# Period of looking for a replica that has received a commit.
_RECEIPT_POLL_S = 0.01
# A deposed primary follows its successor this long after it can reach it.
_REJOIN_DELAY_S = 1.0
_CALL_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Record one committed write and whether its target led the group then."""

    term: int
    number: int
    data: bytes
    led: bool


def _no_effect(name: str, moment: Moment, sender: str, receiver: str) -> Effect:
    return NO_EFFECT


class World:
    """Hold the true state of a group; nodes that are cut apart cannot exchange."""

    def __init__(
        self, rng: random.Random, targets: int, promotion_s: float, work_s: float
    ):
        self.rng = rng
        self.work_s = work_s
        self.promotion_s = promotion_s
        # Time for which a new connection occupies a slot.
        self.handshake_s = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.store_down = False
        # Nodes whose messages are slow.
        self.slow: set[str] = set()
        self.term = 1
        self.targets = {name: ModelTarget(name, self) for name in "abcdefg"[:targets]}
        self.leader = "a"
        self.targets["a"].leads_term = 1
        # Orders as (fence, target), in the order in which they were sent.
        self.orders: list[tuple[int, str]] = []
        self.promotions = 0
        # Whether an order with a lower fence than one seen before is refused, and a
        # promotion ends the former primary wherever it is.
        self.fenced = False
        self.newest_fence = 0
        self.sync_replicas = 0
        # Whether replicas are at different distances from the primary.
        self.far_replicas = False
        # Replicas that receive nothing.
        self.deaf: set[str] = set()
        # When a target was promoted, and the writes that it had.
        self.promoted: list[tuple[float, frozenset[bytes]]] = []
        self.objects: dict[str, StoredObject] = {}
        # Called at each step with its name, moment, sender and receiver; returns what
        # becomes of its message.
        self.on_step: t.Callable[[str, Moment, str, str], Effect] = _no_effect
        self.era = 1
        self._revision = 0
        self._tasks: set[asyncio.Task[t.Any]] = set()

    async def restore_store(self, age_s: float) -> None:
        """Bring the store back after `age_s`, as it is now, in the next era."""
        objects, revision = dict(self.objects), self._revision
        await asyncio.sleep(age_s)
        self.objects, self._revision = objects, revision
        self.era += 1

    def add_target(self, name: str) -> "ModelTarget":
        """Add a replica without a log."""
        target = self.targets[name] = ModelTarget(name, self)
        if self.far_replicas:
            self.spawn(self._replicate_to(target))
        return target

    def is_full(self, target: "ModelTarget") -> bool:
        """Return whether a target accepts no further connection; count a refusal."""
        limit = target.connection_limit
        if limit is None or target.connections < limit:
            return False
        target.rejected_connections += 1
        return True

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reach(self, one: str, other: str) -> bool:
        """Return whether two nodes can exchange messages."""
        return frozenset((one, other)) not in self.cuts

    async def travel(self, one: str, other: str) -> bool:
        """Wait for a message to arrive; return whether it does."""
        slow = one in self.slow or other in self.slow
        await asyncio.sleep(self.rng.uniform(*(SLOW_LATENCY_S if slow else _LATENCY_S)))
        return self.reach(one, other)

    async def replicate(self) -> None:
        """Let the targets follow their primary until cancelled."""
        if self.far_replicas:
            for target in self.targets.values():
                self.spawn(self._replicate_to(target))
            await asyncio.get_running_loop().create_future()
        while True:
            await asyncio.sleep(_REPLICATION_PERIOD_S * self.rng.uniform(0.5, 2.0))
            leader = self.targets[self.leader]
            for target in self.targets.values():
                if target is not leader:
                    target.follow(leader)

    async def _replicate_to(self, target: "ModelTarget") -> None:
        """Let a target follow its primary, at a pace of its own."""
        period_s = self.rng.choice(_LINK_PERIODS_S)
        while True:
            await asyncio.sleep(period_s * self.rng.uniform(0.5, 2.0))
            if target.name != self.leader:
                target.follow(self.targets[self.leader])

    def admits(self, fence: int) -> bool:
        """Return whether an order is not outdated by its fence; take note of it."""
        if self.fenced and fence < self.newest_fence:
            return False
        self.newest_fence = max(self.newest_fence, fence)
        return True

    async def promote(self, name: str) -> None:
        """Make a target the primary of the next term, unless it does not run."""
        await asyncio.sleep(self.promotion_s * self.rng.uniform(0.7, 1.3))
        target, former = self.targets[name], self.targets[self.leader]
        if target.crashed or name == self.leader and target.leads_term is not None:
            return
        self.term += 1
        self.promotions += 1
        now = asyncio.get_running_loop().time()
        self.promoted.append((now, frozenset(c.data for c in target.log)))
        self.leader = name
        target.leads_term = target.term = self.term
        reached = self.fenced or self.reach(former.name, name)
        if former is not target and reached:
            former.leads_term = None


class ModelTarget:
    """Answer commands as a target does."""

    def __init__(self, name: str, world: World):
        self.name = name
        self.world = world
        self.crashed = False
        # The term that this target leads or believes to lead, None as a replica.
        self.leads_term: int | None = None
        self.term = 1
        self.log: list[Commit] = []
        # Connections that count, and how many are accepted; None without a limit.
        self.connections = 0
        self.connection_limit: int | None = None
        self.rejected_connections = 0
        self.opened_connections = 0
        # Statements that run at once, and those that may wait; None without a limit.
        self.slots: asyncio.Semaphore | None = None
        self.queue_limit = 16
        self.work_s = 0.009
        self.waiting = 0
        self.arrivals = 0
        self.turned_away = 0
        self._reaches_leader_since: float | None = None

    @property
    def info(self) -> TargetInfo:
        """Return the target's registration."""
        endpoint = Endpoint("127.0.0.1", 1)
        leads = self.leads_term is not None
        return TargetInfo(self.name, SERVICE, endpoint, "a", 8, 1, claims_primary=leads)

    @property
    def position(self) -> Position:
        """Return the position of the last commit."""
        if not self.log:
            return Position(1, 0)
        return Position(self.log[-1].term, self.log[-1].number)

    async def occupy_slot(self, work_s: float) -> bool:
        """Wait for a slot and occupy it; return False if the queue is full."""
        if self.slots is None:
            return True
        if self.waiting >= self.queue_limit:
            return False
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(work_s)
        return True

    def crash(self) -> None:
        """Stop; the log is kept."""
        self.crashed = True

    def restart(self) -> None:
        """Start again, as a replica if another target was promoted."""
        self.crashed = False
        if self.world.leader != self.name:
            self.leads_term = None

    def follow(self, leader: "ModelTarget") -> None:
        """Copy the primary's log if it can be reached."""
        now = asyncio.get_running_loop().time()
        if (
            self.crashed
            or leader.crashed
            or not self.world.reach(self.name, leader.name)
            or self.name in self.world.deaf
        ):
            self._reaches_leader_since = None
            return
        if self._reaches_leader_since is None:
            self._reaches_leader_since = now
        if self.leads_term is not None:
            if now - self._reaches_leader_since < _REJOIN_DELAY_S:
                return
            self.leads_term = None
        if leader.leads_term is not None:
            self.log, self.term = list(leader.log), leader.term

    def commit(self, data: bytes) -> None:
        """Append a write to the log."""
        leads = self.world.leader == self.name
        commit = Commit(t.cast(int, self.leads_term), len(self.log) + 1, data, leads)
        self.log.append(commit)

    async def wait_for_receipt(self) -> bool:
        """Return whether a replica has received the last commit, once one has."""
        commit = self.log[-1]
        others = [tgt for tgt in self.world.targets.values() if tgt is not self]
        while not any(tgt.has_received(commit) for tgt in others):
            if self.crashed or self.leads_term is None:
                return False
            await asyncio.sleep(_RECEIPT_POLL_S)
        return True

    def has_received(self, commit: Commit) -> bool:
        """Return whether the log holds a commit."""
        number = commit.number
        return len(self.log) >= number and self.log[number - 1] is commit

    def condition(self) -> TargetCondition:
        """Return the condition that the target reports."""
        leads = self.leads_term is not None
        return TargetCondition(leads, self.term, self.position, 0, 0.0, 0, 0)

    def step_down(self, term: int) -> TargetCondition:
        """Become a replica if this target leads a lower term."""
        if self.leads_term is not None and self.leads_term < term:
            self.leads_term = None
        return self.condition()


def _step_of(command: commands.Command) -> str:
    """Return the name of the step that a command is."""
    if not isinstance(command, commands.Run):
        return "begin"
    verb = command.statement.verb
    if verb is Verb.COMMIT:
        return "commit"
    return "read" if verb is Verb.READ else "write"


class ModelLink:
    """Exchange commands with a target over one connection of a proxy."""

    via = ""
    stops_at_failure = False

    def __init__(self, proxy: str, target: ModelTarget, business: str):
        self.business = business
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.closed = False
        self._proxy = proxy
        self._target = target
        self._world = target.world
        self._pending = 0
        self._queue: collections.deque = collections.deque()
        self._working = False
        self.state = TransactionState.IDLE
        self._writes: list[bytes] = []
        target.connections += 1
        target.opened_connections += 1

    @property
    def busy(self) -> bool:
        """Return whether answers are outstanding."""
        return self._pending > 0

    def drop(self) -> None:
        """Lose the connection with its process; the target notices it later."""
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_later(3.0, self._count_out)

    def _count_out(self) -> None:
        self._target.connections -= 1

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self._target.connections -= 1

    @step("begin", "write", "commit", "read")
    def send(self, *batch: commands.Command) -> list[asyncio.Future[Answer]]:
        """Queue commands; answers arrive in order."""
        futs = []
        for command in batch:
            fut = asyncio.get_running_loop().create_future()
            futs.append(fut)
            if self.closed:
                fut.set_exception(TargetLost("closed", sent=False))
                fut.exception()
                continue
            self._pending += 1
            takes_slot = isinstance(command, commands.Run)
            name = _step_of(command)
            self._queue.append((lambda c=command: self._run(c), fut, takes_slot, name))
        self._start()
        return futs

    @step("condition asked")
    async def ask_condition(self) -> TargetCondition | None:
        """Return the target's condition."""
        return await self._ask("condition asked", self._target.condition)

    @step("step-down")
    async def step_down(self, term: int) -> TargetCondition | None:
        """Demote the target and return its condition."""
        return await self._ask("step-down", lambda: self._target.step_down(term))

    async def _ask(self, name: str, request: t.Callable[[], t.Any]) -> t.Any:
        fut = asyncio.get_running_loop().create_future()
        self._pending += 1
        self._queue.append((request, fut, False, name))
        self._start()
        return await fut

    def _start(self) -> None:
        if not self._working and self._queue:
            self._working = True
            self._world.spawn(self._work())

    async def _work(self) -> None:
        while self._queue:
            request, fut, takes_slot, name = self._queue.popleft()
            arrived = await self._world.travel(self._proxy, self._target.name)
            effect = self._world.on_step(
                name, Moment.BEFORE, self._proxy, self._target.name
            )
            if effect.late_s:
                self._world.spawn(self._carry_out_late(request, effect.late_s))
            if not arrived or self._target.crashed or effect.is_lost:
                await self._lose(fut)
                break
            if self._world.work_s:
                await asyncio.sleep(self._world.rng.uniform(0.0, self._world.work_s))
            length = len(self._target.log)
            answer = await self._answer(request, takes_slot)
            has_written = self._world.sync_replicas and len(self._target.log) > length
            if has_written and not await self._target.wait_for_receipt():
                await self._lose(fut)
                break
            effect = self._world.on_step(
                name, Moment.AFTER, self._proxy, self._target.name
            )
            back = await self._world.travel(self._proxy, self._target.name)
            if not back or effect.is_lost:
                await self._lose(fut)
                break
            self._pending -= 1
            if not fut.done():
                fut.set_result(answer)
        self._working = False

    async def _carry_out_late(
        self, request: t.Callable[[], t.Any], late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        if not self._target.crashed:
            request()

    async def _answer(self, request: t.Callable[[], t.Any], takes_slot: bool) -> t.Any:
        target = self._target
        target.arrivals += takes_slot
        if takes_slot and target.slots is not None:
            work_s = self._world.rng.expovariate(1.0 / target.work_s)
            if not await target.occupy_slot(work_s):
                target.turned_away += 1
                return Answer(failure=Failure.BUSY, state=self.state)
        return request()

    async def _lose(self, fut: asyncio.Future) -> None:
        if not self._target.crashed:
            # A cut shows only by the end of the retransmissions.
            await asyncio.sleep(3.0)
        self.close()
        for lost in (fut, *(entry[1] for entry in self._queue)):
            if not lost.done():
                lost.set_exception(TargetLost("no route"))
                lost.exception()
        self._queue.clear()

    def _run(self, command: commands.Command) -> Answer:
        handler = _RUN.get(type(command))
        answer = handler(self, command) if handler else Answer()
        return dataclasses.replace(
            answer, state=self.state, position=self._target.position
        )

    def _begin(self, command: commands.Begin) -> Answer:
        if not command.read_only and self._target.leads_term is None:
            return Answer(failure=Failure.READ_ONLY)
        self.state, self._writes = TransactionState.OPEN, []
        return Answer()

    def _roll_back(self, command: commands.Rollback) -> Answer:
        self.state, self._writes = TransactionState.IDLE, []
        return Answer()

    def _statement(self, command: commands.Run) -> Answer:
        verb, text = command.statement.verb, command.statement.text
        target = self._target
        if verb is Verb.READ:
            minimum = command.min_position or ORIGIN
            if minimum.lsn and not any(
                (c.term, c.number) == (minimum.term, minimum.lsn) for c in target.log
            ):
                return Answer(failure=Failure.LAGGING)
            rows = tuple(commit.data for commit in target.log)
            return Answer(rows=rows, signature=b"s")
        if target.leads_term is None:
            return Answer(failure=Failure.READ_ONLY)
        if verb is Verb.COMMIT:
            for data in self._writes:
                target.commit(data)
            self.state, self._writes = TransactionState.IDLE, []
        elif self.state is TransactionState.OPEN:
            self._writes.append(text)
        else:
            target.commit(text)
        return Answer(signature=b"s")


_RUN: dict[type, t.Callable[[ModelLink, t.Any], Answer]] = {
    commands.Begin: ModelLink._begin,
    commands.Rollback: ModelLink._roll_back,
    commands.Run: ModelLink._statement,
}


class _Calls:
    """Pass the calls of one proxy on, unless its process has ended."""

    def __init__(self, world: World, proxy: str, is_alive: t.Callable[[], bool]):
        self._world = world
        self._proxy = proxy
        self._is_alive = is_alive

    async def _travel(self, name: str, moment: Moment, receiver: str) -> float:
        """Send a message; raise StoreUnavailable after a time if it does not arrive.

        Returns how late it is to be carried out, without an answer.
        """
        world = self._world
        if not self._is_alive():
            # A process that has ended sends and hears nothing more.
            await asyncio.get_running_loop().create_future()
        arrived = False
        if moment is Moment.BEFORE:
            arrived = await world.travel(self._proxy, receiver)
        effect = world.on_step(name, moment, self._proxy, receiver)
        if moment is Moment.AFTER:
            arrived = await world.travel(self._proxy, receiver)
        if not self._is_alive():
            await asyncio.get_running_loop().create_future()
        if effect.late_s:
            return effect.late_s
        if not arrived or effect.is_lost:
            await self._time_out()
        return 0.0

    async def _time_out(self) -> t.NoReturn:
        await asyncio.sleep(_CALL_TIMEOUT_S)
        raise StoreUnavailable("no answer")


class ModelStore(_Calls):
    """Serve the store to one proxy."""

    def __init__(
        self,
        world: World,
        proxy: str,
        era: StoreEra,
        is_alive: t.Callable[[], bool] = lambda: True,
    ):
        super().__init__(world, proxy, is_alive)
        self._era = era

    async def _call(self, name: str, work: t.Callable[[], t.Any]) -> t.Any:
        world = self._world
        late_s = await self._travel(name, Moment.BEFORE, STORE)
        if late_s:
            asyncio.get_running_loop().call_later(late_s, work)
            await self._time_out()
        if world.store_down:
            raise StoreUnavailable("status 503")
        result, era = work(), world.era
        await self._travel(name, Moment.AFTER, STORE)
        if not self._era.observe(era):
            raise StoreUnavailable("answer of an earlier era")
        return result

    @step("claims listed")
    async def list(self, kind: str) -> Listing:
        """Return all objects."""
        return await self._call(
            "claims listed", lambda: Listing(tuple(self._world.objects.values()), 1)
        )

    @step("claim read")
    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject:
        """Return an object."""
        absent = StoredObject(name, 0, None)
        return await self._call(
            "claim read", lambda: self._world.objects.get(name, absent)
        )

    @step("targets listed")
    async def read_targets(self) -> tuple[TargetInfo, ...]:
        """Return the registrations of all targets."""
        return await self._call(
            "targets listed",
            lambda: tuple(target.info for target in self._world.targets.values()),
        )

    @step("claim put")
    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write an object if its revision matches."""

        def write() -> int | None:
            stored = self._world.objects.get(name)
            if (stored.revision if stored else 0) != revision:
                return None
            self._world._revision += 1
            self._world.objects[name] = StoredObject(name, self._world._revision, spec)
            return self._world._revision

        written = await self._call("claim put", write)
        if written is None:
            raise StoreConflict(f"revision of {name} differs")
        return written


class ModelOrders(_Calls):
    """Pass on the promotion orders of one proxy; orders may be carried out late."""

    def __init__(
        self,
        world: World,
        proxy: str,
        late: float,
        is_alive: t.Callable[[], bool] = lambda: True,
    ):
        super().__init__(world, proxy, is_alive)
        self._late = late

    @step("promotion ordered")
    async def promote(
        self, service: str, target: str, fence: int, may_send: t.Callable[[], bool]
    ) -> None:
        """Order a promotion."""
        world = self._world
        if not may_send():
            raise OrderExpired("too late")
        world.orders.append((fence, target))
        late_s = await self._travel("promotion ordered", Moment.BEFORE, CLOUD)
        if not late_s and world.rng.random() < self._late:
            late_s = world.rng.uniform(0.5, 5.0)
        if late_s:
            world.spawn(self._carry_out_late(target, fence, late_s))
            await self._time_out()
        if world.targets[target].crashed or not world.admits(fence):
            raise FenceRefused(fence)
        world.spawn(world.promote(target))
        # The order is answered at once.
        effect = world.on_step("promotion ordered", Moment.AFTER, self._proxy, CLOUD)
        if effect.is_lost:
            await self._time_out()

    async def _carry_out_late(self, target: str, fence: int, late_s: float) -> None:
        await asyncio.sleep(late_s)
        if self._world.admits(fence):
            await self._world.promote(target)
