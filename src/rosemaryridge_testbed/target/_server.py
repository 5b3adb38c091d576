"""Serve PostgreSQL's protocol for one target."""

import asyncio
import dataclasses
import typing as t

from pg_mimic import PgServer
from pg_mimic import messages
from pg_mimic.stream import ConnectionClosed
from pg_mimic.stream import PgStream

from rosemaryridge_testbed.target._commands import Commands
from rosemaryridge_testbed.target._connection import TargetConnection
from rosemaryridge_testbed.target._session import TargetSession
from rosemaryridge_testbed.target._transaction import TargetContext

CONTROL_NAME = "rosemaryridge-control"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOptions:
    """Configure one target process."""

    name: str
    host: str
    port: int
    admin_port: int
    term: int = 1
    follow: str = ""
    data_dir: str = ""
    routes: tuple[tuple[str, str], ...] = ()


class TargetServer(PgServer):
    """Accept callers up to the connection limit, and replicas."""

    def __init__(
        self, context: TargetContext, serve_replica: t.Callable[..., t.Awaitable[None]]
    ):
        super().__init__(lambda: TargetSession(Commands(context)))
        self._context = context
        self._serve_replica = serve_replica
        self._callers = 0
        self.peak_callers = 0

    @property
    def callers(self) -> int:
        """Return the number of open caller connections."""
        return self._callers

    async def _handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = PgStream(reader, writer)
        try:
            startup = await self._negotiate_startup(stream)
            if startup is None:
                return
            if "replication" in startup:
                await self._serve_replica(reader, writer)
            else:
                await self._serve_caller(stream, startup)
        except (ConnectionClosed, ConnectionError, OSError):
            return

    async def _serve_caller(self, stream: PgStream, startup: dict[str, str]) -> None:
        await self._context.resumed.wait()
        knobs = self._context.knobs
        await asyncio.sleep(knobs.connect_ms / 1000.0)
        is_control = startup.get("application_name") == CONTROL_NAME
        if self._callers >= knobs.max_connections and not is_control:
            await _reject_connection(stream)
            return
        self._callers += not is_control
        self.peak_callers = max(self.peak_callers, self._callers)
        try:
            await self._run_connection(stream, startup)
        finally:
            self._callers -= not is_control

    async def _run_connection(self, stream: PgStream, startup: dict[str, str]) -> None:
        pid = self._allocate_pid()
        session = self.session_factory()
        conn = TargetConnection(stream, session, self, pid, pid * 7919, startup)
        self._connections[pid] = conn
        try:
            await conn.run()
        finally:
            self._connections.pop(pid, None)


async def _reject_connection(stream: PgStream) -> None:
    fields = {
        "S": "FATAL",
        "V": "FATAL",
        "C": "53300",
        "M": "sorry, too many clients already",
    }
    stream.write(messages.make_error_response(fields))
    await stream.drain()
