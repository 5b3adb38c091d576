"""Handle one caller's protocol messages as PostgreSQL does."""

import typing as t

from pg_mimic import PgError
from pg_mimic import messages
from pg_mimic.connection import Connection
from pg_mimic.connection import PortalEntry
from pg_mimic.connection import _field_specs
from pg_mimic.results import encode_row

from rosemaryridge_testbed.target._sql import parse_control
from rosemaryridge_testbed.target._sql import split_statements


class TargetConnection(Connection):
    """Send PostgreSQL's command tags and reject commands in aborted transactions."""

    async def _execute_one_simple_statement(self, sql: str) -> None:
        self._require_not_aborted(sql)
        statement = await self.session.prepare(sql, [])
        columns = await statement.describe()
        entry = PortalEntry(statement.bind([]), columns, sql)
        if columns is not None:
            self.stream.write(messages.make_row_description(_field_specs(columns)))
        await self._send_result(entry, 0)

    async def _handle_execute(self, parsed: t.Any) -> None:
        entry = self._get_portal(parsed.portal_name)
        self._require_not_aborted(entry.sql)
        await self._send_result(entry, parsed.max_rows)

    def _require_not_aborted(self, sql: str) -> None:
        if self.tx_status != b"E":
            return
        control = parse_control(sql)
        if control is None or control.tag not in ("COMMIT", "ROLLBACK"):
            raise PgError("25P02", "current transaction is aborted, commands ignored")

    async def _send_result(self, entry: t.Any, max_rows: int) -> None:
        rows, suspended = await entry.portal.execute(max_rows)
        if entry.columns is not None:
            for row in rows:
                self.stream.write(_data_row(row, entry))
        if suspended:
            self.stream.write(messages.make_portal_suspended())
            return
        tag = getattr(entry.portal, "tag", lambda: f"SELECT {len(rows)}")()
        self.stream.write(messages.make_command_complete(tag))

    async def _handle_simple_query(self, sql: str) -> None:
        statements = split_statements(sql)
        if not statements:
            self.stream.write(messages.make_empty_query_response())
        batch = len(statements) > 1 and self.tx_status == b"I"
        if batch and not any(parse_control(text) for text in statements):
            await self._run_batch(statements)
            return
        for text in statements:
            await self._execute_one_simple_statement(text)

    async def _run_batch(self, statements: list[str]) -> None:
        tx = self.session.transaction
        tx.begin()
        try:
            for text in statements:
                await self._execute_one_simple_statement(text)
            tx.commit()
        finally:
            tx.rollback()


def _data_row(row: tuple, entry: PortalEntry) -> bytes:
    try:
        values = encode_row(row, entry.columns, entry.result_format_codes)
    except ValueError as exc:
        raise PgError("0A000", str(exc)) from exc
    return messages.make_data_row(values)
