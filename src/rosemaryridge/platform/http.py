"""Call and serve the platform's HTTP interfaces."""

import asyncio
import typing as t

import httptools

from rosemaryridge.core import enable_keepalive
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint

# The platform's balancer probes this path before it sends callers to the proxy.
READINESS_PATH = "/rosemaryridge/readiness"


class HttpResponse(t.NamedTuple):
    """Hold a response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClientConnection(asyncio.Protocol):
    """Send one request at a time over a persistent connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[HttpResponse] | None = None
        self._parser: httptools.HttpResponseParser | None = None

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._transport is not None and self._pending is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keepalive on the connection."""
        self._transport = t.cast(asyncio.Transport, transport)
        enable_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._transport = None
        self._fail_pending("the connection was closed")

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the response parser."""
        if self._parser is None:
            return self.close()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail_pending(f"the response is malformed: {exc}")
            self.close()

    async def request(self, head: bytes, body: bytes, timeout_s: float) -> HttpResponse:
        """Send a request; raise StoreUnavailable if no response arrives in time."""
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
            raise StoreUnavailable(f"no response within {timeout_s:g} s") from None
        finally:
            if self._pending is not None:
                # A late response must not be matched to the next request.
                self._pending = None
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a response header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Store a part of the response body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the pending request with the parsed response."""
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
            pending.set_result(
                HttpResponse(status, self._headers, b"".join(self._body))
            )

    def _fail_pending(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(StoreUnavailable(reason))


class HttpClient:
    """Call one endpoint over persistent connections."""

    def __init__(self, endpoint: Endpoint, connect_timeout_s: float):
        self._endpoint = endpoint
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[HttpClientConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: t.Mapping[str, str] | None = None,
        timeout_s: float = 1.0,
        before_sending: t.Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Send one request and return its response; raise StoreUnavailable.

        `before_sending` may raise, once a connection is open, to send nothing.
        """
        connection = await self._acquire()
        if before_sending is not None:
            try:
                before_sending()
            except BaseException:
                self._idle.append(connection)
                raise
        head = self._encode_head(method, path, body, headers or {})
        try:
            answer = await connection.request(head, body, timeout_s)
        except BaseException:
            # The idle connections may have fallen silent too.
            self.close()
            raise
        if connection.usable:
            self._idle.append(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _acquire(self) -> HttpClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        loop = asyncio.get_running_loop()
        address = (self._endpoint.host, self._endpoint.port)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    HttpClientConnection, *address
                )
        except (OSError, TimeoutError) as exc:
            text = f"cannot connect to {self._endpoint}: {exc or type(exc).__name__}"
            raise StoreUnavailable(text) from exc
        return connection

    def _encode_head(
        self, method: str, path: str, body: bytes, headers: t.Mapping[str, str]
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._endpoint}"]
        if body or method in ("POST", "PUT"):
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


PageHandler = t.Callable[[], tuple[int, bytes]]


class HttpServer:
    """Serve GET requests by path."""

    def __init__(self, handlers: t.Mapping[str, PageHandler]):
        self._handlers = handlers
        self._server: asyncio.Server | None = None

    async def start(self, endpoint: Endpoint) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self._handlers), endpoint.host, endpoint.port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class _ServerConnection(asyncio.Protocol):
    def __init__(self, handlers: t.Mapping[str, PageHandler]):
        self._handlers = handlers
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for answers."""
        self._transport = t.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the request parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Store a part of the requested path."""
        self._path += url

    def on_message_complete(self) -> None:
        """Answer a complete request."""
        path, self._path = self._path.decode("latin-1").partition("?")[0], b""
        handler = self._handlers.get(path)
        status, body = handler() if handler is not None else (404, b"")
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)
        if not self._parser.should_keep_alive():
            self._transport.close()
