"""Serve the statements of one caller."""

import typing as t

import asyncpg
from pg_mimic.errors import PgError

from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy import _transaction_statements  # noqa: F401  (registers)
from rosemaryridge.proxy._attempt import BoundStatement
from rosemaryridge.proxy._autocommit import AutocommitRun
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._describe import describe
from rosemaryridge.proxy._describe import description_key
from rosemaryridge.proxy._keyed import KeyedWriteRun
from rosemaryridge.proxy._keyed import LookupRun
from rosemaryridge.proxy._local import LOCAL_STATEMENTS
from rosemaryridge.proxy._query import Query
from rosemaryridge.proxy._query import check_size
from rosemaryridge.proxy._query import queries_of
from rosemaryridge.proxy._runs import ReadRun
from rosemaryridge.proxy._runs import WriteRun
from rosemaryridge.proxy._setting_statements import initial_state
from rosemaryridge.proxy._target_selector import TargetSelector
from rosemaryridge.proxy._transaction import Transaction
from rosemaryridge.request import TOKEN
from rosemaryridge.request import RequestOptions
from rosemaryridge.request import ServicePolicy
from rosemaryridge.request import with_option
from rosemaryridge.sql import Statement
from rosemaryridge.sql import StatementClass
from rosemaryridge.telemetry import Log
from rosemaryridge.wire import Answer
from rosemaryridge.wire import CallerConnection
from rosemaryridge.wire import CallerPortal
from rosemaryridge.wire import CallerSession
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Description
from rosemaryridge.wire import plain_fields
from rosemaryridge.wire import target_fields

log = Log("request")

_FAILED_TRANSACTION = "25P02"
_SYNTAX_ERROR = "42601"
# The session counts refusals with code numbers 1xxx (caller) and 4xxx (request).
_COUNTED_CODE_CLASSES = (1, 4)
_TRANSACTION_ENDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_EMPTY = Statement("", StatementClass.EMPTY)


