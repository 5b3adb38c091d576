"""Run a write with a request key, and look up the outcome of a key."""

import asyncpg

from rosemaryridge import codes
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._attempt import prepare
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._records import KeyedRequest
from rosemaryridge.proxy._records import KeyRecord
from rosemaryridge.proxy._records import StoredAnswer
from rosemaryridge.proxy._records import create_table
from rosemaryridge.proxy._records import fingerprint
from rosemaryridge.proxy._records import record_closed
from rosemaryridge.proxy._records import record_run
from rosemaryridge.proxy._records import store_answer
from rosemaryridge.proxy._records import to_stored_answer
from rosemaryridge.proxy._runs import WriteRun
from rosemaryridge.request import Answered
from rosemaryridge.request import Effect
from rosemaryridge.request import Sent
from rosemaryridge.wire import Column
from rosemaryridge.wire import Completion


async def begin_with_record(
    connection, begin_sql: str, request: KeyedRequest, insert=record_run
) -> KeyRecord | None:
    """Begin a transaction and insert a key's record in it.

    Create the table of records at first use. Return the stored record if the key was
    used before.
    """
    await connection.command(begin_sql)
    try:
        return await insert(connection, request)
    except asyncpg.UndefinedTableError:
        await connection.command("ROLLBACK")
    await create_table(connection)
    await connection.command(begin_sql)
    return await insert(connection, request)


class KeyedWriteRun(WriteRun):
    """Run a write and insert its key's record in one transaction.

    A retry finds the record and does not run the write again, so that even a lost
    COMMIT is retried.
    """

    def __init__(self, *args):
        super().__init__(*args, repeatable=True)
        self._keyed = KeyedRequest(
            self._state.business,
            self._options.request_key,
            fingerprint(self._stmt.text, self._stmt.params),
        )
        self._answer: StoredAnswer | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        record = await self._await_answer(
            placement, begin_with_record(connection, "BEGIN", self._keyed)
        )
        if record is None:
            await self._run_and_record(placement)
        else:
            self._answer = self._keyed.check(record)
            metrics = self._ctx.metrics
            metrics.refuse(codes.request.KEY_ALREADY_RUN, self._state.service)
        # The write cannot take effect before COMMIT is sent.
        self.request.on_event(Sent(placement.target, placement.primary))
        await connection.command("COMMIT")
        return self.request.on_event(Answered())

    async def _run_and_record(self, placement: Placement) -> None:
        connection = placement.connection
        prepared = await prepare(connection, self._stmt)
        fetched = await connection.execute(prepared, self._stmt.params)
        columns = prepared.description.columns
        formats = self._stmt.answer.formats(len(columns))
        self._answer = to_stored_answer(fetched, columns, formats)
        await store_answer(connection, self._keyed, self._answer)

    async def _deliver(self) -> Completion:
        stored, answer = self._answer, self._stmt.answer
        answer.columns([Column(name, oid) for name, oid in stored.columns])
        formats = answer.formats(len(stored.columns))
        await answer.rows(stored.rows_in(formats))
        return Completion(stored.tag)


class LookupRun(WriteRun):
    """Determine whether the request of a key ran.

    A key that is not recorded yet is closed, so that its request cannot run later.
    """

    def __init__(self, *args):
        super().__init__(*args, repeatable=True)
        self.outcome: Outcome | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        connection = placement.connection
        keyed = KeyedRequest(self._state.business, self._options.request_key, "")
        record = await self._await_answer(
            placement, begin_with_record(connection, "BEGIN", keyed, record_closed)
        )
        self.request.on_event(Sent(placement.target, placement.primary))
        await connection.command("COMMIT")
        was_run = record is not None and record.was_run
        self.outcome = Outcome.DONE if was_run else Outcome.NOT_RUN
        return self.request.on_event(Answered())

    async def _deliver(self) -> Completion:
        return Completion()
