"""Run a read or a write that is a transaction of its own."""

from rosemaryridge.proxy._attempt import CHUNK_ROWS
from rosemaryridge.proxy._attempt import RowStream
from rosemaryridge.proxy._attempt import total_tag
from rosemaryridge.proxy._autocommit import Autocommit
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.request import Answered
from rosemaryridge.request import Confirm
from rosemaryridge.request import Continue
from rosemaryridge.request import Delivered
from rosemaryridge.request import Effect
from rosemaryridge.request import RequestKind
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Fetched
from rosemaryridge.wire import Prepared

# The time that a caller gets to take in a chunk and the target to send the next.
_CHUNK_TIMEOUT_S = 30.0


class WriteRun(Autocommit):
    """Run a write; its answer is held back until a majority holds the write."""

    kind = RequestKind.WRITE

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._prepared: Prepared | None = None
        self._fetched: Fetched | None = None

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        self._prepared = await self._patiently(placement, self._prepare(placement))
        self._fetched = await placement.connection.execute(
            self._prepared, self._work.params
        )
        return self.request.on_event(Answered())

    async def _deliver(self) -> Completion:
        answer = self._work.answer
        answer.columns(self._prepared.description.columns)
        await answer.rows(self._fetched.rows)
        return Completion(self._fetched.tag or "")


class ReadRun(Autocommit):
    """Run a read; a long answer is streamed from a portal, a short one gathered."""

    kind = RequestKind.READ

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._prepared: Prepared | None = None
        self._fetched = Fetched((), "")

    async def _exchange(self, placement: Placement, max_rows: int) -> Effect:
        fetched = await self._patiently(placement, self._fetch(placement, max_rows))
        if fetched.tag is None and not max_rows:
            return await self._stream(placement, self._prepared)
        self._fetched = fetched
        self._note_read(placement)
        return self.request.on_event(Answered())

    async def _fetch(self, placement: Placement, max_rows: int) -> Fetched:
        prepared = self._prepared = await self._prepare(placement)
        return await placement.connection.execute(
            prepared, self._work.params, max_rows or CHUNK_ROWS
        )

    async def _stream(self, placement: Placement, prepared: Prepared) -> Effect:
        """Read again, in chunks: what was read so far reached nobody."""
        connection = placement.connection
        await connection.command("BEGIN READ ONLY")
        rows = RowStream(connection, prepared, self._work.params)
        fetched = await rows.next(CHUNK_ROWS)
        effect = self.request.on_event(Answered(complete=False))
        if isinstance(effect, Confirm):
            effect = await self._confirm_answer(placement)
        if not isinstance(effect, Continue):
            return effect
        self._work.answer.columns(prepared.description.columns)
        total = len(fetched.rows)
        while fetched.tag is None:
            self.request.on_event(Delivered())
            await self._pass_on(fetched)
            fetched = await rows.next(CHUNK_ROWS)
            total += len(fetched.rows)
        await connection.command("COMMIT")
        self._note_read(placement)
        self._prepared = None
        self._fetched = Fetched(fetched.rows, total_tag(fetched.tag, total))
        return self.request.on_event(Answered())

    def _note_read(self, placement: Placement) -> None:
        if not placement.primary:
            self._placer.read_from_replica(placement)

    async def _pass_on(self, fetched: Fetched) -> None:
        await self._work.answer.rows(fetched.rows)
        self.scope.reschedule(self._parts.timer.now() + _CHUNK_TIMEOUT_S)

    async def _deliver(self) -> Completion:
        answer = self._work.answer
        if self._prepared is not None:
            answer.columns(self._prepared.description.columns)
        await answer.rows(self._fetched.rows)
        tag = self._fetched.tag
        return Completion(tag or "", suspended=tag is None)
