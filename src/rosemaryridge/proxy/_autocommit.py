"""Run one autocommit statement, with retries where they are safe."""

import abc
import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import BoundStatement
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._running import RunningRequest
from rosemaryridge.proxy._running import cancel_best_effort
from rosemaryridge.proxy._running import run_in_background
from rosemaryridge.proxy._target_selector import TargetSelector
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import Continue
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Effect
from rosemaryridge.request import Failed
from rosemaryridge.request import Finish
from rosemaryridge.request import Refused
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import Retry
from rosemaryridge.request import Sent
from rosemaryridge.telemetry import STATEMENTS
from rosemaryridge.wire import Completion
from rosemaryridge.wire import PreparedStatement

_Value = t.TypeVar("_Value")
_MAX_RETRY_DELAY_S = 0.02
_UNBUDGETED_RETRIES = 2
_STALE_STATEMENT_ERRORS = (
    asyncpg.FeatureNotSupportedError,
    asyncpg.InvalidSQLStatementNameError,
)
_NO_TARGET_CODES = (codes.limits.NO_TARGET, codes.group.NO_PRIMARY)


class AutocommitRun(abc.ABC):
    """Run one statement as its own transaction until its outcome is decided.

    `Request` decides after each attempt whether the statement is retried. Subclasses
    define how a statement is sent and how its answer reaches the caller.
    """

    kind: RequestKind

    def __init__(
        self,
        ctx: ProxyContext,
        selector: TargetSelector,
        state: CallerState,
        options: EffectiveOptions,
        stmt: BoundStatement,
        repeatable: bool = False,
    ):
        idempotent = options.idempotent or repeatable
        self.request = Request(self.kind, idempotent, ctx.faults.retry_unknown)
        self.running = RunningRequest(self.request)
        self.timeout: asyncio.Timeout | None = None
        self._ctx = ctx
        self._selector = selector
        self._state = state
        self._options = options
        self._stmt = stmt
        self._excluded: frozenset[str] = frozenset()
        self._is_exclusion_strict = False
        self._timeouts = 0
        self._unbudgeted_retries = _UNBUDGETED_RETRIES
        self._error: asyncpg.PostgresError | None = None
        self._refusal: Refusal | None = None

    async def run(self, max_rows: int) -> Completion:
        """Run the statement; return its completion.

        Raise Refusal, or the asyncpg.PostgresError that the target answered.
        """
        while True:
            effect = await self._attempt(max_rows)
            if isinstance(effect, Retry):
                effect = await self._prepare_retry(effect)
            if isinstance(effect, Finish):
                return await self._complete(effect)

    @abc.abstractmethod
    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        """Send the statement and read its answer; return what follows from it."""

    @abc.abstractmethod
    async def _deliver(self) -> Completion:
        """Send the caller the part of the answer that it has not received yet."""

    async def _complete(self, finish: Finish) -> Completion:
        role = "primary" if self.request.on_primary else "replica"
        self._ctx.metrics.inc(STATEMENTS, self.kind.value, role, finish.outcome.value)
        if self._is_write:
            self._state.record_outcome(finish.outcome, self._options.request_key)
        if finish.code is not None:
            raise self._final_refusal(finish)
        if finish.outcome is not Outcome.DONE:
            raise self._error
        self._ctx.budget.on_success(self._state.business)
        return await self._deliver()

    def _final_refusal(self, finish: Finish) -> Refusal:
        if self._refusal is not None and self._refusal.code is finish.code:
            return self._refusal
        return Refusal(finish.code, retry_after_s=finish.retry_after_s)

    async def _prepare_retry(self, retry: Retry) -> Effect:
        ctx = self._ctx
        self._is_exclusion_strict = retry.reason == "fenced"
        if self.request.target:
            self._excluded |= {self.request.target}
        # An attempt that never reached a target put no load on it, so that a few of
        # these retries are exempt from the retry budget.
        unbudgeted = retry.reason == "not_sent" and self._unbudgeted_retries > 0
        self._unbudgeted_retries -= unbudgeted
        if not unbudgeted and not ctx.budget.try_consume(self._state.business):
            return self._on_refusal(Refusal(codes.limits.RETRY_BUDGET_SPENT, "", 0.5))
        ctx.metrics.retry(retry.reason, self._state.service)
        delay_s = ctx.rng.random() * _MAX_RETRY_DELAY_S
        if ctx.timer.now() + delay_s >= self._options.deadline:
            return self.request.on_event(DeadlinePassed())
        await asyncio.sleep(delay_s)
        return Continue()

    def _on_refusal(self, exc: Refusal) -> Effect:
        self._refusal = exc
        return self.request.on_event(Refused(exc.code, exc.retry_after_s))

    async def _attempt(self, max_rows: int) -> Effect:
        try:
            async with asyncio.timeout_at(self._options.deadline) as timeout:
                self.timeout = self.running.timeout = timeout
                return await self._select_and_run(max_rows)
        except TimeoutError:
            return self.running.finish or self.request.on_event(DeadlinePassed())
        except Refusal as exc:
            return self._on_refusal(exc)
        finally:
            self.running.timeout = None

    async def _select_and_run(self, max_rows: int) -> Effect:
        try:
            placement = await self._acquire_placement()
        except Refusal as exc:
            if exc.code is not codes.limits.NO_TARGET or self._is_write:
                raise
            return self._on_unreachable(exc)
        except CONNECTION_ERRORS:
            return self.request.on_event(ConnectionLost())
        except asyncpg.PostgresError as exc:
            # The target refused a value of the session; the statement was not sent.
            self._error = exc
            return self.request.on_event(Failed(exc.sqlstate or ""))
        effect = await self._run_and_release(placement, max_rows)
        if isinstance(effect, Confirm):
            effect = await self._confirm(placement)
        return effect

    @property
    def _is_write(self) -> bool:
        return self.kind is RequestKind.WRITE

    async def _acquire_placement(self) -> Placement:
        try:
            return await self._selector.acquire(
                self._is_write, self._options, self._excluded
            )
        except Refusal as exc:
            if (
                exc.code not in _NO_TARGET_CODES
                or not self._excluded
                or self._is_exclusion_strict
            ):
                raise
        # Only excluded targets are left. A lost connection, the usual reason for an
        # exclusion, says little about the state of the target.
        self._excluded = frozenset()
        return await self._selector.acquire(
            self._is_write, self._options, self._excluded
        )

    def _on_unreachable(self, exc: Refusal) -> Effect:
        """Retry once on another target; refuse if that is unreachable, too."""
        previous, self._refusal = self._refusal, exc
        if previous is not None:
            return self.request.on_event(Refused(exc.code, exc.retry_after_s))
        return self.request.on_event(ConnectionLost())

    async def _run_and_release(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        self.running.connection = connection
        answered = ok = False
        attempts = self.request.attempts
        try:
            effect = await self._run(placement, max_rows)
            answered = ok = True
        except asyncpg.PostgresError as exc:
            answered = not placement.replaced
            self._error = exc
            effect = self.request.on_event(placement.failure_event(exc))
            ok = answered and isinstance(effect, Finish)
        except CONNECTION_ERRORS as exc:
            effect = self.request.on_event(placement.failure_event(exc))
        finally:
            self.running.connection = None
            if not answered:
                self._abandon_connection(placement, attempts)
            reusable = answered and not connection.in_transaction()
            self._selector.release(placement, ok, reusable)
        return effect

    def _abandon_connection(self, placement: Placement, attempts_before: int) -> None:
        """Cancel the statement on a connection whose answer is no longer awaited."""
        self._selector.report_lost(placement)
        if self.request.attempts > attempts_before:
            run_in_background(cancel_best_effort(placement.connection))

    async def _run(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        try:
            return await self._exchange(placement, max_rows)
        except _STALE_STATEMENT_ERRORS:
            # The target's schema changed: it rejected the prepared statement without
            # running it. An open transaction has failed with it and cannot go on.
            if connection.in_transaction() or not connection.forget_statements():
                raise
        return await self._exchange(placement, max_rows)

    async def _prepare(self, placement: Placement) -> PreparedStatement:
        prepared = await prepare(placement.connection, self._stmt)
        placement.raise_if_replaced()
        self.request.on_event(Sent(placement.target, placement.primary))
        return prepared

    async def _await_answer(
        self, placement: Placement, pending: t.Awaitable[_Value]
    ) -> _Value:
        """Await an answer; close the connection after an adaptive timeout.

        A timeout does not prove that the target failed: a new connection to it may
        work. Each timeout of a request makes the next one longer, for a statement
        that is only slow.
        """
        ctx = self._ctx
        text = self._stmt.text if self._stmt is not None else ""
        started_at = ctx.timer.now()
        timeout_s = ctx.adaptive_timeout.timeout_s(text, self._timeouts)
        timer = ctx.timer.after(timeout_s, lambda: self._on_unresponsive(placement))
        try:
            result = await pending
        finally:
            timer.cancel()
        ctx.adaptive_timeout.record_answer(text, ctx.timer.now() - started_at)
        return result

    def _on_unresponsive(self, placement: Placement) -> None:
        self._timeouts += 1
        placement.connection.terminate()

    async def _confirm(self, placement: Placement) -> Effect:
        try:
            await self._selector.confirm(placement, self._options)
        except Refusal as exc:
            return self.request.on_event(ConfirmFailed(exc.code))
        return self.request.on_event(Confirmed())
