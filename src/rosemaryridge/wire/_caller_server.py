"""Accept and authenticate callers and start their sessions."""

import asyncio
import dataclasses
import secrets
import socket
import struct
import typing as t

from pg_mimic import messages
from pg_mimic.server import PgServer
from pg_mimic.stream import ConnectionClosed
from pg_mimic.stream import PgStream

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire._caller_connection import CallerConnection
from rosemaryridge.wire._caller_session import CallerSession
from rosemaryridge.wire._caller_stream import CallerStream
from rosemaryridge.wire._scram import Verifier
from rosemaryridge.wire._scram import VerifierAuth
from rosemaryridge.wire._scram import unknown_verifier

_PROTOCOL_MAJOR_VERSION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the callers of one proxy and the size of their messages."""

    max_callers: int = 10_000
    max_message_bytes: int = 16 * 1024 * 1024
    login_timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLogin:
    """Store the parameters of a caller's startup message."""

    user: str
    database: str
    options: tuple[tuple[str, str], ...] = ()
    replication: bool = False


class SessionFactory(t.Protocol):
    """Look up accounts and create the sessions of callers."""

    def verifier(self, login: CallerLogin) -> Verifier | None:
        """Return the account's verifier, or None for an unknown account."""

    def open(self, login: CallerLogin, connection: CallerConnection) -> CallerSession:
        """Return a session for an authenticated caller."""

    def check(self, login: CallerLogin) -> None:
        """Raise Refusal if the login cannot be served."""

    def refused(self, login: CallerLogin | None, refusal: Refusal) -> None:
        """Count a refused login."""


class CallerServer(PgServer):
    """Listen for callers, authenticate them and serve their connections."""

    def __init__(
        self,
        factory: SessionFactory,
        limits: CallerLimits,
        server_version: str = "16.0",
    ):
        super().__init__(session_factory=None, server_version=server_version)
        self._factory = factory
        self._limits = limits
        self._secret = secrets.token_bytes(32)
        self._draining = False
        self._connections: dict[int, CallerConnection] = {}

    @property
    def callers(self) -> int:
        """Return the number of authenticated callers."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.sockets[0].getsockname()[1]

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply other limits to new connections; open ones keep theirs."""
        self._limits = limits

    def drain(self) -> None:
        """Accept no new callers and close each connection outside a transaction."""
        self._draining = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections.values()):
            connection.close_when_idle()

    async def drained(self, poll_s: float = 0.02) -> None:
        """Wait until every caller's connection is closed; poll every `poll_s`."""
        while self._connections:
            await asyncio.sleep(poll_s)

    async def _handle_client(self, reader, writer) -> None:
        _set_socket_options(writer)
        stream = CallerStream(reader, writer, self._limits.max_message_bytes)
        try:
            async with asyncio.timeout(self._limits.login_timeout_s):
                connection = await self._log_in(stream)
        except (ConnectionClosed, TimeoutError, ConnectionError):
            return
        if connection is None:
            return
        self._connections[connection.pid] = connection
        try:
            await connection.serve()
        finally:
            self._connections.pop(connection.pid, None)

    async def _log_in(self, stream: PgStream) -> CallerConnection | None:
        params = await self._negotiate_startup(stream)
        if params is None:
            return None
        login = _parse_login(params)
        pid, secret = self._allocate_pid(), _random_int32()
        connection = CallerConnection(stream, None, self, pid, secret, params)
        try:
            self._check_admission(login)
            verifier = self._factory.verifier(login)
            plugin = VerifierAuth(
                verifier or unknown_verifier(login.user, self._secret)
            )
            if not await plugin.authenticate(stream, login.user, None):
                text = f'password authentication failed for user "{login.user}"'
                raise Refusal(codes.caller.WRONG_ACCOUNT, text)
            connection.session = self._factory.open(login, connection)
        except Refusal as exc:
            self._factory.refused(login, exc)
            await connection.refuse(exc)
            return None
        return connection

    def _check_admission(self, login: CallerLogin) -> None:
        if self._draining:
            raise Refusal(codes.caller.SHUTTING_DOWN)
        if len(self._connections) >= self._limits.max_callers:
            raise Refusal(codes.caller.TOO_MANY_CALLERS, retry_after_s=1.0)
        self._factory.check(login)

    async def _negotiate_startup(self, stream: PgStream) -> dict[str, str] | None:
        code, payload = await stream.read_startup_packet()
        while code in (messages.SSL_REQUEST_CODE, messages.GSSENC_REQUEST_CODE):
            stream.write(b"N")
            await stream.drain()
            code, payload = await stream.read_startup_packet()
        if code == messages.CANCEL_REQUEST_CODE:
            if len(payload) == 8:
                self.cancel(*messages.parse_cancel_request(payload))
            return None
        if code >> 16 != _PROTOCOL_MAJOR_VERSION:
            raise ConnectionClosed
        try:
            return messages.parse_startup_message(payload)
        except (ValueError, IndexError) as exc:
            raise ConnectionClosed from exc


def _parse_login(params: dict[str, str]) -> CallerLogin:
    user = params.get("user", "")
    consumed = ("user", "database", "replication", "options")
    options = tuple(item for item in params.items() if item[0] not in consumed)
    replication = params.get("replication", "off") not in ("", "off", "false", "0")
    return CallerLogin(user, params.get("database", user), options, replication)


def _random_int32() -> int:
    return struct.unpack("!i", secrets.token_bytes(4))[0]


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
