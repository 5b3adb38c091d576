"""Run one caller's transaction on one connection."""

import asyncio
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import Route
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._reader import Reader
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.commands import Urgency

# Retry-After of a COMMIT that was not sent, as the primary is being replaced.
_REPLACED_RETRY_S = 0.5


class Transaction:
    """Run a transaction's statements on a connection that is acquired at BEGIN.

    A failure before COMMIT is sent leaves no change, because a target rolls back a
    transaction whose connection ends. `idle_timeout_s` bounds the time without a
    statement. `admission` ends, or raises StatementError, before a connection is taken.
    `execution` is that of BEGIN.
    """

    def __init__(
        self,
        runner: Runner,
        reader: Reader,
        execution: Execution,
        route: Route,
        group: Group,
        read_only: bool,
        idle_timeout_s: float,
        admission: t.Coroutine[t.Any, t.Any, None],
    ):
        # Whether a failure of the transaction was reported to the caller.
        self.failed = False
        self._has_written = False
        self._ended = False
        self._runner = runner
        self._reader = reader
        self._begin_execution = execution
        self.route = self._route = route
        self._group = group
        self._any_target = read_only and route.consistency is not Consistency.PRIMARY
        self._idle_timeout_s = idle_timeout_s
        self._admission = admission
        self._loop = asyncio.get_running_loop()
        self._target: Target | None = None
        self._link: TargetLink | None = None
        self._timed_out = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.Task[None] = runner.spawn(self._open())
        # Retrieve the exception: a caller that ends the transaction before its first
        # statement never awaits the task.
        self._opening.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        self._start_idle_timer()

    async def run(self, execution: Execution) -> Answer:
        """Return a statement's answer; raise StatementError."""
        self._stop_idle_timer()
        deadline = self._loop.time() + self._route.timeout_s
        try:
            answer = await self._run(execution, deadline)
        except StatementError:
            self.failed = True
            self._end()
            raise
        if answer.state is not TransactionState.OPEN:
            self.failed = True
            self._end()
            return answer.in_state(TransactionState.FAILED)
        if answer.ok and not execution.session.is_read(execution.statement):
            self._has_written = True
        self._start_idle_timer()
        return answer

    async def _run(self, execution: Execution, deadline: float) -> Answer:
        target, link = await self._wait_until_open(execution, deadline)
        backoff = self._runner.backoff(deadline)
        while True:
            answer = await self._exchange(target, link, execution, deadline)
            self._runner.apply_answer(self._group, target, link, answer)
            refused = answer.failure in NOT_RUN
            if not refused or answer.state is not TransactionState.OPEN:
                return answer
            if answer.retry_after_s is not None:
                raise StatementError(Failure.BUSY, answer.detail, answer.retry_after_s)
            await backoff.pause(answer.detail)

    async def _exchange(
        self, target: Target, link: TargetLink, execution: Execution, deadline: float
    ) -> Answer:
        link.urgency = Urgency.of(self._route, deadline)
        try:
            return await self._runner.exchange(
                execution, self._group, target, link, deadline
            )
        except TargetLost as exc:
            self._group.suspect(target)
            raise StatementError(Failure.ABORTED, f"{target.id}: {exc}", 0.1) from None
        except TimeoutError:
            raise StatementError(
                Failure.ABORTED, f"{target.id} did not answer before the deadline", 0.1
            ) from None

    async def commit(self, execution: Execution) -> Answer:
        """Return COMMIT's answer; raise StatementError."""
        self._stop_idle_timer()
        if self.failed:
            self.roll_back()
            raise StatementError(
                Failure.ABORTED, "the transaction failed before COMMIT", 0.1
            )
        deadline = self._loop.time() + self._route.timeout_s
        try:
            return await self._commit(execution, deadline)
        except (StatementError, asyncio.CancelledError):
            self._end()
            raise

    async def _commit(self, execution: Execution, deadline: float) -> Answer:
        target, link = await self._wait_until_open(execution, deadline)
        await self._check_before_commit(execution, target)
        backoff = self._runner.backoff(deadline)
        while True:
            requested_at = boottime()
            answer = await self._send_commit(target, link, execution, deadline)
            if answer.failure not in NOT_RUN or (
                answer.state is not TransactionState.OPEN
            ):
                break
            await backoff.pause(answer.detail)
        self._target = self._link = None
        self._runner.release(self._group, target, link, answer, pinned=True)
        if answer.ok and not self._any_target:
            with execution.steps.measure("proof"):
                await self._runner.check_commit(
                    self._group, target, answer, self._has_written
                )
        self._record_commit(answer, target, requested_at)
        return answer.in_state(TransactionState.IDLE)

    async def _check_before_commit(self, execution: Execution, target: Target) -> None:
        """Raise StatementError if synchronous replicas might lose the commit.

        Nothing has been sent yet, so that the caller may safely repeat it.
        """
        if not self._group.sync_replicas or not self._has_written:
            return
        with execution.steps.measure("proof"):
            may_commit = await self._group.may_commit(target)
        if not may_commit:
            raise StatementError(
                Failure.ABORTED, f"{target.id} is being replaced", _REPLACED_RETRY_S
            )

    def _record_commit(
        self, answer: Answer, target: Target, requested_at: float
    ) -> None:
        # A deposed primary still commits a transaction that wrote nothing.
        if answer.ok and answer.position is not None and self._has_written:
            self._group.record_primary(target, answer.position, requested_at)
            self._begin_execution.session.record_commit(answer.position, boottime())

    async def _send_commit(
        self, target: Target, link: TargetLink, execution: Execution, deadline: float
    ) -> Answer:
        link.urgency = Urgency.of(self._route, deadline)
        try:
            return await self._runner.exchange(
                execution, self._group, target, link, deadline
            )
        except (TargetLost, TimeoutError) as exc:
            self._group.suspect(target)
            reason = str(exc) or "no answer before the deadline"
            if isinstance(exc, TargetLost) and not exc.sent:
                raise StatementError(
                    Failure.ABORTED, f"{target.id}: {reason}", 0.1
                ) from None
            raise StatementError(
                Failure.UNKNOWN_OUTCOME,
                f"connection to {target.id} failed at COMMIT: {reason}",
            ) from None

    def abort(self) -> None:
        """Roll the transaction back; it stays open for its caller, as failed."""
        self.failed = True
        self.roll_back()

    def roll_back(self) -> None:
        """Roll the transaction back."""
        self._stop_idle_timer()
        self._end()

    def _end(self) -> None:
        self._ended = True
        if not self._opening.done():
            self._opening.add_done_callback(lambda _: self._release_link())
        else:
            self._release_link()

    def _release_link(self) -> None:
        target, link = self._target, self._link
        self._target = self._link = None
        if target is None or link is None:
            return
        if link.busy or link.closed:
            # A statement may still run; the target rolls back its changes.
            target.pool.discard(link, pinned=True)
            return
        self._runner.spawn(self._runner.roll_back(target, link, pinned=True))

    async def _wait_until_open(
        self, execution: Execution, deadline: float
    ) -> tuple[Target, TargetLink]:
        if self._timed_out:
            raise StatementError(
                Failure.ABORTED, "the transaction exceeded the idle timeout"
            )
        try:
            with execution.steps.measure("begin"):
                async with asyncio.timeout_at(deadline):
                    await asyncio.shield(self._opening)
        except TimeoutError:
            raise StatementError(
                Failure.BUSY, "no connection to a target was available in time", 0.2
            ) from None
        finally:
            execution.trail += self._begin_execution.trail
            self._begin_execution.trail.clear()
        if self._target is None or self._link is None:
            raise StatementError(Failure.ABORTED, "the transaction has ended")
        return self._target, self._link

    async def _open(self) -> None:
        await self._admission
        deadline = self._loop.time() + self._route.timeout_s
        tried: set[str] = set()
        backoff = self._runner.backoff(deadline)
        while not self._ended:
            tried_before = len(tried)
            answer = await self._open_once(tried, deadline)
            if answer is not None and answer.ok:
                return
            if answer is not None and answer.retry_after_s and not self._any_target:
                raise StatementError(Failure.BUSY, answer.detail, answer.retry_after_s)
            reason = answer.detail if answer else "the target cannot be reached"
            failure = (answer and answer.failure) or Failure.BUSY
            # An attempt that found no further target, since those left are draining or
            # lag, has not waited for anything.
            if len(tried) == tried_before or len(tried) >= len(self._group.targets):
                tried.clear()
                await backoff.pause(reason, failure)

    async def _open_once(self, tried: set[str], deadline: float) -> Answer | None:
        requirement = None
        if self._any_target:
            requirement = await self._reader.read_requirement(
                self._begin_execution, self._route, self._group, deadline
            )
            target = self._reader.choose_target(self._group, requirement, tried)
            if target is None:
                return Answer(
                    failure=Failure.BUSY, detail="no usable target for the transaction"
                )
            tried.add(target.id)
        else:
            target = await self._group.wait_for_proven_primary(deadline, commits=True)
        link = await self._runner.acquire_link(
            self._begin_execution,
            self._group,
            target,
            self._route,
            deadline,
            pinned=True,
        )
        if link is None:
            return None
        requested_at = boottime()
        try:
            answer = await self._runner.begin(
                self._begin_execution.session,
                self._group,
                target,
                link,
                deadline,
                self._any_target,
                requirement.position if requirement else None,
            )
        except (TargetLost, TimeoutError):
            target.pool.discard(link, pinned=True)
            self._group.suspect(target)
            return None
        if requirement is not None:
            self._reader.record_answer(target, requirement, answer)
        if not answer.ok:
            target.pool.release(link, pinned=True)
            return answer
        if requirement is None and not await self._group.confirm_primary(
            target, requested_at
        ):
            self._runner.spawn(self._runner.roll_back(target, link, pinned=True))
            return Answer(
                failure=Failure.BUSY, detail=f"{target.id} may have been replaced"
            )
        self._target, self._link = target, link
        return answer

    def _start_idle_timer(self) -> None:
        self._idle_timer = self._loop.call_later(
            self._idle_timeout_s, self._on_idle_timeout
        )

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _on_idle_timeout(self) -> None:
        self._timed_out = True
        self._end()
