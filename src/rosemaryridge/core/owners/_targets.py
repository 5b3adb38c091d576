"""Run batches of statements on the targets that this proxy owns."""

import asyncio
import collections
import dataclasses
import random
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import Labels
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import apply_settings
from rosemaryridge.core._session import value_commands
from rosemaryridge.core._shutdown import Shutdown
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._steps import StepTimes
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Command
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import Prepare
from rosemaryridge.core.commands import Reset
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import Run
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.commands import Urgency
from rosemaryridge.core.owners._messages import FAILURES
from rosemaryridge.core.owners._messages import STATES
from rosemaryridge.core.owners._messages import VERBS
from rosemaryridge.core.owners._messages import AnswerFrame
from rosemaryridge.core.owners._messages import Batch
from rosemaryridge.core.owners._messages import BeginStep
from rosemaryridge.core.owners._messages import Condition
from rosemaryridge.core.owners._messages import ConditionStep
from rosemaryridge.core.owners._messages import Done
from rosemaryridge.core.owners._messages import HoldStep
from rosemaryridge.core.owners._messages import Lost
from rosemaryridge.core.owners._messages import NotRun
from rosemaryridge.core.owners._messages import Place
from rosemaryridge.core.owners._messages import RollbackStep
from rosemaryridge.core.owners._messages import RunStep
from rosemaryridge.core.owners._messages import ToSender
from rosemaryridge.core.owners._messages import to_s
from rosemaryridge.core.owners._queue import Refused
from rosemaryridge.core.owners._queue import TurnQueue
from rosemaryridge.model import Position

# An answer that no caller waits for any more is waited for this long, so that the
# connection can be used again.
_ABANDONED_TIMEOUT_S = 5.0
# Batches that take longer are logged with the time of each step.
_SLOW_S = 0.25
# Idle connections are kept this long: an owner needs a few of them all the time.
_IDLE_S = 15.0
_STOPPING = "the owner stops before the batch could end"
# Limit on the batches that wait on one link; a sender has one or two under way.
_MAX_BATCHES_PER_LINK = 8


class ReplySink(t.Protocol):
    """Send frames to one sender."""

    vm: str

    def send(self, frame: ToSender) -> None:
        """Send a frame, or drop it if the stream has ended."""


class _NotSent(Exception):
    """Report that nothing of a batch was sent to the target."""

    def __init__(self, reason: str, wait_s: float, unreachable: bool = False):
        super().__init__(reason)
        self.wait_s = wait_s
        self.unreachable = unreachable


class _OwnedTarget:
    """Hold the connections and the queue of one target."""

    def __init__(
        self, info: TargetInfo, limit: int, connect: Connect, rng: random.Random
    ):
        self.info = info
        self.pool = Pool(info, limit, connect, _ignore, _ignore, rng)
        self.pool.idle_policy.spare_s = _IDLE_S
        self.turns: TurnQueue[asyncio.Future[bool]] = TurnQueue(info.slots)
        self._loop = asyncio.get_running_loop()

    async def take_turn(self, urgency: Urgency) -> None:
        """Return once a statement may use a slot; raise _NotSent.

        Times are those of `boottime`.
        """
        fut: asyncio.Future[bool] = self._loop.create_future()
        try:
            if self.turns.offer(fut, urgency, boottime()):
                return
        except Refused as exc:
            raise _NotSent(str(exc), exc.wait_s) from None
        for shed in self.turns.take_shed():
            if not shed.done():
                shed.set_result(False)
        try:
            async with asyncio.timeout(max(0.0, urgency.deadline - boottime())):
                granted = await fut
        except BaseException as exc:
            self.turns.withdraw(fut)
            if fut.done() and not fut.cancelled() and fut.result():
                self.leave(None)
            if isinstance(exc, TimeoutError):
                granted = False
            else:
                raise
        if not granted:
            raise _NotSent(
                "no slot was free in time",
                self.turns.expected_wait_s(self.turns.waiting),
            )

    def leave(self, hold_s: float | None) -> None:
        """Free a slot and let the next statements take theirs."""
        self.turns.leave(hold_s)
        granted, expired = self.turns.next(boottime())
        for futs, outcome in ((granted, True), (expired, False)):
            for fut in futs:
                if not fut.done():
                    fut.set_result(outcome)
                elif outcome:
                    # Withdrawn at the same moment.
                    self.leave(None)


