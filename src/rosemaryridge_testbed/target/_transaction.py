"""Manage one connection's transaction."""

import asyncio
import collections
import dataclasses
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._engine import Executor
from rosemaryridge_testbed.target._knobs import ConcurrencyLimit
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import LoggedStatement
from rosemaryridge_testbed.target._member import READ_ONLY
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._member import current_timestamp

# Settings that take a number or a time.
_NUMERIC_SETTINGS = ("lock_timeout", "statement_timeout")


@dataclasses.dataclass(eq=False)
class TargetContext:
    """Hold the state shared by all connections of a target.

    `reads` counts table reads by the role in which the target ran them.
    """

    member: Member
    knobs: Knobs
    statement_limit: ConcurrencyLimit
    resumed: asyncio.Event
    writer_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    transactions: set["Transaction"] = dataclasses.field(default_factory=set)
    reads: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Transaction:
    """Hold the writer lock from a transaction's first write to its end."""

    def __init__(self, context: TargetContext, connection: t.Any):
        self.context = context
        self.connection = connection
        self.settings: dict[str, str] = {}
        # The settings to which a rollback returns.
        self._settings_before: dict[str, str] = {}
        self.statements: list[LoggedStatement] = []
        self.savepoints: list[tuple[str, int, dict[str, str]]] = []
        self._locked = False
        self._executor: Executor | None = None
        self._generation = -1
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def in_transaction(self) -> bool:
        """Return whether the caller has opened a transaction block."""
        return self.connection.tx_status != b"I"

    def executor(self) -> Executor:
        """Return the connection to the current database file."""
        engine = self.context.member.engine
        if self._executor is None or self._generation != engine.generation:
            if self._executor is not None:
                self._executor.close()
            self._executor = engine.open()
            self._generation = engine.generation
        return self._executor

    def begin(self) -> None:
        """Open a transaction block."""
        if not self.in_transaction:
            self._settings_before = dict(self.settings)
            self.connection.tx_status = b"T"
            self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self.context.knobs.idle_in_transaction_ms / 1000.0
        self._idle_timer = loop.call_later(delay_s, self.terminate)

    def set_value(self, name: str, value: str) -> None:
        """Set a value; raise PgError if the setting does not take it."""
        if name in _NUMERIC_SETTINGS and not value.rstrip("ms").isdigit():
            raise PgError(
                "22023", f'invalid value for parameter "{name}": "{value}"'
            )
        self.settings[name] = value

    def require_writable(self) -> None:
        """Raise PgError if the target accepts no writes."""
        if not self.context.member.writable:
            raise PgError(READ_ONLY, "cannot write: the target is not the primary")

    async def acquire_write_lock(self) -> Executor:
        """Wait for the writer lock and open the engine's transaction; raise PgError."""
        self.require_writable()
        if not self._locked:
            await self.context.writer_lock.acquire()
            self._locked = True
            self.require_writable()
            executor = self.executor()
            executor.transaction_time = current_timestamp()
            executor.begin()
        return self.executor()

    def commit(self) -> None:
        """Commit and append to the log without a wait in between; raise PgError."""
        if self._locked:
            self.require_writable()
            executor = self.executor()
            executor.commit()
            if self.statements:
                statements = tuple(self.statements)
                self.context.member.append_commit(statements, executor.transaction_time)
        self._end()

    def rollback(self) -> None:
        """Roll back the transaction."""
        if self._locked:
            self.executor().rollback()
        if self.in_transaction:
            self.settings = dict(self._settings_before)
        self._end()

    def abort_implicit(self) -> None:
        """Roll back unless the caller has opened a transaction block."""
        if not self.in_transaction:
            self.rollback()

    def savepoint(self, name: str) -> None:
        """Set a savepoint."""
        if self._locked:
            self.executor().run(f'SAVEPOINT "{name}"', {})
        self.savepoints.append((name, len(self.statements), dict(self.settings)))

    def rollback_to(self, name: str) -> None:
        """Roll back to a savepoint; raise PgError if it does not exist."""
        found = next((at for at in reversed(self.savepoints) if at[0] == name), None)
        if found is None:
            raise PgError("3B001", f"savepoint {name} does not exist")
        _, count, settings = found
        self.settings = dict(settings)
        if self._locked:
            self.executor().run(f'ROLLBACK TO "{name}"', {})
        del self.statements[count:]
        self.connection.tx_status = b"T"

    def release(self, name: str) -> None:
        """Release a savepoint."""
        if self._locked:
            self.executor().run(f'RELEASE "{name}"', {})
        self.savepoints = [mark for mark in self.savepoints if mark[0] != name]

    def _end(self) -> None:
        self.statements = []
        self.savepoints = []
        self.connection.tx_status = b"I"
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._locked:
            self._locked = False
            self.context.writer_lock.release()

    @property
    def is_writing(self) -> bool:
        """Return whether the transaction holds the writer lock."""
        return self._locked

    def terminate(self) -> None:
        """Roll back and abort the connection, like pg_terminate_backend."""
        self.rollback()
        self.connection.stream.writer.transport.abort()

    def close(self) -> None:
        """Roll back and close the engine's connection."""
        self.rollback()
        if self._executor is not None:
            self._executor.close()
