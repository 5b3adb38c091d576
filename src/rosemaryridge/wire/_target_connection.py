"""Run statements on a target without decoding parameters and rows."""

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
from rosemaryridge.wire._columns import convert_format
from rosemaryridge.wire._keep_alive import KeepAlive
from rosemaryridge.wire._keep_alive import set_keep_alive
from rosemaryridge.wire._pass_through import Formats
from rosemaryridge.wire._pass_through import PassThroughConnection

_STATEMENT_CACHE_SIZE = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Login:
    """Store the credentials and the database for logging in to targets."""

    user: str
    password: str = dataclasses.field(repr=False)
    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Store a statement that is prepared on one target connection."""

    state: t.Any
    description: Description
    param_formats: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchedRows:
    """Store rows of encoded values; `tag` is None if more rows may follow."""

    rows: t.Sequence[t.Sequence[bytes | None]]
    tag: str | None


class TargetConnection:
    """Represent a connection to a target, for one request at a time."""

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
        self._statements: collections.OrderedDict[
            tuple[str, Formats], PreparedStatement
        ] = collections.OrderedDict()
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
        """Connect and log in to a target within `timeout_s` seconds."""
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
            raise asyncpg.InterfaceError(
                "connection to the target is closed; open a new connection"
            )
        return protocol

    def _require_open(self) -> None:
        """Raise InterfaceError if closed; asyncpg would raise an unrelated error."""
        _ = self._protocol

    def record_variables(self, changes: t.Mapping[str, str | None]) -> None:
        """Record the variables that a committed transaction has set; None for RESET."""
        update_variables(self.variables, changes)

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._conn.is_closed()

    def in_transaction(self) -> bool:
        """Return whether the target reported an open transaction."""
        return not self.is_closed() and self._conn.is_in_transaction()

    def _on_notice(self, _: t.Any, notice: t.Any) -> None:
        if self.notice_handler is not None:
            self.notice_handler(notice)

    async def close(self) -> None:
        """Send Terminate to the target and close the connection."""
        await self._conn.close()

    def terminate(self) -> None:
        """Close the connection at once, without sending Terminate."""
        self._conn.terminate()

    async def command(self, text: str) -> str:
        """Run a statement that returns no rows; return its command tag."""
        return await self._protocol.query(text, None)

    async def cancel(self) -> None:
        """Ask the target to cancel the running or the latest statement."""
        conn = self._conn
        pid, secret = self._backend
        await connect_utils._cancel(
            loop=conn._loop,
            addr=conn._addr,
            params=conn._params,
            backend_pid=pid,
            backend_secret=secret,
        )

    def cached_statement(self, sql: str, formats: Formats) -> PreparedStatement | None:
        """Return the cached prepared statement, or None."""
        key = (sql, formats)
        prepared = self._statements.get(key)
        if prepared is not None:
            self._statements.move_to_end(key)
        return prepared

    async def prepare(self, sql: str, formats: Formats) -> PreparedStatement:
        """Return the cached prepared statement, or prepare and cache it."""
        prepared = self.cached_statement(sql, formats)
        if prepared is not None:
            return prepared
        key = (sql, formats)
        self._require_open()
        self._conn.use_formats(formats)
        state = await self._conn._get_statement(sql, None, named=True, use_cache=False)
        state.attach()
        prepared = _describe_prepared(state, formats)
        self._statements[key] = prepared
        if len(self._statements) > _STATEMENT_CACHE_SIZE:
            self._release_statement(self._statements.popitem(last=False)[1])
        return prepared

    def _release_statement(self, prepared: PreparedStatement) -> None:
        prepared.state.detach()
        self._conn._maybe_gc_stmt(prepared.state)

    def forget_statements(self) -> bool:
        """Drop all cached statements; return whether there were any."""
        had_statements = bool(self._statements)
        while self._statements:
            self._release_statement(self._statements.popitem()[1])
        return had_statements

    async def execute(
        self,
        prepared: PreparedStatement,
        params: Parameters,
        limit: int = 0,
        portal: str = "",
    ) -> FetchedRows:
        """Bind and execute; fetch at most `limit` rows, or all if `limit` is 0."""
        args = _convert_arguments(prepared, params)
        rows, status, _ = await self._protocol.bind_execute(
            prepared.state, args, portal, limit, True, None
        )
        return FetchedRows(rows or (), status.decode() if status else None)

    async def fetch(
        self, prepared: PreparedStatement, portal: str, limit: int
    ) -> FetchedRows:
        """Fetch up to `limit` more rows of a portal opened by `execute`."""
        rows, status, _ = await self._protocol.execute(
            prepared.state, portal, limit, True, None
        )
        return FetchedRows(rows or (), status.decode() if status else None)

    async def close_portal(self, portal: str) -> None:
        """Close a portal whose rows are not all fetched."""
        await self._protocol.close_portal(portal, None)

    def new_portal(self) -> str:
        """Return a portal name that is unused on this connection."""
        self._portals += 1
        return f"rr{self._portals}"


def update_variables(
    variables: dict[str, str], changes: t.Mapping[str, str | None]
) -> None:
    """Set the changed variables, and remove those that were reset."""
    for name, value in changes.items():
        if value is None:
            variables.pop(name, None)
        else:
            variables[name] = value


def _describe_prepared(state: t.Any, formats: Formats) -> PreparedStatement:
    format_by_oid = dict(formats[1])
    oids = tuple(param_type.oid for param_type in state._get_parameters())
    columns = tuple(
        Column(attribute.name, attribute.type.oid)
        for attribute in state._get_attributes()
    )
    param_formats = tuple(format_by_oid.get(oid, formats[0]) for oid in oids)
    return PreparedStatement(state, Description(oids, columns), param_formats)


def _convert_arguments(
    prepared: PreparedStatement, params: Parameters
) -> t.Sequence[bytes | None]:
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
        convert_format(value, oid, from_format, to_format)
        for value, oid, from_format, to_format in zip(
            params.values, oids, params.formats, prepared.param_formats, strict=True
        )
    ]