def _ignore(*_: t.Any) -> None:
    """Ignore an event of the pool: senders learn of failures from their replies."""


@dataclasses.dataclass(slots=True, eq=False)
class _Channel:
    """Hold one sender's link: its waiting batches and its connection, if any."""

    sink: ReplySink
    link: int
    place: Place
    batches: collections.deque[tuple[Batch, Urgency]] = dataclasses.field(
        default_factory=collections.deque
    )
    task: asyncio.Task[None] | None = None
    # The batch that is being served.
    current: Batch | None = None
    owned: _OwnedTarget | None = None
    connection: TargetLink | None = None
    # Whether a statement of the open transaction has run.
    has_run: bool = False
    sending: bool = False
    closed: bool = False


class OwnedTargets:
    """Serve batches for any sender, on a few connections to each owned target."""

    def __init__(
        self,
        groups: t.Mapping[str, Group],
        connect: Connect,
        limit_of: t.Callable[[TargetInfo], int],
        log: EventLog,
        metrics: MetricsRegistry,
        rng: random.Random,
    ):
        self._groups = groups
        self._connect = connect
        # Returns how many connections this proxy may open to a target.
        self._limit_of = limit_of
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._names = PreparedNames()
        self._owned: dict[tuple[str, str], _OwnedTarget] = {}
        self._channels: dict[tuple[ReplySink, int], _Channel] = {}
        # The plan of the shutdown, None before it.
        self.shutdown: Shutdown | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._loop = asyncio.get_running_loop()
        metrics.add_gauges(self._gauges)

    @property
    def busy(self) -> bool:
        """Return whether any batch runs or any transaction is open."""
        return bool(self._channels)

    def serve(
        self,
        sink: ReplySink,
        place: Place,
        batch: Batch,
        offset_s: float,
        is_own: bool = False,
    ) -> None:
        """Queue a batch; `offset_s` is from its times to the clock of `boottime`.

        `is_own` marks the batches of this process's callers, which plan its end
        themselves.
        """
        key = (sink, batch.link)
        channel = self._channels.get(key)
        if channel is None:
            channel = self._channels[key] = _Channel(sink, batch.link, place)
        if len(channel.batches) >= _MAX_BATCHES_PER_LINK or channel.place != place:
            sink.send(NotRun(batch.number, "the link is in other use", 0.0))
            return
        sent_at = to_s(batch.sent_ms) + offset_s
        urgency = Urgency(
            batch.priority,
            sent_at + to_s(batch.aim_ms),
            sent_at + to_s(batch.deadline_ms),
            batch.accepts_late,
        )
        if not is_own and not self._may_end(channel, urgency):
            reply = NotRun(batch.number, _STOPPING, 0.0, True)
            self._record(channel, batch, reply)
            sink.send(reply)
            # An open transaction is rolled back.
            self.close_link(sink, batch.link)
            return
        channel.batches.append((batch, urgency))
        if channel.task is None:
            channel.task = self._spawn(self._serve_channel(channel))

    def _may_end(self, channel: _Channel, urgency: Urgency) -> bool:
        """Return whether a batch is answered before this process ends."""
        if self.shutdown is None:
            return True
        now = self._loop.time()
        deadline = now + urgency.deadline - boottime()
        in_transaction = channel.connection is not None
        return self.shutdown.takes_batch(now, deadline, in_transaction)

    def end_batches(self) -> int:
        """Answer what is outstanding, as the process ends; return how many there were.

        A sender tells its caller at once what was not run, and goes on elsewhere.
        """
        ended = 0
        for channel in list(self._channels.values()):
            replies: list[tuple[Batch, ToSender]] = [
                (batch, NotRun(batch.number, _STOPPING, 0.0, True))
                for batch, _ in channel.batches
            ]
            batch = channel.current
            if batch is not None:
                reply = NotRun(batch.number, _STOPPING, 0.0, True)
                if channel.sending:
                    reply = Lost(batch.number, _STOPPING, True)
                replies.append((batch, reply))
            for batch, reply in replies:
                self._record(channel, batch, reply)
                channel.sink.send(reply)
            ended += len(replies)
            channel.batches.clear()
            channel.closed = True
            if channel.task is not None:
                channel.task.cancel()
            self._discard(channel)
        return ended

    def close_link(self, sink: ReplySink, link: int) -> None:
        """Drop what waits for a link and roll back its transaction."""
        channel = self._channels.get((sink, link))
        if channel is None:
            return
        channel.closed = True
        channel.batches.clear()
        if channel.task is None:
            channel.task = self._spawn(self._finish(channel))
        elif not channel.sending:
            # It waits for its turn or a connection; nothing was sent.
            channel.task.cancel()

    def close_links_of(self, sink: ReplySink) -> None:
        """Close all links of a sender."""
        for owner, link in [key for key in self._channels if key[0] is sink]:
            self.close_link(owner, link)

    def resize(self) -> None:
        """Apply the current limits; close the owned of targets that are gone."""
        for key, owned in list(self._owned.items()):
            if self._find_info(*key) is None:
                del self._owned[key]
                owned.pool.close()
                continue
            owned.pool.resize(self._limit_of(owned.info))

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for owned in self._owned.values():
            owned.pool.close()

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _find_info(self, service: str, target: str) -> TargetInfo | None:
        group = self._groups.get(service)
        found = group.targets.get(target) if group is not None else None
        return found.info if found is not None else None

    def _is_drained(self, place: Place) -> bool:
        """Return whether a leaving target gets no new work."""
        group = self._groups.get(place.service)
        target = group.targets.get(place.target) if group is not None else None
        return target is not None and not target.takes_work(self._loop.time())

    def _find_or_add(self, place: Place) -> _OwnedTarget | None:
        key = (place.service, place.target)
        info = self._find_info(*key)
        if info is None or not self._limit_of(info):
            return None
        owned = self._owned.get(key)
        if owned is not None and not owned.info.is_same_process(info):
            owned.pool.close()
            owned = None
        if owned is None:
            owned = _OwnedTarget(info, self._limit_of(info), self._connect, self._rng)
            self._owned[key] = owned
        owned.info = owned.pool.info = info
        if owned.pool.limit != self._limit_of(info):
            owned.pool.resize(self._limit_of(info))
        return owned

    async def _serve_channel(self, channel: _Channel) -> None:
        try:
            while channel.batches and not channel.closed:
                batch, urgency = channel.batches.popleft()
                channel.current = batch
                try:
                    reply = await self._serve_batch(channel, batch, urgency)
                except Exception as exc:
                    # One batch that cannot be handled must not hold its link.
                    self._discard(channel)
                    reply = Lost(batch.number, repr(exc), True)
                channel.current = None
                self._record(channel, batch, reply)
                channel.sink.send(reply)
        finally:
            # Also after a cancellation.
            channel.task = None
            if channel.closed or channel.connection is None:
                self._channels.pop((channel.sink, channel.link), None)
            if channel.closed and channel.connection is not None:
                self._spawn(self._finish(channel))

    def _record(self, channel: _Channel, batch: Batch, reply: ToSender) -> None:
        self._metrics.inc("owner_batches_total", outcome=type(reply).__name__.lower())
        ids = [step.id for step in batch.steps if isinstance(step, RunStep)]
        if ids and isinstance(reply, (NotRun, Lost)):
            self._log.write(
                "owner_refused" if isinstance(reply, NotRun) else "owner_lost_answer",
                id=ids[0],
                sender=channel.sink.vm,
                service=channel.place.service,
                target=channel.place.target,
                business=channel.place.business or None,
                reason=reply.reason,
                wait_ms=round(1000 * getattr(reply, "wait_s", 0.0)),
            )

    async def _finish(self, channel: _Channel) -> None:
        """Roll back the transaction of a closed link and release its connection."""
        self._channels.pop((channel.sink, channel.link), None)
        owned, connection = channel.owned, channel.connection
        channel.connection = None
        if owned is None or connection is None:
            return
        try:
            async with asyncio.timeout(_ABANDONED_TIMEOUT_S):
                await connection.send(Rollback())[0]
        except (TargetLost, TimeoutError):
            owned.pool.discard(connection, pinned=True)
            return
        owned.pool.release(connection, pinned=True)

    async def _serve_batch(
        self, channel: _Channel, batch: Batch, urgency: Urgency
    ) -> ToSender:
        takes_slot = any(isinstance(step, RunStep) for step in batch.steps)
        owned = channel.owned
        if channel.connection is None:
            owned = channel.owned = self._find_or_add(channel.place)
        if owned is None:
            return NotRun(batch.number, "this proxy owns no such target", 0.0, True)
        # A transaction that has begun its work does not wait again: it holds a
        # connection, and locks of the target.
        waits = takes_slot and not channel.has_run
        steps = StepTimes()
        deadline = urgency.deadline
        has_turn = False
        hold_s = None
        try:
            if waits:
                with steps.measure("turn"):
                    await owned.take_turn(urgency)
            elif takes_slot:
                owned.turns.enter()
            has_turn = takes_slot
            if waits and self._is_drained(channel.place):
                raise _NotSent("the target is leaving", 0.0)
            if channel.connection is None:
                with steps.measure("connection"):
                    connection = await self._take_connection(
                        owned, channel.place.business, urgency, batch.values
                    )
                if boottime() >= deadline:
                    owned.pool.release(connection, pinned=True)
                    raise _NotSent("the deadline has passed", 0.0)
                channel.connection = connection
            elif boottime() >= deadline:
                # The sender has given up; this proxy may have been suspended.
                raise _NotSent("the deadline has passed", 0.0)
            channel.sending = True
            started_at = self._loop.time()
            with steps.measure("target"):
                reply = await self._run(channel, owned, batch, deadline)
            hold_s = self._loop.time() - started_at
            return reply
        except _NotSent as exc:
            return NotRun(batch.number, str(exc), exc.wait_s, exc.unreachable)
        finally:
            channel.sending = False
            if has_turn:
                owned.leave(hold_s)
            self._record_steps(channel, batch, steps)

    def _record_steps(self, channel: _Channel, batch: Batch, steps: StepTimes) -> None:
        for step, step_s in steps.elapsed_s.items():
            self._metrics.observe("owner_step_seconds", step_s, step=step)
        ids = [step.id for step in batch.steps if isinstance(step, RunStep)]
        if ids and sum(steps.elapsed_s.values()) > _SLOW_S:
            self._log.write(
                "owner_slow",
                id=ids[0],
                sender=channel.sink.vm,
                service=channel.place.service,
                target=channel.place.target,
                steps_ms=steps.milliseconds(),
            )

    async def _take_connection(
        self,
        owned: _OwnedTarget,
        business: str,
        urgency: Urgency,
        values: t.Mapping[bytes, bytes],
    ) -> TargetLink:
        remaining_s = urgency.deadline - boottime()
        try:
            return await owned.pool.acquire(
                urgency.priority,
                self._loop.time() + remaining_s,
                pinned=True,
                business=business,
                values=values,
            )
        except PoolClosed as exc:
            raise _NotSent(str(exc), 0.0, unreachable=not exc.failure.full) from None
        except TurnTooLate as exc:
            raise _NotSent(str(exc), exc.wait_s) from None
        except TimeoutError:
            raise _NotSent("no connection was available in time", 0.2) from None

    async def _run(
        self,
        channel: _Channel,
        owned: _OwnedTarget,
        batch: Batch,
        deadline: float,
    ) -> ToSender:
        connection = t.cast(TargetLink, channel.connection)
        timeout_s = max(0.0, deadline - boottime()) + _ABANDONED_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                if isinstance(batch.steps[0], ConditionStep | HoldStep):
                    return await self._ask(channel, owned, batch, batch.steps[0])
                answers = await self._exchange(connection, batch)
        except (TargetLost, TimeoutError) as exc:
            self._discard(channel)
            reason = str(exc) or "no answer in time"
            sent = not isinstance(exc, TargetLost) or exc.sent
            return Lost(batch.number, reason, sent)
        channel.has_run = any(isinstance(step, RunStep) for step in batch.steps)
        self._keep_or_release(channel, owned)
        return Done(batch.number, tuple(map(_encode_answer, answers)))

    def _discard(self, channel: _Channel) -> None:
        """Close a link's connection, if any."""
        if channel.connection is not None and channel.owned is not None:
            channel.owned.pool.discard(channel.connection, pinned=True)
        channel.connection = None
        channel.has_run = False

    async def _exchange(self, connection: TargetLink, batch: Batch) -> list[Answer]:
        """Run the steps; what follows refused session state or BEGIN is not sent."""
        steps = list(batch.steps)
        setup = self._setup_commands(connection, batch)
        refusal = await apply_settings(connection, setup) if setup else None
        if refusal is not None:
            return [refusal] * len(steps)
        answers: list[Answer] = []
        if isinstance(steps[0], BeginStep) and len(steps) > 1:
            answers = await self._send(connection, [steps.pop(0)])
            if not answers[0].ok:
                return answers * len(batch.steps)
        return answers + await self._send(connection, steps)

    async def _send(
        self, connection: TargetLink, steps: t.Sequence[t.Any]
    ) -> list[Answer]:
        futs = connection.send(*map(self._command_of, steps))
        answers = [await fut for fut in futs]
        if any(answer.failure is Failure.UNKNOWN_STATEMENT for answer in answers):
            connection.prepared.clear()
        return answers

    def _setup_commands(self, connection: TargetLink, batch: Batch) -> list[Command]:
        """Return the commands that apply the session of a batch to a connection."""
        steps = [step for step in batch.steps if isinstance(step, RunStep)]
        if not steps:
            return []
        commands = value_commands(connection, batch.values)
        known = set() if Reset() in commands else set(connection.prepared)
        for step in steps:
            name = self._name_of(step)
            if name and name not in known:
                known.add(name)
                commands.append(Prepare(name, step.shape_read_only, step.shape or b""))
        return commands

    def _name_of(self, step: RunStep) -> bytes:
        if step.shape is None:
            return b""
        return self._names.name(step.shape_read_only, step.shape)

    def _command_of(self, step: t.Any) -> Command:
        if isinstance(step, BeginStep):
            return Begin(step.read_only, _decode_position(step.min_position))
        if isinstance(step, RollbackStep):
            return Rollback()
        name = self._name_of(step)
        text, rest = step.content, b""
        if step.shape is not None:
            text, rest = rest, text
        verb = VERBS[step.verb]
        statement = Statement(step.id, verb, text, b"", rest, step.read_only)
        return Run(statement, _decode_position(step.min_position), name)

    async def _ask(
        self,
        channel: _Channel,
        owned: _OwnedTarget,
        batch: Batch,
        step: ConditionStep | HoldStep,
    ) -> ToSender:
        connection = t.cast(TargetLink, channel.connection)
        found = await _request_condition(connection, step)
        owned.pool.release(connection, pinned=True)
        channel.connection = None
        if found is None:
            return Condition(batch.number, None)
        received = (found.received.term, found.received.lsn)
        return Condition(
            batch.number,
            (
                found.primary,
                found.term,
                received,
                found.held_term,
                found.lag_s,
                found.busy,
                found.connections,
            ),
        )

    def _keep_or_release(self, channel: _Channel, owned: _OwnedTarget) -> None:
        connection = t.cast(TargetLink, channel.connection)
        if connection.state is TransactionState.IDLE:
            owned.pool.release(connection, pinned=True)
            channel.connection = None
            channel.has_run = False

    def _gauges(self) -> t.Iterator[tuple[str, Labels, float]]:
        for (service, name), owned in self._owned.items():
            labels = (("service", service), ("target", name))
            yield "owner_connections", labels, owned.pool.size
            yield "owner_waiting", labels, owned.turns.waiting
            yield "owner_running", labels, owned.turns.running


async def _request_condition(
    connection: TargetLink, step: ConditionStep | HoldStep
) -> TargetCondition | None:
    if isinstance(step, HoldStep) or step.step_down_term is None:
        return await connection.ask_condition()
    return await connection.step_down(step.step_down_term)


def _decode_position(fields: tuple[int, int] | None) -> Position | None:
    return None if fields is None else Position(*fields)


def _encode_answer(answer: Answer) -> AnswerFrame:
    position = answer.position
    return AnswerFrame(
        answer.signature,
        STATES.index(answer.state),
        None if position is None else (position.term, position.lsn),
        answer.rows,
        FAILURES.index(answer.failure) if answer.failure else None,
        answer.detail,
    )
