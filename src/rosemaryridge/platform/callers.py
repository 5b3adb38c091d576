"""Serve callers over the platform's statement protocol."""

import asyncio
import collections
import typing as t

from rosemaryridge.core import Caller
from rosemaryridge.core import Failure
from rosemaryridge.core import Proxy
from rosemaryridge.core import StatementError
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import wire
from rosemaryridge.platform.http import keep_alive

# Messages that one caller may have waiting before its connection is not read.
_MAX_WAITING = 64
_MAX_WAITING_BYTES = 262_144
# Descriptors that are not for callers: files, which the platform counts as 200, the
# store, targets and probes.
_OTHER_DESCRIPTORS = 300
# Every caller of a VM may come back at once after a restart.
_BACKLOG = 1024
# A caller that has set or prepared something follows within a round trip.
_PREPARING_S = 0.15
_PREPARING = (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE, Verb.BEGIN)


class CallerConnection(asyncio.Protocol):
    """Read one caller's messages and answer them in order."""

    def __init__(self, server: "CallerServer"):
        self._server = server
        self._reader = wire.LineReader()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._caller: Caller | None = None
        self._work: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        # Whether the farewell was sent and nothing has come since.
        self._leaving = False
        # When the session last was between two operations, in loop time.
        self._rests_since = asyncio.get_running_loop().time()
        self._between = False
        self._refused = False

    def can_leave(self, now: float) -> bool:
        """Return whether no operation would be cut in two.

        A caller prepares an operation by SET or PREPARE and sends it at once.
        """
        busy = self._work is not None or self._waiting
        if busy or self._leaving or self._caller is None:
            return False
        if self._caller.state is not TransactionState.IDLE:
            return False
        return self._between or now - self._rests_since > _PREPARING_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the opened connection."""
        self._transport = t.cast(asyncio.Transport, transport)
        keep_alive(transport)
        self._server.connections.add(self)
        if len(self._server.connections) > self._server.limit:
            self._write(wire.encode_failure(Failure.BUSY, "too many callers"))
            self._close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End what the connection was doing."""
        self._transport = None
        self._server.connections.discard(self)
        self.resume_writing()
        self._waiting.clear()
        if self._work is None and self._caller is not None:
            self._caller.leave()

    def data_received(self, data: bytes) -> None:
        """Take in what the peer sent."""
        try:
            self._waiting.extend(self._reader.feed(data))
        except wire.MessageTooLarge as exc:
            self._write(wire.encode_failure(Failure.TOO_LARGE, str(exc)))
            return self._close()
        if self._is_crowded() and self._transport is not None:
            self._transport.pause_reading()
        if self._work is None and self._waiting:
            self._work = asyncio.get_running_loop().create_task(self._serve())
        return None

    def pause_writing(self) -> None:
        """Hold answers back while the peer reads too slowly."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Send answers again."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def _is_crowded(self) -> bool:
        if len(self._waiting) > _MAX_WAITING:
            return True
        return sum(map(len, self._waiting)) > _MAX_WAITING_BYTES

    def leave(self) -> None:
        """Ask an idle caller to come back elsewhere.

        The message answers a request that is on its way, which is then not run.
        """
        self._leaving = True
        detail = f"{self._server.farewell}; retry after 0 ms"
        self._write(wire.encode_failure(Failure.BUSY, detail))

    def cut(self) -> None:
        """Close the connection."""
        self._close()

    async def _serve(self) -> None:
        try:
            while self._waiting and self._transport is not None:
                line = self._waiting.popleft()
                if not self._is_crowded():
                    self._transport.resume_reading()
                data = await self._answer(line)
                self._write(data)
                if self._writable is not None:
                    await self._writable
        finally:
            self._work = None
            if self._transport is None and self._caller is not None:
                self._caller.leave()
        self._server.served(self, self._refused)

    async def _answer(self, line: bytes) -> bytes:
        try:
            message = wire.decode_request(line)
        except wire.MalformedMessage as exc:
            return self._refuse(str(exc))
        if isinstance(message, wire.Terminate):
            self._close()
            return b""
        if self._leaving:
            return self._answer_crossed()
        if isinstance(message, wire.Open):
            return await self._open(message)
        if self._caller is None:
            return self._refuse("START comes first")
        try:
            statement = wire.decode_statement(message.id, message.text)
        except wire.MalformedMessage as exc:
            return wire.encode_answer(self._caller.malformed(str(exc)))
        answer = await self._caller.serve(statement)
        self._rest(between=statement.verb not in _PREPARING)
        self._refused = answer.failure is Failure.BUSY
        return wire.encode_answer(answer)

    def _answer_crossed(self) -> bytes:
        """Complete the farewell as the answer to the request that crossed it.

        The session goes on: its caller repeats the operation here.
        """
        self._leaving = False
        self._rest(between=False)
        self._server.proxy.log.write("request_crossed_farewell")
        return wire.encode_ready(TransactionState.IDLE)

    def _rest(self, between: bool) -> None:
        self._between = between
        self._rests_since = asyncio.get_running_loop().time()

    async def _open(self, message: wire.Open) -> bytes:
        if self._caller is not None:
            return self._refuse("the session is open")
        self._rest(between=False)
        try:
            self._caller = await self._server.proxy.open(message.database)
        except StatementError as exc:
            self._write(wire.encode_failure(exc.failure, exc.detail))
            self._close()
            return b""
        return wire.encode_ready(TransactionState.IDLE)

    def _refuse(self, detail: str) -> bytes:
        if self._caller is not None:
            return wire.encode_answer(self._caller.malformed(detail))
        self._write(wire.encode_failure(Failure.MALFORMED, detail))
        self._close()
        return b""

    def _write(self, data: bytes) -> None:
        if data and self._transport is not None:
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class CallerServer:
    """Listen for callers and let them go when the proxy stops."""

    def __init__(self, proxy: Proxy, descriptors: int):
        self.proxy = proxy
        self.limit = max(1, descriptors - _OTHER_DESCRIPTORS)
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False
        # Whether other proxies can serve what this one refuses.
        self.isolated = False

    async def start(self, endpoint: Endpoint) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            endpoint.host,
            endpoint.port,
            backlog=_BACKLOG,
        )

    @property
    def farewell(self) -> str:
        """Return why callers are sent elsewhere."""
        return "the proxy is " + ("stopping" if self._draining else "cut off")

    def drain(self) -> None:
        """Send callers elsewhere as soon as each is between two operations.

        Those that still come are served once, since they were sent here.
        """
        self._draining = True
        self.send_away()

    def send_away(self) -> None:
        """Send the callers elsewhere that are between two operations."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.can_leave(now):
                connection.leave()

    def served(self, connection: CallerConnection, refused: bool) -> None:
        """Take in that a connection has answered all it was asked.

        A caller repeats a refused operation on the same session unless that ends.
        """
        now = asyncio.get_running_loop().time()
        leaves = self._draining or refused and self.isolated
        if leaves and connection.can_leave(now):
            connection.leave()

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.cut()
