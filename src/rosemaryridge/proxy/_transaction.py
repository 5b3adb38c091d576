"""Run a caller's transaction on one connection that is its own."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import CHUNK_ROWS
from rosemaryridge.proxy._attempt import RowStream
from rosemaryridge.proxy._attempt import Work
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._attempt import total_tag
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._commit import Commit
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._keyed import begin_with_record
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._placing import Placer
from rosemaryridge.proxy._records import KeyedRequest
from rosemaryridge.proxy._running import Running
from rosemaryridge.proxy._running import cancel_quietly
from rosemaryridge.proxy._running import run_aside
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Failed
from rosemaryridge.request import Lost
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
# Stands for the statements of a transaction, which are not known in advance.
_TRANSACTION = "transaction"
_Value = t.TypeVar("_Value")


class Transaction:
    """Pin a connection from the first statement to COMMIT or ROLLBACK.

    It opens on a target only with its first statement. `implicit` marks the one
    that PostgreSQL opens around a batch of statements.
    """

    def __init__(
        self,
        parts: Parts,
        placer: Placer,
        state: CallerState,
        begin: str,
        read_only: bool,
        implicit: bool = False,
    ):
        self.begin = begin
        self.read_only = read_only
        self.implicit = implicit
        self.failed = False
        self.key = ""
        self.options: RequestOptions | None = None
        self.settings: dict[str, str | None] = {}
        self.running: Running | None = None
        self._parts = parts
        self._placer = placer
        self._state = state
        self._preamble: list[str] = []
        self._placement: Placement | None = None
        self._lost = False

    @property
    def is_open(self) -> bool:
        """Tell whether it runs on a target."""
        return self._placement is not None

    def set_mode(self, text: str, read_only: bool) -> None:
        """Take in SET TRANSACTION before the first statement."""
        self._preamble.append(text)
        self.read_only = self.read_only or read_only

    async def describe(self, text: str, terms: Terms) -> Description:
        """Return a statement's types, from the transaction's own connection."""
        formats = formats_of((), ())
        prepared = await self._guard(
            lambda: self._placement.connection.prepare(text, formats), terms
        )
        return prepared.description

    async def run(
        self, portal: CallerPortal, work: Work, max_rows: int, terms: Terms
    ) -> Completion:
        """Run a statement, or go on with one that was read in part."""
        return await self._guard(
            lambda: self._run(portal, work, max_rows, terms), terms
        )

    async def command(self, text: str, terms: Terms) -> str:
        """Run a statement without rows, such as SAVEPOINT; return its tag."""
        return await self._guard(
            lambda: self._placement.connection.command(text), terms
        )

    async def _run(
        self, portal: CallerPortal, work: Work, max_rows: int, terms: Terms
    ) -> Completion:
        rows = portal.source or await self._start(portal, work, max_rows)
        limit = max_rows or (CHUNK_ROWS if rows.prepared.description.columns else 0)
        fetched = await rows.next(limit)
        await self._confirm_read_only(terms)
        total = len(fetched.rows)
        while fetched.tag is None and not max_rows:
            await work.answer.rows(fetched.rows)
            fetched = await rows.next(limit)
            total += len(fetched.rows)
        await work.answer.rows(fetched.rows)
        if fetched.tag is None:
            return Completion(suspended=True)
        return Completion(total_tag(fetched.tag, total))

    async def _start(
        self, portal: CallerPortal, work: Work, max_rows: int
    ) -> RowStream:
        connection = self._placement.connection
        prepared = await prepare(connection, work)
        work.answer.columns(prepared.description.columns)
        portal.source = RowStream(connection, prepared, work.params, max_rows > 0)
        return portal.source

    async def _confirm_read_only(self, terms: Terms) -> None:
        """Keep answers of a replaced primary from a read-only transaction."""
        if self.read_only and self._placement.primary:
            await self._placer.confirm(self._placement, terms)

    async def _open(self, terms: Terms) -> None:
        if self._placement is not None:
            return
        if self._lost:
            raise Refusal(codes.request.TRANSACTION_LOST)
        placement = await self._placer.place(not self.read_only, terms)
        self._placement = placement
        await self._begin(placement.connection, terms)
        for text in self._preamble:
            await placement.connection.command(text)

    async def _begin(self, connection: TargetConnection, terms: Terms) -> None:
        if not terms.request_key or self.read_only:
            await connection.command(self.begin)
            return
        keyed = KeyedRequest(self._state.business, terms.request_key, _TRANSACTION)
        record = await begin_with_record(connection, self.begin, keyed)
        self.key = terms.request_key
        if record is not None:
            keyed.check(record)
            raise Refusal(codes.request.KEY_RUN_WITHOUT_ANSWER)

    async def _guard(
        self, step: t.Callable[[], t.Awaitable[_Value]], terms: Terms
    ) -> _Value:
        """Run one step; an error that ends the transaction gives the pin back."""
        request = Request(RequestKind.IN_TRANSACTION)
        self.running = Running(request)
        try:
            async with asyncio.timeout_at(terms.deadline) as scope:
                self.running.scope = scope
                return await self._step(step, terms, request)
        except TimeoutError:
            self._give_up()
            finish = self.running.finish or request.on_event(DeadlinePassed())
            raise Refusal(finish.code) from None
        finally:
            self.running = None

    async def _step(self, step, terms: Terms, request: Request):
        try:
            await self._open(terms)
            self._note_sent(request)
            return await step()
        except asyncpg.PostgresError as exc:
            effect = request.on_event(Failed(exc.sqlstate or ""))
            if effect.code is None:
                raise
            self._give_up()
            raise Refusal(effect.code) from exc
        except CONNECTION_ERRORS as exc:
            self._give_up()
            raise Refusal(request.on_event(Lost()).code) from exc

    def _note_sent(self, request: Request) -> None:
        placement = self._placement
        self.running.connection = placement.connection
        request.on_event(Sent(placement.target, placement.primary))

    def _give_up(self) -> None:
        """Close the connection; the target takes back what was not committed."""
        self.failed = self._lost = True
        self._state.last_outcome = Outcome.NOT_RUN
        placement, self._placement = self._placement, None
        if placement is not None:
            run_aside(cancel_quietly(placement.connection))
            self._placer.done(placement, ok=False, reusable=False)

    async def rollback(self) -> None:
        """End the transaction without its changes."""
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
            self._placer.done(placement, ok=reusable, reusable=reusable)

    def abandon(self) -> None:
        """Drop the transaction of a caller that has gone."""
        if self._placement is not None:
            self._give_up()

    async def commit(self, text: str, terms: Terms) -> str:
        """Commit and wait until a majority holds it; return the tag."""
        if self._lost:
            raise Refusal(codes.request.TRANSACTION_LOST)
        if self._placement is None:
            return "COMMIT"
        placement, self._placement = self._placement, None
        commit = Commit(self._placer, placement, terms)
        self.running = commit.running
        try:
            tag = await commit.run(text)
        finally:
            self.running = None
            self._state.ended(commit.outcome, self.key)
        return tag
