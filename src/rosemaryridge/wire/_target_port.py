"""Call the target port's functions over one control connection per target."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.wire._keep_alive import KeepAlive
from rosemaryridge.wire._keep_alive import set_keep_alive
from rosemaryridge.wire._target_connection import Login

_STATUS = "SELECT * FROM rosemaryridge.status()"
_FENCE = "SELECT * FROM rosemaryridge.fence($1::bigint, $2::text)"
_PROMOTE = "SELECT * FROM rosemaryridge.promote($1::bigint, $2::text)"
_FOLLOW = "SELECT * FROM rosemaryridge.follow($1::bigint, $2::text)"
_FENCED_AT_HIGHER_TERM_SQLSTATE = "RR001"
_STATEMENT_CACHE_SIZE = 8
_CONNECT_TIMEOUT_FACTOR = 4
# A target admits control connections, recognized by this application_name, beyond
# its connection limit.
_CONTROL_APPLICATION_NAME = "rosemaryridge-control"


class PgTargetPort:
    """Call the functions of the target port, one at a time on each target.

    Methods raise FenceRefused if the target is fenced at a higher term, and
    TargetUnavailable if the call fails or exceeds `timeout_s` seconds.
    """

    def __init__(self, login: Login, keep_alive: KeepAlive | None = None):
        self._login = login
        self._keep_alive = keep_alive or KeepAlive()
        self._conns: dict[Endpoint, asyncpg.Connection] = {}
        self._connecting: dict[Endpoint, asyncio.Task] = {}
        self._locks: dict[Endpoint, asyncio.Lock] = {}

    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        """Return the replication state of a target."""
        return await self._call(target, timeout_s, _STATUS)

    async def fence(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Fence a target: commit it to a term and the term's candidate."""
        return await self._call(target, timeout_s, _FENCE, term, candidate)

    async def promote(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Promote a fenced target to the primary of a term."""
        return await self._call(target, timeout_s, _PROMOTE, term, candidate)

    async def follow(
        self, target: TargetConfig, term: int, primary: Endpoint, timeout_s: float
    ) -> TargetStatus:
        """Start replication on a target from the primary of a term."""
        return await self._call(target, timeout_s, _FOLLOW, term, str(primary))

    def close(self) -> None:
        """Terminate every control connection and cancel attempts to connect."""
        for task in list(self._connecting.values()):
            task.cancel()
        for conn in self._conns.values():
            conn.terminate()
        self._conns.clear()

    async def _call(
        self, target: TargetConfig, timeout_s: float, statement: str, *args: t.Any
    ) -> TargetStatus:
        lock = self._locks.setdefault(target.endpoint, asyncio.Lock())
        try:
            async with asyncio.timeout(timeout_s), lock:
                row = await self._fetch(target.endpoint, timeout_s, statement, args)
        except asyncpg.PostgresError as exc:
            if exc.sqlstate == _FENCED_AT_HIGHER_TERM_SQLSTATE:
                raise FenceRefused(_parse_fenced_term(exc)) from exc
            self._drop_connection(target.endpoint)
            raise TargetUnavailable(
                f"target {target.name} failed with SQLSTATE {exc.sqlstate}: {exc}"
            ) from exc
        except (OSError, TimeoutError, asyncpg.InterfaceError) as exc:
            raise TargetUnavailable(
                f"target {target.name} did not answer: {exc!r}"
            ) from exc
        return _parse_status(target.name, row)

    async def _fetch(
        self, endpoint: Endpoint, timeout_s: float, statement: str, args: t.Any
    ) -> asyncpg.Record:
        conn = self._conns.get(endpoint)
        if conn is None or conn.is_closed():
            conn = await asyncio.shield(self._start_connecting(endpoint, timeout_s))
        try:
            return await conn.fetchrow(statement, *args)
        except (asyncio.CancelledError, OSError, asyncpg.InterfaceError):
            # The connection may be broken while its target is alive; drop it so that
            # the next call opens a new one.
            self._drop_connection(endpoint)
            raise

    def _start_connecting(self, endpoint: Endpoint, timeout_s: float) -> asyncio.Task:
        """Return the running attempt to connect, or start one.

        Connecting takes several round trips, so it may outlast the call that
        started it; later calls wait for the same attempt.
        """
        task = self._connecting.get(endpoint)
        if task is None:
            attempt = self._connect(endpoint, timeout_s * _CONNECT_TIMEOUT_FACTOR)
            task = asyncio.get_running_loop().create_task(attempt)
            self._connecting[endpoint] = task
            task.add_done_callback(lambda done: self._on_connect_done(endpoint, done))
        return task

    def _on_connect_done(self, endpoint: Endpoint, task: asyncio.Task) -> None:
        del self._connecting[endpoint]
        if not task.cancelled():
            # Retrieve the exception; otherwise asyncio logs it as never retrieved if no
            # call waits for the attempt.
            task.exception()

    async def _connect(self, endpoint: Endpoint, timeout_s: float) -> t.Any:
        conn = await asyncpg.connect(
            host=endpoint.host,
            port=endpoint.port,
            user=self._login.user,
            password=self._login.password,
            database=self._login.database,
            timeout=timeout_s,
            ssl=False,
            server_settings={"application_name": _CONTROL_APPLICATION_NAME},
            statement_cache_size=_STATEMENT_CACHE_SIZE,
            max_cached_statement_lifetime=0,
        )
        set_keep_alive(conn, self._keep_alive)
        self._conns[endpoint] = conn
        return conn

    def _drop_connection(self, endpoint: Endpoint) -> None:
        conn = self._conns.pop(endpoint, None)
        if conn is not None:
            conn.terminate()


def _parse_fenced_term(exc: asyncpg.PostgresError) -> int:
    """Return the term in the detail field of a target's error, or 0 if none."""
    digits = "".join(filter(str.isdigit, exc.detail or ""))
    return int(digits) if digits else 0


def _parse_status(name: str, row: asyncpg.Record) -> TargetStatus:
    return TargetStatus(
        target=name,
        role=Role(row["role"]),
        term=row["term"],
        fenced_term=row["fenced_term"],
        received=Position.parse(row["received"]),
        applied=Position.parse(row["applied"]),
        upstream=row["upstream"] or "",
        upstream_silence_s=(row["upstream_silence_ms"] or 0.0) / 1000.0,
        leaving=row["leaving"],
        writable=row["writable"],
    )
