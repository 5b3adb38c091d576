"""Give the group's verbs to a target over one control connection."""

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
_FENCED_AT_HIGHER_TERM = "RR001"
_STATEMENT_CACHE_SIZE = 8
_CONNECT_TIMEOUTS = 4
# A target keeps room for control connections beyond its limit.
_CONTROL_NAME = "rosemaryridge-control"


class PgTargetPort:
    """Run the verbs of the target port, one at a time on each target."""

    def __init__(self, login: Login, keep_alive: KeepAlive | None = None):
        self._login = login
        self._keep_alive = keep_alive or KeepAlive()
        self._conns: dict[Endpoint, asyncpg.Connection] = {}
        self._opening: dict[Endpoint, asyncio.Task] = {}
        self._locks: dict[Endpoint, asyncio.Lock] = {}

    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        """Return the replication state of a target."""
        return await self._run(target, timeout_s, _STATUS)

    async def fence(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make a target promise itself to a term and its candidate."""
        return await self._run(target, timeout_s, _FENCE, term, candidate)

    async def promote(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make a fenced target the primary of a term."""
        return await self._run(target, timeout_s, _PROMOTE, term, candidate)

    async def follow(
        self, target: TargetConfig, term: int, primary: Endpoint, timeout_s: float
    ) -> TargetStatus:
        """Make a target replicate from the primary of a term."""
        return await self._run(target, timeout_s, _FOLLOW, term, str(primary))

    def close(self) -> None:
        """Close every control connection at once."""
        for task in list(self._opening.values()):
            task.cancel()
        for conn in self._conns.values():
            conn.terminate()
        self._conns.clear()

    async def _run(
        self, target: TargetConfig, timeout_s: float, statement: str, *args: t.Any
    ) -> TargetStatus:
        lock = self._locks.setdefault(target.endpoint, asyncio.Lock())
        try:
            async with asyncio.timeout(timeout_s), lock:
                row = await self._fetch(target.endpoint, timeout_s, statement, args)
        except asyncpg.PostgresError as exc:
            if exc.sqlstate == _FENCED_AT_HIGHER_TERM:
                raise FenceRefused(_fenced_term(exc)) from exc
            self._drop(target.endpoint)
            raise TargetUnavailable(f"{target.name}: {exc.sqlstate} {exc}") from exc
        except (OSError, TimeoutError, asyncpg.InterfaceError) as exc:
            raise TargetUnavailable(f"{target.name}: {exc!r}") from exc
        return _status(target.name, row)

    async def _fetch(
        self, endpoint: Endpoint, timeout_s: float, statement: str, args: t.Any
    ) -> asyncpg.Record:
        conn = self._conns.get(endpoint)
        if conn is None or conn.is_closed():
            conn = await asyncio.shield(self._open(endpoint, timeout_s))
        try:
            return await conn.fetchrow(statement, *args)
        except (asyncio.CancelledError, OSError, asyncpg.InterfaceError):
            # A silent connection says nothing of its target: open a new one.
            self._drop(endpoint)
            raise

    def _open(self, endpoint: Endpoint, timeout_s: float) -> asyncio.Task:
        """Return the one attempt to connect that is under way.

        Connecting takes several round trips, so it may outlast the verb it is for.
        """
        task = self._opening.get(endpoint)
        if task is None:
            attempt = self._connect(endpoint, timeout_s * _CONNECT_TIMEOUTS)
            task = asyncio.get_running_loop().create_task(attempt)
            self._opening[endpoint] = task
            task.add_done_callback(lambda one: self._opened(endpoint, one))
        return task

    def _opened(self, endpoint: Endpoint, task: asyncio.Task) -> None:
        del self._opening[endpoint]
        if not task.cancelled():
            # Without this a failure that nobody waits for is reported as a bug.
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
            server_settings={"application_name": _CONTROL_NAME},
            statement_cache_size=_STATEMENT_CACHE_SIZE,
            max_cached_statement_lifetime=0,
        )
        set_keep_alive(conn, self._keep_alive)
        self._conns[endpoint] = conn
        return conn

    def _drop(self, endpoint: Endpoint) -> None:
        conn = self._conns.pop(endpoint, None)
        if conn is not None:
            conn.terminate()


def _fenced_term(exc: asyncpg.PostgresError) -> int:
    """Return the term that the target's detail field names, 0 where none."""
    digits = "".join(filter(str.isdigit, exc.detail or ""))
    return int(digits) if digits else 0


def _status(name: str, row: asyncpg.Record) -> TargetStatus:
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
