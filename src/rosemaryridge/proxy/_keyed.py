"""Run a write under a request key, and look a key up."""

import asyncpg

from rosemaryridge import codes
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._records import KeyedRequest
from rosemaryridge.proxy._records import Record
from rosemaryridge.proxy._records import StoredAnswer
from rosemaryridge.proxy._records import close_key
from rosemaryridge.proxy._records import create_table
from rosemaryridge.proxy._records import fingerprint
from rosemaryridge.proxy._records import open_record
from rosemaryridge.proxy._records import store_answer
from rosemaryridge.proxy._records import to_answer
from rosemaryridge.proxy._runs import WriteRun
from rosemaryridge.request import Answered
from rosemaryridge.request import Effect
from rosemaryridge.request import Sent
from rosemaryridge.wire import Column
from rosemaryridge.wire import Completion


async def begin_with_record(
    connection, begin: str, request: KeyedRequest, write=open_record
) -> Record | None:
    """Begin a transaction with a key's record, creating the table at first use."""
    await connection.command(begin)
    try:
        return await write(connection, request)
    except asyncpg.UndefinedTableError:
        await connection.command("ROLLBACK")
    await create_table(connection)
    await connection.command(begin)
    return await write(connection, request)


class KeyedWriteRun(WriteRun):
    """Run a write and its record in one transaction; a second try finds it.

    The record makes a repeat harmless, so that a lost COMMIT is tried again.
    """

    def __init__(self, *args):
        super().__init__(*args, repeatable=True)
        self._keyed = KeyedRequest(
            self._state.business,
            self._terms.request_key,
            fingerprint(self._work.text, self._work.params),
        )
        self._answer: StoredAnswer | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        record = await self._patiently(
            placement, begin_with_record(connection, "BEGIN", self._keyed)
        )
        if record is None:
            await self._run_recorded(placement)
        else:
            self._answer = self._keyed.check(record)
            metrics = self._parts.metrics
            metrics.refuse(codes.request.KEY_ALREADY_RUN, self._state.service)
        # Until COMMIT is sent nothing of it can last.
        self.request.on_event(Sent(placement.target, placement.primary))
        await connection.command("COMMIT")
        return self.request.on_event(Answered())

    async def _run_recorded(self, placement: Placement) -> None:
        connection = placement.connection
        prepared = await prepare(connection, self._work)
        fetched = await connection.execute(prepared, self._work.params)
        columns = prepared.description.columns
        formats = self._work.answer.formats(len(columns))
        self._answer = to_answer(fetched, columns, formats)
        await store_answer(connection, self._keyed, self._answer)

    async def _deliver(self) -> Completion:
        stored, answer = self._answer, self._work.answer
        answer.columns([Column(name, oid) for name, oid in stored.columns])
        formats = answer.formats(len(stored.columns))
        await answer.rows(stored.rows_in(formats))
        return Completion(stored.tag)


class LookupRun(WriteRun):
    """Find out whether a key's request ran; one that did not run never will."""

    def __init__(self, *args):
        super().__init__(*args, repeatable=True)
        self.found: Outcome | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        keyed = KeyedRequest(self._state.business, self._terms.request_key, "")
        record = await self._patiently(
            placement, begin_with_record(connection, "BEGIN", keyed, close_key)
        )
        self.request.on_event(Sent(placement.target, placement.primary))
        await connection.command("COMMIT")
        was_run = record is not None and record.was_run
        self.found = Outcome.DONE if was_run else Outcome.NOT_RUN
        return self.request.on_event(Answered())

    async def _deliver(self) -> Completion:
        return Completion()
