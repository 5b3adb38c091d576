"""Call and serve the platform's HTTP interfaces."""

import asyncio
import socket
import typing as t

import httptools

from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint

# Where the platform's balancer asks whether callers are welcome.
READINESS_PATH = "/rosemaryridge/readiness"
# A dead or cut peer is noticed by TCP itself: first probe, gap and count.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_GAP_S = 1
_KEEPALIVE_PROBES = 3
# Unacknowledged data ends a connection after this; as long as the probes take.
_USER_TIMEOUT_MS = 5000


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Let TCP notice a peer that is gone without a word."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_GAP_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


class HttpAnswer(t.NamedTuple):
    """Hold a response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpConnection(asyncio.Protocol):
    """Send one request at a time over a connection that is kept."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[HttpAnswer] | None = None
        self._parser: httptools.HttpResponseParser | None = None

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._transport is not None and self._pending is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the opened connection."""
        self._transport = t.cast(asyncio.Transport, transport)
        keep_alive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what the connection was doing."""
        self._transport = None
        self._fail("the connection was closed")

    def data_received(self, data: bytes) -> None:
        """Take in what the peer sent."""
        if self._parser is None:
            return self.close()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"the response is malformed: {exc}")
            self.close()

    async def request(self, head: bytes, body: bytes, timeout_s: float) -> HttpAnswer:
        """Send a request; raise StoreUnavailable where no answer came in time."""
        if self._transport is None:
            raise StoreUnavailable("the connection was closed")
        self._pending = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._transport.write(head + body)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._pending
        except TimeoutError:
            raise StoreUnavailable(f"no answer within {timeout_s:g} s") from None
        finally:
            if self._pending is not None:
                # An answer that still comes belongs to no request.
                self._pending = None
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header from the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body from the parser."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take the end of a response from the parser."""
        parser, pending = self._parser, self._pending
        if parser is None or pending is None:
            return
        status = parser.get_status_code()
        if status < 200:
            return
        self._pending = self._parser = None
        if not parser.should_keep_alive():
            self.close()
        if not pending.done():
            pending.set_result(HttpAnswer(status, self._headers, b"".join(self._body)))

    def _fail(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(StoreUnavailable(reason))


class HttpClient:
    """Call one address over kept connections."""

    def __init__(self, endpoint: Endpoint, connect_timeout_s: float):
        self._endpoint = endpoint
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: t.Mapping[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> HttpAnswer:
        """Return the answer to one call; raise StoreUnavailable."""
        connection = await self._take()
        head = self._head(method, path, body, headers or {})
        answer = await connection.request(head, body, timeout_s)
        if connection.usable:
            self._idle.append(connection)
        return answer

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _take(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        loop = asyncio.get_running_loop()
        where = (self._endpoint.host, self._endpoint.port)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(HttpConnection, *where)
        except (OSError, TimeoutError) as exc:
            text = f"connecting to {self._endpoint}: {exc or type(exc).__name__}"
            raise StoreUnavailable(text) from exc
        return connection

    def _head(
        self, method: str, path: str, body: bytes, headers: t.Mapping[str, str]
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._endpoint}"]
        if body or method in ("POST", "PUT"):
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


Page = t.Callable[[], tuple[int, bytes]]


class HttpServer:
    """Answer GET requests from a table of pages."""

    def __init__(self, pages: t.Mapping[str, Page]):
        self._pages = pages
        self._server: asyncio.Server | None = None

    async def start(self, endpoint: Endpoint) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self._pages), endpoint.host, endpoint.port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class _ServerConnection(asyncio.Protocol):
    def __init__(self, pages: t.Mapping[str, Page]):
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the opened connection."""
        self._transport = t.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Take in what the peer sent."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Take the path from the parser."""
        self._path += url

    def on_message_complete(self) -> None:
        """Answer a whole request."""
        path, self._path = self._path.decode("latin-1").partition("?")[0], b""
        page = self._pages.get(path)
        status, body = page() if page is not None else (404, b"")
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)
        if not self._parser.should_keep_alive():
            self._transport.close()
