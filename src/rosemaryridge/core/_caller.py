"""Serve the statements of one caller sequentially."""

import asyncio
import typing as t

from rosemaryridge.core._config import ConfigHolder
from rosemaryridge.core._config import Route
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._reader import Reader
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import Session
from rosemaryridge.core._shutdown import Shutdown
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._statement import Verb
from rosemaryridge.core._transaction import Transaction
from rosemaryridge.core.businesses import Business

_Handler = t.Callable[["Caller", Execution], t.Awaitable[Answer]]
_HANDLERS: dict[Verb, _Handler] = {}
_STOPPING = "the proxy stops before the statement could end"
_STOPPED = "the proxy stopped before the target answered"
_TRANSACTION_ENDS = (Verb.COMMIT, Verb.ROLLBACK)


def _register_handler(*verbs: Verb) -> t.Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        for verb in verbs:
            _HANDLERS[verb] = handler
        return handler

    return register


class DataPath(t.Protocol):
    """Authorize, admit, run and record the statements of callers."""

    runner: Runner
    reader: Reader
    config: ConfigHolder
    # The plan of the shutdown, None before it.
    shutdown: Shutdown | None

    def route(self, database: bytes) -> tuple[Route, Group]:
        """Return a database's route and group; raise StatementError."""

    def find_business(self, database: bytes, key: bytes) -> Business:
        """Return the business that a caller belongs to; raise StatementError."""

    def authorize(self, session: Session) -> None:
        """Set the business that a session runs as; raise StatementError."""

    async def admit(self, session: Session, route: Route, statement: Statement) -> None:
        """Return once an operation fits in its quota; raise StatementError."""

    def record_statement(
        self, execution: Execution, answer: Answer, elapsed_s: float
    ) -> None:
        """Count a statement, and log it if it failed or was slow."""


