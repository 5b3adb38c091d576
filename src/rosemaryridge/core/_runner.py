"""Run statements on targets and retry them where this is safe."""

import asyncio
import random
import typing as t

from rosemaryridge.core._backoff import Backoff
from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._config import Route
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import Session
from rosemaryridge.core._session import apply_settings
from rosemaryridge.core._session import confirm_settings
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Command
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import Run
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.commands import Urgency
from rosemaryridge.model import Position

# A target with an answer outstanding for this long is probed.
_PROBE_DELAY_S = 0.15
# Timeout for an answer that no caller waits for any more.
ABANDONED_TIMEOUT_S = 5.0
# Shorter waits for a connection are left out of the session's trail.
_TRACED_WAIT_MIN_S = 0.02


class Runner:
    """Run statements on the targets of their group.

    Deadlines are times of the event loop's clock.
    """

    def __init__(
        self,
        rng: random.Random,
        names: PreparedNames,
        log: EventLog,
        metrics: MetricsRegistry,
        check: t.Callable[[Session], None] = lambda session: None,
    ):
        self._rng = rng
        self._names = names
        self._log = log
        self._metrics = metrics
        # Raises StatementError if a session may not run its operation any more.
        self._check = check
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def write(self, execution: Execution, route: Route, group: Group) -> Answer:
        """Return a write's answer; raise StatementError.

        The write is retried only after an answer that says that it did not run, or
        when the connection ended before the write was sent.
        """
        deadline = self._loop.time() + route.timeout_s
        backoff = self.backoff(deadline)
        while True:
            with execution.steps.measure("primary"):
                target = await group.wait_for_proven_primary(deadline, commits=True)
            link = await self.acquire_link(execution, group, target, route, deadline)
            if link is None:
                await backoff.pause("the primary cannot be reached")
                continue
            answer = await self._write_once(execution, group, target, link, deadline)
            if answer is None:
                await backoff.pause(f"the connection to {target.id} was lost")
                continue
            if answer.failure not in NOT_RUN:
                return answer
            self._log.write(
                "write_refused",
                id=execution.statement.id,
                service=group.service,
                target=target.id,
                reason=answer.failure.value,
            )
            if answer.retry_after_s is not None:
                raise StatementError(Failure.BUSY, answer.detail, answer.retry_after_s)
            if answer.failure is Failure.BUSY and answer.sent and not link.via:
                # The pool delays the next statement to a full target.
                continue
            await backoff.pause(answer.detail, answer.failure)

    async def _write_once(
        self,
        execution: Execution,
        group: Group,
        target: Target,
        link: TargetLink,
        deadline: float,
    ) -> Answer | None:
        """Return the answer, None if the connection ended before the write was sent."""
        requested_at = boottime()
        try:
            answer = await self.exchange(execution, group, target, link, deadline)
        except TargetLost as exc:
            target.pool.discard(link)
            group.suspect(target)
            if not exc.sent:
                return None
            raise StatementError(
                Failure.UNKNOWN_OUTCOME,
                f"connection to {target.id} was lost during a write: {exc}",
            ) from None
        except TimeoutError:
            target.pool.discard(link)
            raise StatementError(
                Failure.UNKNOWN_OUTCOME,
                f"{target.id} did not answer a write before the deadline",
            ) from None
        except asyncio.CancelledError:
            target.pool.discard(link)
            raise
        self.release(group, target, link, answer)
        if answer.ok and answer.state is not TransactionState.IDLE:
            # It ran in a transaction of which this session knows nothing.
            raise StatementError(
                Failure.UNKNOWN_OUTCOME,
                f"{target.id} left a transaction open after a write",
            )
        if answer.ok:
            with execution.steps.measure("proof"):
                await self.check_commit(group, target, answer)
        if answer.ok and answer.position is not None:
            group.record_primary(target, answer.position, requested_at)
            execution.session.record_commit(answer.position, boottime())
        return answer

    async def check_commit(
        self, group: Group, target: Target, answer: Answer, has_written: bool = True
    ) -> None:
        """Raise StatementError unless a commit is proven to be kept.

        Commits of a target that has been replaced are rolled back. One that wrote
        nothing must only have been answered by the primary.
        """
        if has_written:
            kept = await group.confirm_commit(target, answer.position, boottime())
        else:
            kept = await group.confirm_primary(target, boottime())
        if not kept:
            raise StatementError(
                Failure.UNKNOWN_OUTCOME,
                f"{target.id} may have been replaced before the commit",
            )

    async def acquire_link(
        self,
        execution: Execution,
        group: Group,
        target: Target,
        route: Route,
        deadline: float,
        pinned: bool = False,
    ) -> TargetLink | None:
        """Return a connection to a target, None if it cannot be reached.

        Raises StatementError if no connection is available before the deadline.
        """
        session, trail = execution.session, execution.trail
        wait_started_at = self._loop.time()
        try:
            with execution.steps.measure("connection"):
                link = await target.pool.acquire(
                    route.priority,
                    deadline,
                    pinned,
                    session.business.name,
                    session.values,
                )
        except PoolClosed as exc:
            trail.append(f"{target.id} unreachable: {exc}")
            return None
        except TurnTooLate as exc:
            group.record_overload(target)
            raise StatementError(
                Failure.BUSY, f"{target.id} is overloaded: {exc}", exc.wait_s
            ) from None
        except TimeoutError:
            group.record_overload(target)
            raise StatementError(
                Failure.BUSY, f"no connection to {target.id} was available in time", 0.2
            ) from None
        if not target.takes_work(self._loop.time()):
            target.pool.release(link, pinned)
            trail.append(f"{target.id} is leaving")
            return None
        link.urgency = Urgency.of(route, deadline)
        waited_s = self._loop.time() - wait_started_at
        if waited_s > _TRACED_WAIT_MIN_S:
            try:
                self._check(session)
            except StatementError:
                target.pool.release(link, pinned)
                raise
            trail.append(f"waited {waited_s:.2f} s for a connection to {target.id}")
        return link

    async def exchange(
        self,
        execution: Execution,
        group: Group,
        target: Target,
        link: TargetLink,
        deadline: float,
        min_position: Position | None = None,
        in_transaction: bool = False,
    ) -> Answer:
        """Send a statement and return its answer; raise TargetLost or TimeoutError.

        Commands that apply the session's state to the connection precede it; if one is
        refused, the answer is that the target was busy, and the statement is not sent.
        A target whose log does not reach `min_position` refuses a read. With
        `in_transaction`, a transaction of its own is opened and rolled back around it,
        on a link that runs nothing after a command that fails.
        """
        statement, steps = execution.statement, execution.steps
        preamble, name = execution.session.preamble(link, statement, self._names)
        commands: list[Command] = [Run(statement, min_position, name)]
        answer = None
        started = self._loop.time()
        target.outstanding += 1
        probe = self._schedule_probe(group, target)
        try:
            if preamble and not link.stops_at_failure:
                with steps.measure("settings"):
                    answer = await self._apply_settings(link, preamble, deadline)
            else:
                commands = [*preamble, *commands]
            if answer is None:
                with execution.attempt() as attempt, steps.measure("target"):
                    answer = await self._send(link, commands, deadline, in_transaction)
                    attempt.record_answer(answer)
        finally:
            target.outstanding -= 1
            probe.cancel()
        now = self._loop.time()
        outcome = answer.failure.value if answer.failure else "done"
        if not answer.sent:
            outcome = "session state refused"
        took_ms = round(1000 * (now - started))
        via = f" via {link.via}" if link.via else ""
        execution.trail.append(f"{target.id}{via} {outcome} after {took_ms} ms")
        self._metrics.inc(
            "target_answers_total", service=group.service, outcome=outcome
        )
        if answer.retry_after_s is not None:
            group.record_overload(target)
            return answer
        target.record_response(now)
        if not answer.sent:
            # Session state takes no slot: its refusal does not show a full target.
            return answer
        if answer.failure is Failure.BUSY:
            if not link.via:
                target.record_refusal(now)
            group.record_overload(target)
        elif answer.failure not in NOT_RUN:
            target.record_latency(now - started, now)
        return answer

    async def _apply_settings(
        self, link: TargetLink, commands: list[Command], deadline: float
    ) -> Answer | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await apply_settings(link, commands)
        except TimeoutError:
            raise TargetLost("no answer to the session's state", sent=False) from None

    async def _send(
        self,
        link: TargetLink,
        commands: list[Command],
        deadline: float,
        in_transaction: bool,
    ) -> Answer:
        if in_transaction:
            *_, fut, _ = link.send(Begin(), *commands, Rollback())
        else:
            *_, fut = link.send(*commands)
        async with asyncio.timeout_at(deadline):
            return await fut

    def release(
        self,
        group: Group,
        target: Target,
        link: TargetLink,
        answer: Answer,
        pinned: bool = False,
    ) -> None:
        """Handle a refusal and release the connection."""
        self.apply_answer(group, target, link, answer)
        target.pool.release(link, pinned)

    def apply_answer(
        self, group: Group, target: Target, link: TargetLink, answer: Answer
    ) -> None:
        """Update the group and the connection if the answer is a refusal."""
        if answer.failure is Failure.READ_ONLY:
            group.record_not_primary(target)
        if answer.failure is Failure.UNKNOWN_STATEMENT:
            link.prepared.clear()

    def _schedule_probe(self, group: Group, target: Target) -> asyncio.TimerHandle:
        sent_at = self._loop.time()

        def probe() -> None:
            # A target that has answered other statements since is only busy.
            if target.last_response_at < sent_at:
                self.spawn(group.probe_primary(target))

        return self._loop.call_later(_PROBE_DELAY_S, probe)

    def spawn(self, coro) -> asyncio.Task:
        """Run a coroutine in the background and hold a reference to its task."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def backoff(self, deadline: float) -> Backoff:
        """Return the backoff between the attempts of one statement."""
        return Backoff(deadline, self._rng)

    async def begin(
        self,
        session: Session,
        group: Group,
        target: Target,
        link: TargetLink,
        deadline: float,
        read_only: bool = False,
        min_position: Position | None = None,
        statement: Statement | None = None,
    ) -> Answer:
        """Open a transaction; raise TargetLost or TimeoutError.

        The session's state, with the prepared name of the first statement if it is
        known, takes no round trip of its own. The answer to a BEGIN that is not
        read-only shows whether the target is the primary; the group records it.
        """
        requested_at = boottime()
        settings: list[Command] = []
        if not link.stops_at_failure:
            settings, _ = session.preamble(link, statement, self._names)
        *setting_futs, fut = link.send(*settings, Begin(read_only, min_position))
        probe = self._schedule_probe(group, target)
        try:
            async with asyncio.timeout_at(deadline):
                refusal = await confirm_settings(link, settings, setting_futs)
                answer = await fut
                if refusal is not None and answer.ok:
                    await link.send(Rollback())[0]
        finally:
            probe.cancel()
        if answer.retry_after_s is not None:
            return answer
        target.record_response(self._loop.time())
        if not read_only:
            group.record_begin_answer(target, answer, requested_at)
        return answer if refusal is None else refusal

    async def roll_back(
        self, target: Target, link: TargetLink, pinned: bool = False
    ) -> None:
        """Roll a transaction back and release its connection."""
        (fut,) = link.send(Rollback())
        try:
            async with asyncio.timeout(ABANDONED_TIMEOUT_S):
                await fut
        except (TargetLost, TimeoutError):
            target.pool.discard(link, pinned)
            return
        target.pool.release(link, pinned)
