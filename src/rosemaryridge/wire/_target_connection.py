"""Speak PostgreSQL to a target without decoding the values that pass through."""

import collections
import dataclasses
import typing as t

import asyncpg
from asyncpg import connect_utils
from pg_mimic.errors import PROTOCOL_VIOLATION
from pg_mimic.errors import PgError

from rosemaryridge.model import Endpoint
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import Description
from rosemaryridge.wire._columns import Parameters
from rosemaryridge.wire._columns import convert
from rosemaryridge.wire._keep_alive import KeepAlive
from rosemaryridge.wire._keep_alive import set_keep_alive
from rosemaryridge.wire._pass_through import Formats
from rosemaryridge.wire._pass_through import PassThroughConnection

_STATEMENT_CACHE_SIZE = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Login:
    """Hold what a proxy logs in to targets with."""

    user: str
    password: str = dataclasses.field(repr=False)
    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """Hold a statement that a target has prepared on one connection."""

    state: t.Any
    description: Description
    param_formats: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """Hold rows of encoded values; `tag` is None while more rows may come."""

    rows: t.Sequence[t.Sequence[bytes | None]]
    tag: str | None


class TargetConnection:
    """Be one connection to a target, used by one request at a time."""

    __slots__ = (
        "_backend",
        "_conn",
        "_portals",
        "_statements",
        "endpoint",
        "notice_handler",
        "variables",
    )

    def __init__(self, conn: PassThroughConnection, endpoint: Endpoint):
        self._conn = conn
        protocol = conn._protocol
        self._backend = (protocol.backend_pid, protocol.backend_secret)
        self._statements: collections.OrderedDict[tuple[str, Formats], Prepared] = (
            collections.OrderedDict()
        )
        self._portals = 0
        self.endpoint = endpoint
        self.variables: dict[str, str] = {}
        self.notice_handler: t.Callable[[t.Any], None] | None = None
        conn.add_log_listener(self._on_notice)

    @classmethod
    async def open(
        cls,
        endpoint: Endpoint,
        login: Login,
        timeout_s: float,
        keep_alive: KeepAlive | None = None,
    ) -> "TargetConnection":
        """Connect and log in to a target."""
        conn = await asyncpg.connect(
            host=endpoint.host,
            port=endpoint.port,
            user=login.user,
            password=login.password,
            database=login.database,
            timeout=timeout_s,
            ssl=False,
            statement_cache_size=0,
            connection_class=PassThroughConnection,
        )
        set_keep_alive(conn, keep_alive or KeepAlive())
        return cls(conn, endpoint)

    @property
    def _protocol(self) -> t.Any:
        protocol = self._conn._protocol
        if protocol is None:
            raise asyncpg.InterfaceError("the connection was terminated")
        return protocol

    def _require_open(self) -> None:
        """Raise a connection error where asyncpg itself would fail in another way."""
        _ = self._protocol

    def is_closed(self) -> bool:
        """Tell whether the connection is of no more use."""
        return self._conn.is_closed()

    def in_transaction(self) -> bool:
        """Tell whether the target reported an open transaction."""
        return not self.is_closed() and self._conn.is_in_transaction()

    def _on_notice(self, _: t.Any, notice: t.Any) -> None:
        if self.notice_handler is not None:
            self.notice_handler(notice)

    async def close(self) -> None:
        """Say goodbye to the target and close."""
        await self._conn.close()

    def terminate(self) -> None:
        """Close at once, without a word to the target."""
        self._conn.terminate()

    async def command(self, text: str) -> str:
        """Run a statement that returns no rows; return its tag."""
        return await self._protocol.query(text, None)

    async def cancel(self) -> None:
        """Ask the target to cancel what runs, or ran last, on this connection."""
        conn = self._conn
        pid, secret = self._backend
        await connect_utils._cancel(
            loop=conn._loop,
            addr=conn._addr,
            params=conn._params,
            backend_pid=pid,
            backend_secret=secret,
        )

    def held(self, sql: str, formats: Formats) -> Prepared | None:
        """Return a statement that this connection holds prepared."""
        key = (sql, formats)
        prepared = self._statements.get(key)
        if prepared is not None:
            self._statements.move_to_end(key)
        return prepared

    async def prepare(self, sql: str, formats: Formats) -> Prepared:
        """Prepare a statement, or return what this connection holds of it."""
        prepared = self.held(sql, formats)
        if prepared is not None:
            return prepared
        key = (sql, formats)
        self._require_open()
        self._conn.use_formats(formats)
        state = await self._conn._get_statement(sql, None, named=True, use_cache=False)
        state.attach()
        prepared = _prepared(state, formats)
        self._statements[key] = prepared
        if len(self._statements) > _STATEMENT_CACHE_SIZE:
            self._forget(self._statements.popitem(last=False)[1])
        return prepared

    def _forget(self, prepared: Prepared) -> None:
        prepared.state.detach()
        self._conn._maybe_gc_stmt(prepared.state)

    def forget_statements(self) -> bool:
        """Prepare every statement anew from now on; return whether any was held."""
        held = bool(self._statements)
        while self._statements:
            self._forget(self._statements.popitem()[1])
        return held

    async def execute(
        self, prepared: Prepared, params: Parameters, limit: int = 0, portal: str = ""
    ) -> Fetched:
        """Bind and run; fetch at most `limit` rows, all where it is 0."""
        args = _arguments(prepared, params)
        rows, status, _ = await self._protocol.bind_execute(
            prepared.state, args, portal, limit, True, None
        )
        return Fetched(rows or (), status.decode() if status else None)

    async def fetch(self, prepared: Prepared, portal: str, limit: int) -> Fetched:
        """Fetch more rows of a portal that `execute` opened."""
        rows, status, _ = await self._protocol.execute(
            prepared.state, portal, limit, True, None
        )
        return Fetched(rows or (), status.decode() if status else None)

    async def close_portal(self, portal: str) -> None:
        """Close a portal before it was read to its end."""
        await self._protocol.close_portal(portal, None)

    def new_portal(self) -> str:
        """Return a portal name that is free on this connection."""
        self._portals += 1
        return f"rr{self._portals}"


def _prepared(state: t.Any, formats: Formats) -> Prepared:
    named = dict(formats[1])
    oids = tuple(kind.oid for kind in state._get_parameters())
    columns = tuple(
        Column(attribute.name, attribute.type.oid)
        for attribute in state._get_attributes()
    )
    param_formats = tuple(named.get(oid, formats[0]) for oid in oids)
    return Prepared(state, Description(oids, columns), param_formats)


def _arguments(prepared: Prepared, params: Parameters) -> t.Sequence[bytes | None]:
    oids = prepared.description.param_oids
    if len(params.values) != len(oids):
        text = (
            f"bind message supplies {len(params.values)} parameters, "
            f"but the prepared statement requires {len(oids)}"
        )
        raise PgError(PROTOCOL_VIOLATION, text)
    if params.formats == prepared.param_formats:
        return params.values
    return [
        convert(value, oid, given, wanted)
        for value, oid, given, wanted in zip(
            params.values, oids, params.formats, prepared.param_formats, strict=True
        )
    ]