class ProxySession(CallerSession):
    """Serve the statements of one caller's connection, one at a time."""

    def __init__(self, ctx: ProxyContext, service: str, business: str, login: t.Any):
        self.ctx = ctx
        self.state = initial_state(service, business, login)
        self.selector = TargetSelector(ctx, self.state)
        self.selector.on_notice = self._forward_notice
        self.transaction: Transaction | None = None
        self.connection: CallerConnection | None = None
        self.stored_settings: dict[str, str] = {}
        self._autocommit: AutocommitRun | None = None

    async def init(self, connection: CallerConnection) -> None:
        """Set the connection that the session serves."""
        self.connection = connection

    async def close(self) -> None:
        """Abandon the transaction that the caller left open."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.abandon()

    @property
    def policy(self) -> ServicePolicy:
        """Return the current policy of the caller's service; raise Refusal."""
        return self.ctx.policy(self.state.service)

    # Parsing.

    def parse(self, text: str, param_oids: tuple[int, ...]) -> Query:
        """Return the only statement of a text; raise PgError if it has several."""
        queries = self._queries(text, param_oids)
        if len(queries) > 1:
            message = "cannot insert multiple commands into a prepared statement"
            raise PgError(_SYNTAX_ERROR, message)
        return queries[0] if queries else Query(_EMPTY, "", ())

    def split(self, text: str) -> t.Sequence[Query]:
        """Return the statements of a text."""
        return self._queries(text, ())

    def _queries(self, text: str, param_oids: tuple[int, ...]) -> list[Query]:
        check_size(text, self.ctx.cfg.callers.max_statement_bytes)
        return queries_of(self.ctx.statements, text, param_oids)

    # Options and descriptions.

    @property
    def options(self) -> RequestOptions:
        """Return the caller's options, including those of SET LOCAL."""
        transaction = self.transaction
        local_options = transaction.local_options if transaction is not None else None
        return local_options or self.state.options

    def effective_options(self, query: Query) -> EffectiveOptions:
        """Return the options of a statement that starts now; raise Refusal."""
        options = self.options
        for name, value in query.settings:
            options = with_option(options, name, value)
        policy = self.policy
        return EffectiveOptions.of(
            options,
            policy.rule(query.text),
            policy.service.default_deadline_s,
            self.ctx.timer.now(),
        )

    async def describe(self, query: Query) -> Description:
        """Return the types of a statement's parameters and columns."""
        self._check_not_failed(query.statement)
        local = LOCAL_STATEMENTS.get(query.statement.kind)
        if local is not None and not local.needs_target(self, query):
            return local.describe(self, query)
        return await describe(self, query)

    def is_read(self, query: Query) -> bool:
        """Return whether a statement is proven to be a read for this service."""
        return query.statement.is_read(self.policy.read_functions)

    # Execution.

    async def execute(
        self, portal: CallerPortal, max_rows: int, alone: bool, answer: Answer
    ) -> Completion:
        """Run a portal, or fetch its next rows."""
        query: Query = portal.statement.query
        self._check_not_failed(query.statement)
        local = LOCAL_STATEMENTS.get(query.statement.kind)
        if local is not None and not local.needs_target(self, query):
            return await local.run(self, query, answer)
        return await self.forward(portal, max_rows, alone, answer)

    def _check_not_failed(self, statement: Statement) -> None:
        transaction = self.transaction
        if (
            transaction is None
            or not transaction.failed
            or statement.kind in _TRANSACTION_ENDS
        ):
            return
        if statement.kind is StatementClass.SAVEPOINT and statement.name == "rollback":
            return
        message = (
            "current transaction is aborted, "
            "commands ignored until end of transaction block"
        )
        raise PgError(_FAILED_TRANSACTION, message)

    async def forward(
        self, portal: CallerPortal, max_rows: int, alone: bool, answer: Answer
    ) -> Completion:
        """Run a statement on a target."""
        query: Query = portal.statement.query
        options = self.effective_options(query)
        is_read = self.is_read(query)
        if self.transaction is None and self._needs_transaction(
            alone, is_read, max_rows
        ):
            self.transaction = Transaction(
                self.ctx, self.selector, self.state, "BEGIN", False, implicit=True
            )
        described = await self._description(portal, answer)
        stmt = BoundStatement(query.text, portal.params, described, answer)
        try:
            with log.action("statement", sql=query.text, service=self.state.service):
                if self.transaction is not None:
                    return await self.transaction.run(portal, stmt, max_rows, options)
                return await self._run_autocommit(stmt, max_rows, options, is_read)
        except asyncpg.FeatureNotSupportedError:
            self.ctx.descriptions.invalidate(description_key(self, query))
            raise

    def _needs_transaction(self, alone: bool, is_read: bool, max_rows: int) -> bool:
        return not alone and (not is_read or max_rows > 0)

    async def _description(self, portal: CallerPortal, answer: Answer):
        formats = portal.result_formats
        if len(formats) > 1:
            return await portal.statement.describe_fully()
        return portal.statement.description

    async def _run_autocommit(
        self,
        stmt: BoundStatement,
        max_rows: int,
        options: EffectiveOptions,
        is_read: bool,
    ) -> Completion:
        run_class = ReadRun
        if not is_read:
            run_class = KeyedWriteRun if options.request_key else WriteRun
        run = run_class(self.ctx, self.selector, self.state, options, stmt)
        return await self._run_cancellable(run, max_rows)

    async def _run_cancellable(self, run: AutocommitRun, max_rows: int) -> Completion:
        self._autocommit = run
        try:
            return await run.run(max_rows)
        finally:
            self._autocommit = None

    async def look_up_outcome(self, query: Query) -> Outcome:
        """Return the outcome of the last write, or of the request key in the options.

        An outcome that the session does not hold is looked up on the primary.
        """
        state, options = self.state, self.effective_options(query)
        is_known = state.last_outcome is not Outcome.UNKNOWN
        if not options.request_key or (
            is_known and state.last_key == options.request_key
        ):
            return state.last_outcome
        run = LookupRun(self.ctx, self.selector, state, options, None)
        await self._run_cancellable(run, 0)
        state.record_outcome(run.outcome, options.request_key)
        return run.outcome

    async def sync(self, failed: bool) -> None:
        """End the implicit transaction, if one is open."""
        transaction = self.transaction
        if transaction is None or not transaction.implicit:
            return
        self.transaction = None
        if failed or transaction.failed:
            await transaction.rollback()
            return
        await transaction.commit(
            "COMMIT", self.effective_options(Query(_EMPTY, "", ()))
        )

    def status(self) -> bytes:
        """Return the transaction status: I, T or E."""
        transaction = self.transaction
        if transaction is None or transaction.implicit:
            return b"I"
        return b"E" if transaction.failed else b"T"

    def fail(self) -> None:
        """Mark the open transaction, if any, as failed after a statement failed."""
        if self.transaction is not None:
            self.transaction.failed = True

    def request_cancel(self) -> None:
        """Cancel the statement that is running, if any."""
        transaction = self.transaction
        running = transaction.running if transaction is not None else None
        if running is None and self._autocommit is not None:
            running = self._autocommit.running
        if running is not None:
            running.cancel()

    # Notices, reported parameters and refusals.

    def notice(self, severity: str, sqlstate: str, message: str) -> None:
        """Send the caller a notice."""
        self.connection.send_notice(plain_fields(sqlstate, message, severity))

    def parameters(self) -> t.Mapping[str, str]:
        """Return the token as a parameter if it changed.

        The token is sent with the answer that it covers, so that the caller cannot
        have the answer without the token.
        """
        token = self.state.unreported_token()
        return {TOKEN: token} if token else {}

    def _forward_notice(self, notice: t.Any) -> None:
        self.connection.send_notice(target_fields(notice))

    def refused(self, refusal: Refusal) -> None:
        """Count a refusal, unless the component that raised it has counted it."""
        if refusal.code.number // 1000 in _COUNTED_CODE_CLASSES:
            self.ctx.metrics.refuse(refusal.code, self.state.service)
