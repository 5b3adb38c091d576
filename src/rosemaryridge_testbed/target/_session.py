"""Run a caller's statements on the emulated target."""

import asyncio
import typing as t

from pg_mimic import BaseSession
from pg_mimic import PgError
from pg_mimic import Portal
from pg_mimic import ResultColumn
from pg_mimic import Statement
from pg_mimic import types as oids
from pg_mimic.typeinfo import TypeInfoStatement
from pg_mimic.typeinfo import is_typeinfo_query

from rosemaryridge_testbed.target._commands import Commands
from rosemaryridge_testbed.target._commands import Result
from rosemaryridge_testbed.target._sql import Kind
from rosemaryridge_testbed.target._sql import ParsedStatement
from rosemaryridge_testbed.target._sql import parse
from rosemaryridge_testbed.target._sql import parse_control
from rosemaryridge_testbed.target._transaction import Transaction
from rosemaryridge_testbed.target._values import from_engine
from rosemaryridge_testbed.target._values import to_engine
from rosemaryridge_testbed.target._verbs import STATUS_COLUMNS

_MAX_CACHED_STATEMENTS = 2000
_PARSED_CACHE: dict[tuple[str, str], ParsedStatement] = {}


class TargetStatement(Statement):
    """Describe and bind one prepared statement."""

    def __init__(
        self, session: "TargetSession", parsed: ParsedStatement, declared: list
    ):
        self.session = session
        self.parsed = parsed
        self.sql = parsed.tag
        count = max(len(parsed.params), len(declared))
        inferred = [*parsed.params, *[oids.TEXT] * (count - len(parsed.params))]
        declared = [*declared, *[None] * (count - len(declared))]
        pairs = zip(declared, inferred, strict=True)
        self.param_oids = [oid or default for oid, default in pairs]

    async def describe(self) -> list[ResultColumn] | None:
        """Return the columns, or None if the statement returns no rows."""
        columns = self.parsed.columns
        return None if columns is None else list(columns)

    def bind(self, params: list[t.Any]) -> "TargetPortal":
        """Bind values in text form."""
        values = [
            to_engine(oid, value)
            for oid, value in zip(self.param_oids, params, strict=True)
        ]
        return TargetPortal(self.session, self.parsed, values)


class TargetPortal(Portal):
    """Run a bound statement once and return its rows in parts."""

    def __init__(self, session: "TargetSession", parsed: ParsedStatement, values: list):
        self._session = session
        self._parsed = parsed
        self._values = values
        self._result: Result | None = None
        self._sent = 0

    async def execute(self, max_rows: int) -> tuple[list[tuple], bool]:
        """Return the next rows and whether more may follow."""
        if self._result is None:
            self._result = await self._session.run(self._parsed, self._values)
        if self._result.rows is None:
            return [], False
        rows = self._result.fetch(max_rows)
        self._sent += len(rows)
        columns = self._parsed.columns or ()
        column_oids = [column.oid for column in columns]
        rows = [
            tuple(
                from_engine(oid, value)
                for oid, value in zip(column_oids, row, strict=True)
            )
            for row in rows
        ]
        return rows, max_rows > 0 and len(rows) == max_rows

    def tag(self) -> str:
        """Return the command tag with the row count."""
        if self._parsed.kind is Kind.READ:
            return f"SELECT {self._sent}"
        return self._result.tag if self._result else self._parsed.tag


class TargetSession(BaseSession):
    """Run one connection's statements."""

    def __init__(self, commands: Commands):
        self._commands = commands
        self.transaction: Transaction | None = None

    async def init(self, connection: t.Any) -> None:
        """Create the connection's transaction state."""
        self.transaction = Transaction(self._commands.context, connection)
        self._commands.context.transactions.add(self.transaction)

    async def close(self) -> None:
        """Roll back the open transaction and release its locks."""
        if self.transaction is not None:
            self._commands.context.transactions.discard(self.transaction)
            self.transaction.close()

    async def prepare(self, sql: str, param_oids: list[int | None]) -> Statement:
        """Parse and check a statement; raise PgError."""
        if is_typeinfo_query(sql):
            return TypeInfoStatement(sql)
        parsed = parse_control(sql)
        if parsed is None:
            parsed = self._parse(sql)
        elif parsed.kind is Kind.VERB:
            parsed = _with_columns(parsed, STATUS_COLUMNS)
        elif parsed.kind is Kind.SHOW:
            column = ResultColumn(parsed.args[0], oids.TEXT)
            parsed = _with_columns(parsed, (column,))
        return TargetStatement(self, parsed, param_oids)

    def _parse(self, sql: str) -> ParsedStatement:
        executor = self.transaction.executor()
        schema = executor.schema()
        key = (sql, str(schema))
        parsed = _PARSED_CACHE.get(key)
        if parsed is None:
            parsed = parse(sql, schema)
            if len(_PARSED_CACHE) >= _MAX_CACHED_STATEMENTS:
                _PARSED_CACHE.clear()
            _PARSED_CACHE[key] = parsed
        names = {f"p{i + 1}": None for i in range(len(parsed.params))}
        executor.run(f"EXPLAIN {parsed.text}", names).fetchall()
        return parsed

    async def run(self, parsed: ParsedStatement, values: list[t.Any]) -> Result:
        """Run a statement; roll back an implicit transaction on failure or cancellation."""
        try:
            return await self._commands.run(self.transaction, parsed, values)
        except (PgError, asyncio.CancelledError):
            self.transaction.abort_implicit()
            raise


def _with_columns(
    parsed: ParsedStatement, columns: tuple[ResultColumn, ...]
) -> ParsedStatement:
    return ParsedStatement(
        parsed.kind, parsed.tag, args=parsed.args, params=parsed.params, columns=columns
    )
