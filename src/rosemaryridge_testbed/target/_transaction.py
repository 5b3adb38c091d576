"""Keep one connection's transaction."""

import asyncio
import collections
import dataclasses
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._engine import Executor
from rosemaryridge_testbed.target._knobs import Gate
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import Call
from rosemaryridge_testbed.target._member import READ_ONLY
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._member import now_text


@dataclasses.dataclass(eq=False)
class Host:
    """Hold what all connections of a target share.

    `reads` counts the reads of tables that ran in each role.
    """

    member: Member
    knobs: Knobs
    gate: Gate
    resumed: asyncio.Event
    writer: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    sessions: set["Transaction"] = dataclasses.field(default_factory=set)
    reads: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Transaction:
    """Hold the writer lock from a transaction's first write to its end."""

    def __init__(self, host: Host, connection: t.Any):
        self.host = host
        self.connection = connection
        self.settings: dict[str, str] = {}
        self.calls: list[Call] = []
        self.marks: list[tuple[str, int]] = []
        self._locked = False
        self._executor: Executor | None = None
        self._generation = -1
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def explicit(self) -> bool:
        """Tell whether the caller has opened a transaction."""
        return self.connection.tx_status != b"I"

    def executor(self) -> Executor:
        """Return the connection to the current database file."""
        engine = self.host.member.engine
        if self._executor is None or self._generation != engine.generation:
            if self._executor is not None:
                self._executor.close()
            self._executor = engine.open()
            self._generation = engine.generation
        return self._executor

    def begin(self) -> None:
        """Open an explicit transaction."""
        if not self.explicit:
            self.connection.tx_status = b"T"
            self._watch_idle()

    def _watch_idle(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self.host.knobs.idle_in_transaction_ms / 1000.0
        self._idle_timer = loop.call_later(delay_s, self.terminate)

    def require_writable(self) -> None:
        """Raise PgError where the target takes no writes."""
        if not self.host.member.writable:
            raise PgError(READ_ONLY, "cannot write: the target is not the primary")

    async def lock(self) -> Executor:
        """Wait for the writer lock and open the engine's transaction."""
        self.require_writable()
        if not self._locked:
            await self.host.writer.acquire()
            self._locked = True
            self.require_writable()
            executor = self.executor()
            executor.now_text = now_text()
            executor.begin()
        return self.executor()

    def commit(self) -> None:
        """Commit and append to the log, at once."""
        if self._locked:
            self.require_writable()
            executor = self.executor()
            executor.commit()
            if self.calls:
                calls = tuple(self.calls)
                self.host.member.append_commit(calls, executor.now_text)
        self._end()

    def rollback(self) -> None:
        """Undo the transaction."""
        if self._locked:
            self.executor().rollback()
        self._end()

    def fail(self) -> None:
        """Undo what a statement outside of an explicit transaction left open."""
        if not self.explicit:
            self.rollback()

    def savepoint(self, name: str) -> None:
        """Mark a place to return to."""
        if self._locked:
            self.executor().run(f'SAVEPOINT "{name}"', {})
        self.marks.append((name, len(self.calls)))

    def rollback_to(self, name: str) -> None:
        """Return to a savepoint; raise PgError where there is none."""
        count = next((n for mark, n in reversed(self.marks) if mark == name), None)
        if count is None:
            raise PgError("3B001", f"savepoint {name} does not exist")
        if self._locked:
            self.executor().run(f'ROLLBACK TO "{name}"', {})
        del self.calls[count:]
        self.connection.tx_status = b"T"

    def release(self, name: str) -> None:
        """Forget a savepoint."""
        if self._locked:
            self.executor().run(f'RELEASE "{name}"', {})
        self.marks = [mark for mark in self.marks if mark[0] != name]

    def _end(self) -> None:
        self.calls = []
        self.marks = []
        self.connection.tx_status = b"I"
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._locked:
            self._locked = False
            self.host.writer.release()

    @property
    def writing(self) -> bool:
        """Tell whether the transaction holds the writer lock."""
        return self._locked

    def terminate(self) -> None:
        """End the connection as an administrator would."""
        self.rollback()
        self.connection.stream.writer.transport.abort()

    def close(self) -> None:
        """Undo what is open and close the engine's connection."""
        self.rollback()
        if self._executor is not None:
            self._executor.close()
