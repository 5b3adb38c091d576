"""Run one statement that is a transaction of its own."""

import abc
import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import Work
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._placing import Placer
from rosemaryridge.proxy._running import Running
from rosemaryridge.proxy._running import cancel_quietly
from rosemaryridge.proxy._running import run_aside
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import Continue
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Effect
from rosemaryridge.request import Finish
from rosemaryridge.request import Lost
from rosemaryridge.request import Refused
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import Retry
from rosemaryridge.request import Sent
from rosemaryridge.telemetry import STATEMENTS
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Prepared

_Value = t.TypeVar("_Value")
_RETRY_PAUSE_S = 0.02
_FREE_RETRIES = 2
_STALE_STATEMENT = (
    asyncpg.FeatureNotSupportedError,
    asyncpg.InvalidSQLStatementNameError,
)
_NOWHERE = (codes.limits.NO_TARGET, codes.group.NO_PRIMARY)


class Autocommit(abc.ABC):
    """Run one statement, again where that is safe, until its outcome is known."""

    kind: RequestKind

    def __init__(
        self,
        parts: Parts,
        placer: Placer,
        state: CallerState,
        terms: Terms,
        work: Work,
        repeatable: bool = False,
    ):
        idempotent = terms.idempotent or repeatable
        self.request = Request(self.kind, idempotent, parts.faults.retry_unknown)
        self.running = Running(self.request)
        self.scope: asyncio.Timeout | None = None
        self._parts = parts
        self._placer = placer
        self._state = state
        self._terms = terms
        self._work = work
        self._exclude: frozenset[str] = frozenset()
        self._choosy = False
        self._silences = 0
        self._free_retries = _FREE_RETRIES
        self._error: asyncpg.PostgresError | None = None
        self._refusal: Refusal | None = None

    async def run(self, max_rows: int) -> Completion:
        """Return how the statement was completed; raise its error or a Refusal."""
        while True:
            effect = await self._attempt(max_rows)
            if isinstance(effect, Retry):
                effect = await self._before_retry(effect)
            if isinstance(effect, Finish):
                return await self._conclude(effect)

    @abc.abstractmethod
    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        """Send the statement and read the answer."""

    @abc.abstractmethod
    async def _deliver(self) -> Completion:
        """Pass on what is not passed on yet."""

    async def _conclude(self, finish: Finish) -> Completion:
        role = "primary" if self.request.on_primary else "replica"
        self._parts.metrics.inc(STATEMENTS, self.kind.value, role, finish.outcome.value)
        if self._is_write:
            self._state.ended(finish.outcome, self._terms.request_key)
        if finish.code is not None:
            raise self._final_refusal(finish)
        if finish.outcome is not Outcome.DONE:
            raise self._error
        self._parts.budget.on_success(self._state.business)
        return await self._deliver()

    def _final_refusal(self, finish: Finish) -> Refusal:
        if self._refusal is not None and self._refusal.code is finish.code:
            return self._refusal
        return Refusal(finish.code, retry_after_s=finish.retry_after_s)

    async def _before_retry(self, retry: Retry) -> Effect:
        parts = self._parts
        self._choosy = retry.reason == "fenced"
        if self.request.target:
            self._exclude |= {self.request.target}
        # What never reached a target is no load on it.
        free = retry.reason == "not_sent" and self._free_retries > 0
        self._free_retries -= free
        if not free and not parts.budget.allow(self._state.business):
            return self._refused(Refusal(codes.limits.RETRY_BUDGET_SPENT, "", 0.5))
        parts.metrics.retry(retry.reason, self._state.service)
        pause_s = parts.rng.random() * _RETRY_PAUSE_S
        if parts.timer.now() + pause_s >= self._terms.deadline:
            return self.request.on_event(DeadlinePassed())
        await asyncio.sleep(pause_s)
        return Continue()

    def _refused(self, exc: Refusal) -> Effect:
        self._refusal = exc
        return self.request.on_event(Refused(exc.code, exc.retry_after_s))

    async def _attempt(self, max_rows: int) -> Effect:
        try:
            async with asyncio.timeout_at(self._terms.deadline) as scope:
                self.scope = self.running.scope = scope
                return await self._place_and_run(max_rows)
        except TimeoutError:
            return self.running.finish or self.request.on_event(DeadlinePassed())
        except Refusal as exc:
            return self._refused(exc)
        finally:
            self.running.scope = None

    async def _place_and_run(self, max_rows: int) -> Effect:
        try:
            placement = await self._place()
        except Refusal as exc:
            if exc.code is not codes.limits.NO_TARGET or self._is_write:
                raise
            return self._unreachable(exc)
        except CONNECTION_ERRORS:
            return self.request.on_event(Lost())
        effect = await self._run_and_give_back(placement, max_rows)
        if isinstance(effect, Confirm):
            effect = await self._confirm_answer(placement)
        return effect

    @property
    def _is_write(self) -> bool:
        return self.kind is RequestKind.WRITE

    async def _place(self) -> Placement:
        try:
            return await self._placer.place(self._is_write, self._terms, self._exclude)
        except Refusal as exc:
            if exc.code not in _NOWHERE or not self._exclude or self._choosy:
                raise
        # A connection was lost, which says little about its target.
        self._exclude = frozenset()
        return await self._placer.place(self._is_write, self._terms, self._exclude)

    def _unreachable(self, exc: Refusal) -> Effect:
        """Go on with another target where the first one cannot be reached."""
        before, self._refusal = self._refusal, exc
        if before is not None:
            return self.request.on_event(Refused(exc.code, exc.retry_after_s))
        return self.request.on_event(Lost())

    async def _run_and_give_back(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        self.running.connection = connection
        answered = ok = False
        sent = self.request.attempts
        try:
            effect = await self._run(placement, max_rows)
            answered = ok = True
        except asyncpg.PostgresError as exc:
            answered = not placement.replaced
            self._error = exc
            effect = self.request.on_event(placement.failure(exc))
            ok = answered and isinstance(effect, Finish)
        except CONNECTION_ERRORS as exc:
            effect = self.request.on_event(placement.failure(exc))
        finally:
            self.running.connection = None
            if not answered:
                self._abandon(placement, sent)
            reusable = answered and not connection.in_transaction()
            self._placer.done(placement, ok, reusable)
        return effect

    def _abandon(self, placement: Placement, attempts_before: int) -> None:
        """Leave a connection whose answer nobody waits for any more."""
        self._placer.lost(placement)
        if self.request.attempts > attempts_before:
            run_aside(cancel_quietly(placement.connection))

    async def _run(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        try:
            return await self._exchange(placement, max_rows)
        except _STALE_STATEMENT:
            # The target's schema changed; nothing has run.
            if connection.in_transaction() or not connection.forget_statements():
                raise
        return await self._exchange(placement, max_rows)

    async def _prepare(self, placement: Placement) -> Prepared:
        prepared = await prepare(placement.connection, self._work)
        placement.check()
        self.request.on_event(Sent(placement.target, placement.primary))
        return prepared

    async def _patiently(
        self, placement: Placement, work: t.Awaitable[_Value]
    ) -> _Value:
        """Give a connection up that stays silent.

        The target is not blamed: a connection that is opened anew may work. Each
        attempt is more patient than the one before, for what is only slow.
        """
        parts = self._parts
        text = self._work.text if self._work is not None else ""
        begin = parts.timer.now()
        patience_s = parts.patience.seconds(text, self._silences)
        doubt = parts.timer.after(patience_s, lambda: self._give_up(placement))
        try:
            result = await work
        finally:
            doubt.cancel()
        parts.patience.answered(text, parts.timer.now() - begin)
        return result

    def _give_up(self, placement: Placement) -> None:
        self._silences += 1
        placement.connection.terminate()

    async def _confirm_answer(self, placement: Placement) -> Effect:
        try:
            await self._placer.confirm(placement, self._terms)
        except Refusal as exc:
            return self.request.on_event(ConfirmFailed(exc.code))
        return self.request.on_event(Confirmed())
