"""Run an autocommit read or write."""

from rosemaryridge.proxy._attempt import CHUNK_ROWS
from rosemaryridge.proxy._attempt import RowStream
from rosemaryridge.proxy._attempt import total_tag
from rosemaryridge.proxy._autocommit import AutocommitRun
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.request import Answered
from rosemaryridge.request import Confirm
from rosemaryridge.request import Continue
from rosemaryridge.request import Delivered
from rosemaryridge.request import Effect
from rosemaryridge.request import RequestKind
from rosemaryridge.wire import Completion
from rosemaryridge.wire import FetchedRows
from rosemaryridge.wire import PreparedStatement

# Bounds the time for the caller to read a chunk and the target to send the next one.
_CHUNK_TIMEOUT_S = 30.0


class WriteRun(AutocommitRun):
    """Run a write; send its answer only after a majority holds the write."""

    kind = RequestKind.WRITE

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._prepared: PreparedStatement | None = None
        self._fetched: FetchedRows | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        self._prepared = await self._await_answer(placement, self._prepare(placement))
        self._fetched = await placement.connection.execute(
            self._prepared, self._stmt.params
        )
        return self.request.on_event(Answered())

    async def _deliver(self) -> Completion:
        answer = self._stmt.answer
        answer.columns(self._prepared.description.columns)
        await answer.rows(self._fetched.rows)
        return Completion(self._fetched.tag or "")


class ReadRun(AutocommitRun):
    """Run a read; buffer a short answer, stream a long one from a portal.

    An answer is long if it exceeds CHUNK_ROWS and the caller set no row limit.
    """

    kind = RequestKind.READ

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._prepared: PreparedStatement | None = None
        self._fetched = FetchedRows((), "")

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        fetched = await self._await_answer(placement, self._fetch(placement, max_rows))
        if fetched.tag is None and not max_rows:
            return await self._stream(placement, self._prepared)
        self._fetched = fetched
        self._record_read(placement)
        return self.request.on_event(Answered())

    async def _fetch(self, placement: Placement, max_rows: int) -> FetchedRows:
        prepared = self._prepared = await self._prepare(placement)
        return await placement.connection.execute(
            prepared, self._stmt.params, max_rows or CHUNK_ROWS
        )

    async def _stream(
        self, placement: Placement, prepared: PreparedStatement
    ) -> Effect:
        """Run the statement again in a transaction and send its rows in chunks.

        The rows of the first execution were not sent to the caller.
        """
        connection = placement.connection
        await connection.command("BEGIN READ ONLY")
        rows = RowStream(connection, prepared, self._stmt.params)
        fetched = await rows.next(CHUNK_ROWS)
        effect = self.request.on_event(Answered(complete=False))
        if isinstance(effect, Confirm):
            effect = await self._confirm(placement)
        if not isinstance(effect, Continue):
            return effect
        self._stmt.answer.columns(prepared.description.columns)
        total = len(fetched.rows)
        while fetched.tag is None:
            self.request.on_event(Delivered())
            await self._send_chunk(fetched)
            fetched = await rows.next(CHUNK_ROWS)
            total += len(fetched.rows)
        await connection.command("COMMIT")
        self._record_read(placement)
        self._prepared = None
        self._fetched = FetchedRows(fetched.rows, total_tag(fetched.tag, total))
        return self.request.on_event(Answered())

    def _record_read(self, placement: Placement) -> None:
        if not placement.primary:
            self._selector.record_replica_read(placement)

    async def _send_chunk(self, fetched: FetchedRows) -> None:
        await self._stmt.answer.rows(fetched.rows)
        self.timeout.reschedule(self._ctx.timer.now() + _CHUNK_TIMEOUT_S)

    async def _deliver(self) -> Completion:
        answer = self._stmt.answer
        if self._prepared is not None:
            answer.columns(self._prepared.description.columns)
        await answer.rows(self._fetched.rows)
        tag = self._fetched.tag
        return Completion(tag or "", suspended=tag is None)
