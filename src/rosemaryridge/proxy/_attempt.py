"""Run one statement on one connection to a target."""

import dataclasses

import asyncpg

from rosemaryridge.wire import Answer
from rosemaryridge.wire import Column
from rosemaryridge.wire import Description
from rosemaryridge.wire import Fetched
from rosemaryridge.wire import Parameters
from rosemaryridge.wire import Prepared
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import formats_of

CHUNK_ROWS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Hold a statement that is ready to be sent, and what its caller was told."""

    text: str
    params: Parameters
    described: Description | None
    answer: Answer


async def prepare(connection: TargetConnection, work: Work) -> Prepared:
    """Prepare a statement so that values come in the formats that are wanted."""
    columns: tuple[Column, ...] = ()
    if work.described is not None:
        columns = work.described.columns
    formats = formats_of(columns, work.answer.formats(len(columns) or 1))
    prepared = await connection.prepare(work.text, formats)
    if work.described is not None and _changed(prepared.description, work.described):
        text = "cached plan must not change result type"
        raise asyncpg.FeatureNotSupportedError(text)
    return prepared


def _changed(now: Description, before: Description) -> bool:
    return [column.oid for column in now.columns] != [
        column.oid for column in before.columns
    ]


class RowStream:
    """Read an answer in chunks from a portal of an open transaction.

    A portal with a name outlives other statements; the unnamed one is cheaper.
    """

    def __init__(
        self,
        connection: TargetConnection,
        prepared: Prepared,
        params: Parameters,
        named: bool = False,
    ):
        self.prepared = prepared
        self._connection = connection
        self._params = params
        self._portal = connection.new_portal() if named else ""
        self._started = False

    async def next(self, limit: int) -> Fetched:
        """Return up to `limit` rows; the tag comes with the last of them."""
        if self._started:
            return await self._connection.fetch(self.prepared, self._portal, limit)
        self._started = True
        return await self._connection.execute(
            self.prepared, self._params, limit, self._portal
        )

    def discard(self) -> None:
        """Leave the portal to the end of its transaction."""


def total_tag(tag: str, rows: int) -> str:
    """Return a query's tag with the rows of every chunk."""
    return f"SELECT {rows}" if tag.startswith("SELECT ") else tag