class Caller:
    """Hold one caller's session and open transaction."""

    def __init__(self, proxy: DataPath, database: bytes, key: bytes):
        self._proxy = proxy
        self._session = Session(database, key)
        self._transaction: Transaction | None = None
        # The time limit of the statement that is being served.
        self._limit: asyncio.Timeout | None = None

    @property
    def state(self) -> TransactionState:
        """Return the transaction state as reported to the caller."""
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def serve(self, statement: Statement) -> Answer:
        """Return the answer to one statement."""
        started_at = asyncio.get_running_loop().time()
        execution = Execution(self._session, statement)
        try:
            answer = await self._serve_until_ended(execution)
        except StatementError as exc:
            detail = exc.detail
            if exc.retry_after_s is not None:
                detail = f"{detail}; retry after {int(exc.retry_after_s * 1000)} ms"
            answer = Answer(failure=exc.failure, detail=detail, state=self.state)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self._proxy.record_statement(execution, answer, elapsed_s)
        return answer

    @property
    def authorized(self) -> bool:
        """Return whether the caller's key may still be used."""
        try:
            self._proxy.find_business(self._session.database, self._session.key)
        except StatementError as exc:
            return exc.failure is not Failure.NOT_AUTHORIZED
        return True

    def end_statement(self) -> bool:
        """Answer the statement that is being served now; return whether there is one.

        The process ends: its caller learns what has become of the statement, and may
        go on at another proxy.
        """
        if self._limit is None or self._limit.expired():
            return False
        self._limit.reschedule(asyncio.get_running_loop().time())
        return True

    def malformed_answer(self, detail: str) -> Answer:
        """Return the answer to a message that cannot be parsed."""
        return Answer(failure=Failure.MALFORMED, detail=detail, state=self.state)

    def close(self) -> None:
        """Roll back the open transaction of a disconnected caller."""
        if self._transaction is not None:
            self._transaction.roll_back()
            self._transaction = None

    async def _serve_until_ended(self, execution: Execution) -> Answer:
        try:
            async with asyncio.timeout(None) as self._limit:
                return await self._serve(execution)
        except TimeoutError:
            if self._limit is None or not self._limit.expired():
                raise
            raise self._ended_error(execution) from None
        finally:
            self._limit = None

    def _ended_error(self, execution: Execution) -> StatementError:
        """Return what has become of a statement that the end of the process cut off."""
        if self._transaction is not None:
            self._transaction.abort()
            return StatementError(Failure.ABORTED, _STOPPED, 0.0)
        statement = execution.statement
        ends_transaction = statement.verb is Verb.COMMIT
        if not execution.sent:
            failure = Failure.ABORTED if ends_transaction else Failure.BUSY
            return StatementError(failure, _STOPPING, 0.0)
        if ends_transaction or not self._session.is_read(statement):
            return StatementError(Failure.UNKNOWN_OUTCOME, _STOPPED)
        return StatementError(Failure.BUSY, _STOPPED, 0.0)

    async def _serve(self, execution: Execution) -> Answer:
        verb = execution.statement.verb
        if self.state is TransactionState.FAILED and verb not in _TRANSACTION_ENDS:
            raise StatementError(
                Failure.MALFORMED, "the transaction has failed; send ROLLBACK or COMMIT"
            )
        return await _HANDLERS[verb](self, execution)

    def _start_operation(self) -> tuple[Route, Group]:
        """Authorize the first statement of an operation; raise StatementError."""
        route, group = self._proxy.route(self._session.database)
        self._proxy.authorize(self._session)
        return route, group

    async def _admit(self, route: Route, execution: Execution) -> None:
        """Return once the operation fits in the business' quota."""
        with execution.steps.measure("quota"):
            await self._proxy.admit(self._session, route, execution.statement)

    def _may_end_in_time(self, route: Route) -> bool:
        """Return whether a statement is answered before this process ends."""
        shutdown = self._proxy.shutdown
        now = asyncio.get_running_loop().time()
        return shutdown is None or shutdown.takes_statement(now, route.timeout_s)

    def _check_transaction(self, transaction: Transaction) -> None:
        """Abort a transaction that may not go on: its business, or the shutdown."""
        if not self._may_end_in_time(transaction.route):
            transaction.abort()
            raise StatementError(Failure.ABORTED, _STOPPING, 0.0)
        business = self._session.business
        try:
            self._proxy.authorize(self._session)
        except StatementError:
            transaction.abort()
            raise
        if self._session.business.name != business.name:
            transaction.abort()
            raise StatementError(
                Failure.ABORTED, "the key has moved to another business", 0.0
            )

    def _success_answer(self) -> Answer:
        return Answer(state=self.state)

    @_register_handler(Verb.BEGIN)
    async def _begin(self, execution: Execution) -> Answer:
        if self._transaction is not None:
            raise StatementError(Failure.MALFORMED, "BEGIN inside an open transaction")
        route, group = self._start_operation()
        shutdown = self._proxy.shutdown
        now = asyncio.get_running_loop().time()
        if shutdown is not None and not shutdown.takes_transaction(now):
            raise StatementError(Failure.BUSY, _STOPPING, 0.0)
        self._transaction = Transaction(
            self._proxy.runner,
            self._proxy.reader,
            execution,
            route,
            group,
            execution.statement.read_only,
            self._proxy.config.current.transaction_idle_s,
            self._admit(route, execution),
        )
        return self._success_answer()

    @_register_handler(Verb.COMMIT)
    async def _commit(self, execution: Execution) -> Answer:
        transaction = self._transaction
        if transaction is None:
            raise StatementError(
                Failure.MALFORMED, "COMMIT without an open transaction"
            )
        try:
            if not transaction.failed:
                self._check_transaction(transaction)
        finally:
            self._transaction = None
        return await transaction.commit(execution)

    @_register_handler(Verb.ROLLBACK)
    async def _roll_back(self, execution: Execution) -> Answer:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.roll_back()
        return self._success_answer()

    @_register_handler(Verb.READ, Verb.WRITE, Verb.EXECUTE)
    async def _run(self, execution: Execution) -> Answer:
        if self._transaction is not None:
            # Raises if the prepared statement is unknown.
            self._session.is_read(execution.statement)
            self._check_transaction(self._transaction)
            return await self._transaction.run(execution)
        route, group = self._start_operation()
        is_read = self._session.is_read(execution.statement)
        await self._admit(route, execution)
        if not self._may_end_in_time(route):
            raise StatementError(Failure.BUSY, _STOPPING, 0.0)
        if is_read:
            return await self._proxy.reader.read(execution, route, group)
        return await self._proxy.runner.write(execution, route, group)

    @_register_handler(Verb.SET)
    async def _set(self, execution: Execution) -> Answer:
        self._session.set_value(execution.statement)
        return self._success_answer()

    @_register_handler(Verb.PREPARE)
    async def _prepare(self, execution: Execution) -> Answer:
        self._session.prepare(execution.statement)
        return self._success_answer()

    @_register_handler(Verb.DEALLOCATE)
    async def _deallocate(self, execution: Execution) -> Answer:
        self._session.deallocate(execution.statement)
        return self._success_answer()
