"""Prepare a statement on a target connection and read its rows."""

import dataclasses

import asyncpg

from rosemaryridge.wire import Answer
from rosemaryridge.wire import Column
from rosemaryridge.wire import Description
from rosemaryridge.wire import FetchedRows
from rosemaryridge.wire import Parameters
from rosemaryridge.wire import PreparedStatement
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import formats_of

CHUNK_ROWS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class BoundStatement:
    """Hold a statement with its parameters and where its answer goes.

    `described` is the description that the caller received before, if any.
    """

    text: str
    params: Parameters
    described: Description | None
    answer: Answer


async def prepare(
    connection: TargetConnection, stmt: BoundStatement
) -> PreparedStatement:
    """Prepare a statement with the result formats that the caller wants.

    Raise asyncpg.FeatureNotSupportedError if the column types differ from those that
    were described to the caller.
    """
    columns: tuple[Column, ...] = ()
    if stmt.described is not None:
        columns = stmt.described.columns
    formats = formats_of(columns, stmt.answer.formats(len(columns) or 1))
    prepared = await connection.prepare(stmt.text, formats)
    if stmt.described is not None and _changed(prepared.description, stmt.described):
        text = "cached plan must not change result type"
        raise asyncpg.FeatureNotSupportedError(text)
    return prepared


def _changed(now: Description, before: Description) -> bool:
    return [column.oid for column in now.columns] != [
        column.oid for column in before.columns
    ]


class RowStream:
    """Read an answer in chunks from a portal of an open transaction.

    A named portal survives other statements on the connection; the unnamed portal is
    cheaper.
    """

    def __init__(
        self,
        connection: TargetConnection,
        prepared: PreparedStatement,
        params: Parameters,
        named: bool = False,
    ):
        self.prepared = prepared
        self._connection = connection
        self._params = params
        self._portal = connection.new_portal() if named else ""
        self._started = False

    async def next(self, limit: int) -> FetchedRows:
        """Return up to `limit` rows; the last chunk carries the command tag."""
        if self._started:
            return await self._connection.fetch(self.prepared, self._portal, limit)
        self._started = True
        return await self._connection.execute(
            self.prepared, self._params, limit, self._portal
        )

    def discard(self) -> None:
        """Do nothing; the target closes the portal when its transaction ends."""


def total_tag(tag: str, rows: int) -> str:
    """Return a SELECT tag with the row count of all chunks; other tags unchanged."""
    return f"SELECT {rows}" if tag.startswith("SELECT ") else tag
