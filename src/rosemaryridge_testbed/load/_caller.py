"""Send the requests of one session through several proxies."""

import re
import time
import typing as t

import asyncpg

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Outcome
from rosemaryridge.request import PREFIX
from rosemaryridge.request import TOKEN
from rosemaryridge.session import parse_token
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.history import Read
from rosemaryridge_testbed.history import Row
from rosemaryridge_testbed.history import Stray
from rosemaryridge_testbed.history import Write
from rosemaryridge_testbed.load._recorder import Recorder

INSERT = "INSERT INTO entry (session, key, part) VALUES ($1, $2, $3)"
SELECT = "SELECT session, key FROM entry WHERE session = $1"

_OUTCOME = re.compile(r"outcome: ([a-z ]+)")
_UNKNOWN_OUTCOME_STATES = ("40003", "57P01", "57014")
# Only a statement in an open transaction can get these SQLSTATEs.
_TRANSACTION_STATES = ("25001", "25P01", "25P02")
_CONNECTION_ERRORS = (OSError, asyncpg.InterfaceError, asyncpg.InternalClientError)


def outcome_from_error(exc: BaseException) -> Outcome:
    """Return the outcome of the statement that failed with an error."""
    if not isinstance(exc, asyncpg.PostgresError):
        return Outcome.UNKNOWN
    match = _OUTCOME.search(exc.detail or "")
    if match:
        return Outcome(match[1].strip())
    state = exc.sqlstate or "08"
    unknown = state.startswith("08") or state in _UNKNOWN_OUTCOME_STATES
    return Outcome.UNKNOWN if unknown else Outcome.NOT_RUN


class Caller:
    """Write and read one session's rows; record every outcome.

    `settings` are sent when a connection opens, such as `rosemaryridge.session`.
    With `carry_token` the caller sends the token of its last answer with each request.
    `timeout_s` bounds each connection attempt and each statement that reads or writes.
    """

    def __init__(
        self,
        fleet: Fleet,
        recorder: Recorder,
        session: str,
        settings: t.Mapping[str, str] | None = None,
        carry_token: bool = False,
        timeout_s: float = 6.0,
    ):
        self.session = session
        self._fleet = fleet
        self._recorder = recorder
        self._settings = dict(settings or {})
        if carry_token:
            self._settings[f"{PREFIX}report_token"] = "on"
        self._carry_token = carry_token
        self._timeout_s = timeout_s
        self._conns: dict[str, asyncpg.Connection] = {}
        self._token = ""
        self._written = 0

    async def close(self) -> None:
        """Close every connection."""
        for conn in self._conns.values():
            conn.terminate()
        self._conns.clear()

    async def connection(self, vm: str) -> asyncpg.Connection:
        """Return the open connection to a proxy, or open a new connection."""
        conn = self._conns.get(vm)
        if conn is None or conn.is_closed():
            conn = await self._fleet.connect(
                vm, server_settings=self._settings, timeout=self._timeout_s
            )
            self._conns[vm] = conn
        return conn

    def drop(self, vm: str) -> None:
        """Close the connection to a proxy."""
        conn = self._conns.pop(vm, None)
        if conn is not None:
            conn.terminate()

    async def write(self, vm: str, rows: int = 1) -> Outcome:
        """Write a new key through a proxy; record and return the outcome."""
        self._written += 1
        key = f"{self.session}-{self._written}"
        started = time.monotonic()
        outcome = await self._try_write(vm, key, rows)
        ended = time.monotonic()
        position = ORIGIN
        if outcome is Outcome.DONE and self._carry_token:
            self._token = self._reported_token(vm) or self._token
            position = parse_token(self._token).position
        self._recorder.writes.append(
            Write(self.session, key, started, ended, outcome, rows, position)
        )
        return outcome

    async def _try_write(self, vm: str, key: str, rows: int) -> Outcome:
        try:
            conn = await self._prepare_connection(vm)
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            return Outcome.NOT_RUN
        if rows > 1:
            return await self._write_transaction(vm, conn, key, rows)
        try:
            await conn.execute(INSERT, self.session, key, 1, timeout=self._timeout_s)
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            self._record_stray(exc)
            return outcome_from_error(exc)
        return Outcome.DONE

    async def _write_transaction(
        self, vm: str, conn: asyncpg.Connection, key: str, rows: int
    ) -> Outcome:
        try:
            await conn.execute("BEGIN", timeout=self._timeout_s)
            for part in range(rows):
                args = (self.session, key, part + 1)
                await conn.execute(INSERT, *args, timeout=self._timeout_s)
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            self.drop(vm)
            return Outcome.NOT_RUN
        try:
            tag = await conn.execute("COMMIT", timeout=self._timeout_s)
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            return outcome_from_error(exc)
        return Outcome.DONE if tag == "COMMIT" else Outcome.NOT_RUN

    async def read(self, vm: str) -> bool:
        """Read the session's rows through a proxy; return False on an error."""
        started = time.monotonic()
        try:
            conn = await self._prepare_connection(vm)
            records = await conn.fetch(SELECT, self.session, timeout=self._timeout_s)
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            self._record_stray(exc)
            return False
        ended = time.monotonic()
        rows = tuple(Row(record["session"], record["key"]) for record in records)
        binds = await self._fetch_token(vm) if self._carry_token else True
        read = Read(self.session, started, ended, rows, binds)
        self._recorder.reads.append(read)
        return True

    async def _prepare_connection(self, vm: str) -> asyncpg.Connection:
        conn = await self.connection(vm)
        if self._carry_token and self._token:
            text = f"SET {TOKEN} = '{self._token}'"
            await conn.execute(text, timeout=self._timeout_s)
        return conn

    async def _fetch_token(self, vm: str) -> bool:
        try:
            self._token = await self._conns[vm].fetchval(f"SHOW {TOKEN}")
        except (*_CONNECTION_ERRORS, asyncpg.PostgresError) as exc:
            self._handle_error(vm, exc)
            return False
        return True

    def _reported_token(self, vm: str) -> str:
        """Return the token that the proxy reported with the last answer, if any."""
        return getattr(self._conns[vm].get_settings(), TOKEN, "")

    def _record_stray(self, exc: BaseException) -> None:
        state = getattr(exc, "sqlstate", None) or ""
        if state in _TRANSACTION_STATES:
            self._recorder.strays.append(Stray(self.session, state))

    def _handle_error(self, vm: str, exc: BaseException) -> None:
        self._recorder.count_error(exc)
        client_side = not isinstance(exc, asyncpg.PostgresError)
        conn = self._conns.get(vm)
        if client_side or (conn is not None and conn.is_closed()):
            self.drop(vm)
