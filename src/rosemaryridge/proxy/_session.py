"""Serve one caller's statements."""

import typing as t

import asyncpg
from pg_mimic.errors import PgError

from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy import _transaction_statements  # noqa: F401  (registers)
from rosemaryridge.proxy._attempt import Work
from rosemaryridge.proxy._autocommit import Autocommit
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._describe import describe
from rosemaryridge.proxy._describe import description_key
from rosemaryridge.proxy._keyed import KeyedWriteRun
from rosemaryridge.proxy._keyed import LookupRun
from rosemaryridge.proxy._local import LOCAL
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.proxy._placing import Placer
from rosemaryridge.proxy._query import Query
from rosemaryridge.proxy._query import check_size
from rosemaryridge.proxy._query import queries_of
from rosemaryridge.proxy._runs import ReadRun
from rosemaryridge.proxy._runs import WriteRun
from rosemaryridge.proxy._setting_statements import initial_state
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
# Thousands of the codes of callers and requests.
_COUNTED_HERE = (1, 4)
_ENDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_EMPTY = Statement("", StatementClass.EMPTY)


class ProxySession(CallerSession):
    """Serve the statements of one caller's connection, one at a time."""

    def __init__(self, parts: Parts, service: str, business: str, login: t.Any):
        self.parts = parts
        self.state = initial_state(service, business, login)
        self.placer = Placer(parts, self.state)
        self.placer.on_notice = self._pass_notice
        self.transaction: Transaction | None = None
        self.connection: CallerConnection | None = None
        self.remembered: dict[str, str] = {}
        self._autocommit: Autocommit | None = None

    async def init(self, connection: CallerConnection) -> None:
        """Take in the connection that is served."""
        self.connection = connection

    async def close(self) -> None:
        """Give up what the caller left open."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.abandon()

    @property
    def policy(self) -> ServicePolicy:
        """Return the service's policy in force; raise Refusal."""
        return self.parts.policy(self.state.service)

    # What a text holds.

    def parse(self, text: str, param_oids: tuple[int, ...]) -> Query:
        """Return the only statement of a text."""
        queries = self._queries(text, param_oids)
        if len(queries) > 1:
            message = "cannot insert multiple commands into a prepared statement"
            raise PgError(_SYNTAX_ERROR, message)
        return queries[0] if queries else Query(_EMPTY, "", ())

    def split(self, text: str) -> t.Sequence[Query]:
        """Return the statements of a text."""
        return self._queries(text, ())

    def _queries(self, text: str, param_oids: tuple[int, ...]) -> list[Query]:
        check_size(text, self.parts.cfg.callers.max_statement_bytes)
        return queries_of(self.parts.statements, text, param_oids)

    # What a statement needs.

    @property
    def options(self) -> RequestOptions:
        """Return the caller's settings in force, those of SET LOCAL included."""
        transaction = self.transaction
        local = transaction.options if transaction is not None else None
        return local or self.state.options

    def terms(self, query: Query) -> Terms:
        """Return the terms that bind a statement which starts now."""
        options = self.options
        for name, value in query.settings:
            options = with_option(options, name, value)
        policy = self.policy
        return Terms.of(
            options,
            policy.rule(query.text),
            policy.service.default_deadline_s,
            self.parts.timer.now(),
        )

    async def describe(self, query: Query) -> Description:
        """Return the types of a statement's parameters and columns."""
        self._check_not_failed(query.statement)
        local = LOCAL.get(query.statement.kind)
        if local is not None and not local.forwarded(self, query):
            return local.describe(self, query)
        return await describe(self, query)

    def is_read(self, query: Query) -> bool:
        """Tell whether a statement is proven a read for this service."""
        return query.statement.is_read(self.policy.read_functions)

    # What runs.

    async def execute(
        self, portal: CallerPortal, max_rows: int, alone: bool, answer: Answer
    ) -> Completion:
        """Run a portal, or go on reading it."""
        query: Query = portal.statement.query
        self._check_not_failed(query.statement)
        local = LOCAL.get(query.statement.kind)
        if local is not None and not local.forwarded(self, query):
            return await local.run(self, query, answer)
        return await self.forward(portal, max_rows, alone, answer)

    def _check_not_failed(self, statement: Statement) -> None:
        transaction = self.transaction
        if transaction is None or not transaction.failed or statement.kind in _ENDS:
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
        terms = self.terms(query)
        read = self.is_read(query)
        if self.transaction is None and self._needs_transaction(alone, read, max_rows):
            self.transaction = Transaction(
                self.parts, self.placer, self.state, "BEGIN", False, implicit=True
            )
        described = await self._description(portal, answer)
        work = Work(query.text, portal.params, described, answer)
        try:
            with log.action("statement", sql=query.text, service=self.state.service):
                if self.transaction is not None:
                    return await self.transaction.run(portal, work, max_rows, terms)
                return await self._run_alone(work, max_rows, terms, read)
        except asyncpg.FeatureNotSupportedError:
            self.parts.descriptions.forget(description_key(self, query))
            raise

    def _needs_transaction(self, alone: bool, read: bool, max_rows: int) -> bool:
        return not alone and (not read or max_rows > 0)

    async def _description(self, portal: CallerPortal, answer: Answer):
        formats = portal.result_formats
        if len(formats) > 1:
            return await portal.statement.describe_fully()
        return portal.statement.description

    async def _run_alone(
        self, work: Work, max_rows: int, terms: Terms, read: bool
    ) -> Completion:
        kind = ReadRun
        if not read:
            kind = KeyedWriteRun if terms.request_key else WriteRun
        run = kind(self.parts, self.placer, self.state, terms, work)
        return await self._run_one(run, max_rows)

    async def _run_one(self, run: Autocommit, max_rows: int) -> Completion:
        self._autocommit = run
        try:
            return await run.run(max_rows)
        finally:
            self._autocommit = None

    async def look_up(self, query: Query) -> Outcome:
        """Return the last write's outcome, asking the target for an unknown one."""
        state, terms = self.state, self.terms(query)
        known = state.last_outcome is not Outcome.UNKNOWN
        if not terms.request_key or (known and state.last_key == terms.request_key):
            return state.last_outcome
        run = LookupRun(self.parts, self.placer, state, terms, None)
        await self._run_one(run, 0)
        state.ended(run.found, terms.request_key)
        return run.found

    async def sync(self, failed: bool) -> None:
        """End the implicit transaction, if one is open."""
        transaction = self.transaction
        if transaction is None or not transaction.implicit:
            return
        self.transaction = None
        if failed or transaction.failed:
            await transaction.rollback()
            return
        await transaction.commit("COMMIT", self.terms(Query(_EMPTY, "", ())))

    def status(self) -> bytes:
        """Return the transaction status: I, T or E."""
        transaction = self.transaction
        if transaction is None or transaction.implicit:
            return b"I"
        return b"E" if transaction.failed else b"T"

    def fail(self) -> None:
        """Note that a statement failed; an open transaction fails with it."""
        if self.transaction is not None:
            self.transaction.failed = True

    def request_cancel(self) -> None:
        """Cancel the statement that runs now, if one does."""
        transaction = self.transaction
        running = transaction.running if transaction is not None else None
        if running is None and self._autocommit is not None:
            running = self._autocommit.running
        if running is not None:
            running.cancel()

    # What the caller is told beside the answers.

    def notice(self, severity: str, sqlstate: str, message: str) -> None:
        """Send the caller a notice."""
        self.connection.send_notice(plain_fields(sqlstate, message, severity))

    def parameters(self) -> t.Mapping[str, str]:
        """Return the token with the answer that it covers, so that none is lost."""
        token = self.state.unreported_token()
        return {TOKEN: token} if token else {}

    def _pass_notice(self, notice: t.Any) -> None:
        self.connection.send_notice(target_fields(notice))

    def refused(self, refusal: Refusal) -> None:
        """Count a refusal, unless the part that made it has done so."""
        if refusal.code.number // 1000 in _COUNTED_HERE:
            self.parts.metrics.refuse(refusal.code, self.state.service)
