"""Run a caller's transaction on a connection reserved for it."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import CHUNK_ROWS
from rosemaryridge.proxy._attempt import BoundStatement
from rosemaryridge.proxy._attempt import RowStream
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._attempt import total_tag
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._commit import Commit
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._keyed import begin_with_record
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._records import KeyedRequest
from rosemaryridge.proxy._running import RunningRequest
from rosemaryridge.proxy._running import cancel_best_effort
from rosemaryridge.proxy._running import run_in_background
from rosemaryridge.proxy._target_selector import TargetSelector
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Failed
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import RequestOptions
from rosemaryridge.request import Sent
from rosemaryridge.wire import CallerPortal
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Description
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import formats_of

_ROLLBACK_TIMEOUT_S = 2.0
# Fingerprint of a keyed transaction: its statements are not known when it begins.
_TRANSACTION_FINGERPRINT = "transaction"
_Value = t.TypeVar("_Value")


class Transaction:
    """Pin a connection from the first statement to COMMIT or ROLLBACK.

    BEGIN reaches a target only with the first statement. `implicit` marks a
    transaction that PostgreSQL opens around a batch of statements.
    """

    def __init__(
        self,
        ctx: ProxyContext,
        selector: TargetSelector,
        state: CallerState,
        begin_sql: str,
        read_only: bool,
        implicit: bool = False,
    ):
        self.begin_sql = begin_sql
        self.read_only = read_only
        self.implicit = implicit
        self.failed = False
        self.key = ""
        self.local_options: RequestOptions | None = None
        self.pending_variables: dict[str, str | None] = {}
        # The pending variables at each savepoint.
        self._savepoints: list[tuple[str, dict[str, str | None]]] = []
        self.running: RunningRequest | None = None
        self._ctx = ctx
        self._selector = selector
        self._state = state
        self._preamble: list[str] = []
        self._placement: Placement | None = None
        self._is_lost = False

    @property
    def is_open(self) -> bool:
        """Return whether the transaction has begun on a target."""
        return self._placement is not None

    def set_mode(self, text: str, read_only: bool) -> None:
        """Store a SET TRANSACTION to send after BEGIN."""
        self._preamble.append(text)
        self.read_only = self.read_only or read_only

    def record_savepoint(self, name: str) -> None:
        """Record a savepoint that the target has set."""
        self._savepoints.append((name, dict(self.pending_variables)))

    def record_rollback_to(self, name: str) -> None:
        """Undo what was set since a savepoint, as the target has done."""
        for savepoint, variables in reversed(self._savepoints):
            if savepoint == name:
                self.pending_variables = dict(variables)
                return

    async def describe(self, text: str, options: EffectiveOptions) -> Description:
        """Return a statement's types from the transaction's connection."""
        formats = formats_of((), ())
        prepared = await self._run_step(
            lambda: self._placement.connection.prepare(text, formats), options
        )
        return prepared.description

    async def run(
        self,
        portal: CallerPortal,
        stmt: BoundStatement,
        max_rows: int,
        options: EffectiveOptions,
    ) -> Completion:
        """Run a statement, or fetch the next rows of a suspended portal."""
        return await self._run_step(
            lambda: self._run(portal, stmt, max_rows, options), options
        )

    async def command(self, text: str, options: EffectiveOptions) -> str:
        """Run a statement without rows, such as SAVEPOINT; return its command tag."""
        return await self._run_step(
            lambda: self._placement.connection.command(text), options
        )

    async def _run(
        self,
        portal: CallerPortal,
        stmt: BoundStatement,
        max_rows: int,
        options: EffectiveOptions,
    ) -> Completion:
        rows = portal.source or await self._start(portal, stmt, max_rows)
        limit = max_rows or (CHUNK_ROWS if rows.prepared.description.columns else 0)
        fetched = await rows.next(limit)
        await self._confirm_read_only(options)
        total = len(fetched.rows)
        while fetched.tag is None and not max_rows:
            await stmt.answer.rows(fetched.rows)
            fetched = await rows.next(limit)
            total += len(fetched.rows)
        await stmt.answer.rows(fetched.rows)
        if fetched.tag is None:
            return Completion(suspended=True)
        return Completion(total_tag(fetched.tag, total))

    async def _start(
        self, portal: CallerPortal, stmt: BoundStatement, max_rows: int
    ) -> RowStream:
        connection = self._placement.connection
        prepared = await prepare(connection, stmt)
        stmt.answer.columns(prepared.description.columns)
        portal.source = RowStream(connection, prepared, stmt.params, max_rows > 0)
        return portal.source

    async def _confirm_read_only(self, options: EffectiveOptions) -> None:
        """Check that the primary of a read-only transaction was not replaced."""
        if self.read_only and self._placement.primary:
            await self._selector.confirm(self._placement, options)

    async def _open(self, options: EffectiveOptions) -> None:
        if self._placement is not None:
            return
        if self._is_lost:
            raise Refusal(codes.request.TRANSACTION_LOST)
        placement = await self._selector.acquire(not self.read_only, options)
        self._placement = placement
        await self._begin(placement.connection, options)
        for text in self._preamble:
            await placement.connection.command(text)

    async def _begin(
        self, connection: TargetConnection, options: EffectiveOptions
    ) -> None:
        if not options.request_key or self.read_only:
            await connection.command(self.begin_sql)
            return
        keyed = KeyedRequest(
            self._state.business, options.request_key, _TRANSACTION_FINGERPRINT
        )
        record = await begin_with_record(connection, self.begin_sql, keyed)
        self.key = options.request_key
        if record is not None:
            keyed.check(record)
            raise Refusal(codes.request.KEY_RUN_WITHOUT_ANSWER)

    async def _run_step(
        self, step: t.Callable[[], t.Awaitable[_Value]], options: EffectiveOptions
    ) -> _Value:
        """Run one step; close the connection on an error that ends the transaction."""
        request = Request(RequestKind.IN_TRANSACTION)
        self.running = RunningRequest(request)
        try:
            async with asyncio.timeout_at(options.deadline) as timeout:
                self.running.timeout = timeout
                return await self._open_and_run(step, options, request)
        except TimeoutError:
            self._lose_connection()
            finish = self.running.finish or request.on_event(DeadlinePassed())
            raise Refusal(finish.code) from None
        finally:
            self.running = None

    async def _open_and_run(self, step, options: EffectiveOptions, request: Request):
        try:
            await self._open(options)
            self._record_sent(request)
            return await step()
        except asyncpg.PostgresError as exc:
            effect = request.on_event(Failed(exc.sqlstate or ""))
            if effect.code is None:
                raise
            self._lose_connection()
            raise Refusal(effect.code) from exc
        except CONNECTION_ERRORS as exc:
            self._lose_connection()
            raise Refusal(request.on_event(ConnectionLost()).code) from exc

    def _record_sent(self, request: Request) -> None:
        placement = self._placement
        self.running.connection = placement.connection
        request.on_event(Sent(placement.target, placement.primary))

    def _lose_connection(self) -> None:
        """Close the connection; the target rolls back the open transaction."""
        self.failed = self._is_lost = True
        self._state.last_outcome = Outcome.NOT_RUN
        placement, self._placement = self._placement, None
        if placement is not None:
            run_in_background(cancel_best_effort(placement.connection))
            self._selector.release(placement, ok=False, reusable=False)

    async def rollback(self) -> None:
        """Roll the transaction back; failures close its connection."""
        placement, self._placement = self._placement, None
        self._state.last_outcome = Outcome.NOT_RUN
        if placement is None:
            return
        reusable = False
        try:
            async with asyncio.timeout(_ROLLBACK_TIMEOUT_S):
                await placement.connection.command("ROLLBACK")
            reusable = not placement.connection.in_transaction()
        except (asyncpg.PostgresError, *CONNECTION_ERRORS):
            pass
        finally:
            self._selector.release(placement, ok=reusable, reusable=reusable)

    def abandon(self) -> None:
        """Close the transaction of a caller that has disconnected."""
        if self._placement is not None:
            self._lose_connection()

    async def commit(self, text: str, options: EffectiveOptions) -> str:
        """Commit, wait until a majority holds the commit and return its command tag."""
        if self._is_lost:
            raise Refusal(codes.request.TRANSACTION_LOST)
        if self._placement is None:
            return "COMMIT"
        placement, self._placement = self._placement, None
        commit = Commit(self._selector, placement, options, self.pending_variables)
        self.running = commit.running
        try:
            tag = await commit.run(text)
        finally:
            self.running = None
            self._state.record_outcome(commit.outcome, self.key)
        if tag == "COMMIT":
            self._state.record_variables(self.pending_variables)
        return tag
