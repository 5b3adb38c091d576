"""Handle the statements that begin and end transactions."""

import typing as t

from pg_mimic.errors import PgError

from rosemaryridge.proxy._transaction import Transaction
from rosemaryridge.sql import StatementClass
from rosemaryridge.wire import Completion

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._session import ProxySession

from rosemaryridge.proxy._local import LocalStatement
from rosemaryridge.proxy._local import handles

_ACTIVE_TRANSACTION = "25001"
_NO_TRANSACTION = "25P01"


@handles(StatementClass.BEGIN)
class _Begin(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        statement = query.statement
        current = session.transaction
        if current is not None and not current.implicit:
            message = "there is already a transaction in progress"
            session.notice("WARNING", _ACTIVE_TRANSACTION, message)
        elif current is not None:
            current.implicit = False
        else:
            _begin(session, statement.text, statement.read_only)
        return Completion("BEGIN")


def _begin(session: "ProxySession", text: str, read_only: bool) -> None:
    session.transaction = Transaction(
        session.ctx, session.selector, session.state, text, read_only
    )


@handles(StatementClass.COMMIT)
class _Commit(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        transaction = session.transaction
        if transaction is None:
            message = "there is no transaction in progress"
            session.notice("WARNING", _NO_TRANSACTION, message)
            return Completion("COMMIT")
        session.transaction = None
        tag = await self._commit_or_roll_back(session, transaction, query)
        if query.statement.chain:
            _begin(session, transaction.begin_sql, transaction.read_only)
        return Completion(tag)

    async def _commit_or_roll_back(self, session, transaction, query) -> str:
        if transaction.failed:
            await transaction.rollback()
            return "ROLLBACK"
        return await transaction.commit("COMMIT", session.effective_options(query))


@handles(StatementClass.ROLLBACK)
class _Rollback(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        transaction, session.transaction = session.transaction, None
        if transaction is None:
            message = "there is no transaction in progress"
            session.notice("WARNING", _NO_TRANSACTION, message)
            return Completion("ROLLBACK")
        await transaction.rollback()
        if query.statement.chain:
            _begin(session, transaction.begin_sql, transaction.read_only)
        return Completion("ROLLBACK")


@handles(StatementClass.SAVEPOINT)
class _Savepoint(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        transaction = session.transaction
        if transaction is None:
            message = "savepoints can only be used in transaction blocks"
            raise PgError(_NO_TRANSACTION, message)
        tag = await transaction.command(query.text, session.effective_options(query))
        if query.statement.name == "rollback":
            transaction.failed = False
            transaction.record_rollback_to(query.statement.value)
        elif query.statement.name == "savepoint":
            transaction.record_savepoint(query.statement.value)
        return Completion(tag)


@handles(StatementClass.CURSOR)
class _Cursor(LocalStatement):
    def needs_target(self, session, query) -> bool:
        return session.transaction is not None

    async def run(self, session, query, answer) -> Completion:
        if query.text.lower().split()[:2] == ["close", "all"]:
            return Completion("CLOSE CURSOR ALL")
        message = "SQL cursors can only be used in transaction blocks"
        raise PgError(_NO_TRANSACTION, message)
