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
from rosemaryridge.core import enable_keepalive
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import wire

# Reading from a caller pauses while more messages or bytes than this are queued.
_MAX_PENDING = 64
_MAX_PENDING_BYTES = 262_144
# Descriptors not available to callers: files, which the platform counts as 200, and
# connections to the store, targets and probes.
_RESERVED_DESCRIPTORS = 300
# All callers of a VM may reconnect at the same time after a restart.
_LISTEN_BACKLOG = 1024
# After SET or PREPARE, a caller sends the next statement within one round trip.
_NEXT_STATEMENT_S = 0.15
# An operation is what a caller repeats as a whole: a transaction or a single statement,
# with the statements that prepare it. After one of these verbs it is not complete.
_OPERATION_OPENING_VERBS = (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE, Verb.BEGIN)


class CallerConnection(asyncio.Protocol):
    """Answer the messages of one caller connection in order."""

    def __init__(self, server: "CallerServer"):
        self._server = server
        self._reader = wire.LineReader()
        self._pending: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._caller: Caller | None = None
        self._serve_task: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        # Whether the shutdown notice was sent and no request has arrived since.
        self._notice_sent = False
        # Loop time when the session opened or its last statement was answered.
        self._idle_since = asyncio.get_running_loop().time()
        self._between_operations = False
        self._last_refused = False

    def can_send_shutdown_notice(self, now: float) -> bool:
        """Return whether the caller is between two operations and not yet notified.

        An operation may begin with SET or PREPARE; its statement follows at once.
        """
        busy = self._serve_task is not None or self._pending
        if busy or self._notice_sent or self._caller is None:
            return False
        if self._caller.state is not TransactionState.IDLE:
            return False
        return self._between_operations or now - self._idle_since > _NEXT_STATEMENT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keepalive and enforce the connection limit."""
        self._transport = t.cast(asyncio.Transport, transport)
        enable_keepalive(transport)
        self._server.connections.add(self)
        if len(self._server.connections) > self._server.limit:
            self._write(wire.encode_failure(Failure.BUSY, "too many callers"))
            self._close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop queued messages and end the session once no answer is in progress."""
        self._transport = None
        self._server.connections.discard(self)
        self.resume_writing()
        self._pending.clear()
        if self._serve_task is None and self._caller is not None:
            self._caller.close()

    def data_received(self, data: bytes) -> None:
        """Queue complete messages and start answering them."""
        try:
            self._pending.extend(self._reader.feed(data))
        except wire.MessageTooLarge as exc:
            self._write(wire.encode_failure(Failure.TOO_LARGE, str(exc)))
            return self._close()
        if self._is_over_limit() and self._transport is not None:
            self._transport.pause_reading()
        if self._serve_task is None and self._pending:
            self._serve_task = asyncio.get_running_loop().create_task(self._serve())
        return None

    def pause_writing(self) -> None:
        """Hold back answers while the peer reads too slowly."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume sending answers."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def _is_over_limit(self) -> bool:
        if len(self._pending) > _MAX_PENDING:
            return True
        return sum(map(len, self._pending)) > _MAX_PENDING_BYTES

    def close_if_revoked(self) -> None:
        """Close an idle session whose key may not be used any more."""
        if self._serve_task is not None or self._pending or self._caller is None:
            return
        idle = self._caller.state is TransactionState.IDLE
        if idle and not self._caller.authorized:
            self._close()

    def send_shutdown_notice(self) -> None:
        """Ask an idle caller to reconnect to another proxy.

        A request that is already in transit receives the notice as its answer and
        is not executed.
        """
        self._notice_sent = True
        detail = f"{self._server.shutdown_reason}; retry after 0 ms"
        self._write(wire.encode_failure(Failure.BUSY, detail))

    def end_statement(self) -> bool:
        """Answer the statement that is being served; return whether there is one."""
        return self._caller is not None and self._caller.end_statement()

    def close(self) -> None:
        """Close the connection."""
        self._close()

    async def _serve(self) -> None:
        try:
            while self._pending and self._transport is not None:
                line = self._pending.popleft()
                if not self._is_over_limit():
                    self._transport.resume_reading()
                data = await self._answer(line)
                self._write(data)
                if self._writable is not None:
                    await self._writable
        finally:
            self._serve_task = None
            if self._transport is None and self._caller is not None:
                self._caller.close()
        self._server.on_idle(self, self._last_refused)

    async def _answer(self, line: bytes) -> bytes:
        try:
            message = wire.decode_request(line)
        except wire.MalformedMessage as exc:
            return self._reject(str(exc))
        if isinstance(message, wire.Terminate):
            self._close()
            return b""
        if self._notice_sent:
            return self._complete_notice()
        if isinstance(message, wire.Open):
            return await self._open_session(message)
        if self._caller is None:
            return self._reject("expected START before any other message")
        try:
            statement = wire.decode_statement(message.id, message.text)
        except wire.MalformedMessage as exc:
            return wire.encode_answer(self._caller.malformed_answer(str(exc)))
        answer = await self._caller.serve(statement)
        self._record_idle(
            between_operations=statement.verb not in _OPERATION_OPENING_VERBS
        )
        self._last_refused = answer.failure is Failure.BUSY
        return wire.encode_answer(answer)

    def _complete_notice(self) -> bytes:
        """Answer a request that was sent before the shutdown notice arrived.

        The notice was an ERROR without READY; READY follows now, so that both answer
        the request. The session stays open; the caller repeats the operation on this
        connection.
        """
        self._notice_sent = False
        self._record_idle(between_operations=False)
        self._server.proxy.log.write("request_crossed_farewell")
        return wire.encode_ready(TransactionState.IDLE)

    def _record_idle(self, between_operations: bool) -> None:
        self._between_operations = between_operations
        self._idle_since = asyncio.get_running_loop().time()

    async def _open_session(self, message: wire.Open) -> bytes:
        if self._caller is not None:
            return self._reject(
                "START received on an open session; use a new connection"
            )
        self._record_idle(between_operations=False)
        try:
            self._caller = await self._server.proxy.open(message.database, message.key)
        except StatementError as exc:
            self._write(wire.encode_failure(exc.failure, exc.detail))
            self._close()
            return b""
        return wire.encode_ready(TransactionState.IDLE)

    def _reject(self, detail: str) -> bytes:
        if self._caller is not None:
            return wire.encode_answer(self._caller.malformed_answer(detail))
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
    """Accept caller connections and notify callers when the proxy stops."""

    def __init__(self, proxy: Proxy, descriptors: int):
        self.proxy = proxy
        self.limit = max(1, descriptors - _RESERVED_DESCRIPTORS)
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False
        # Whether this proxy reaches neither the store nor some primary or target; other
        # proxies may serve what it refuses.
        self.isolated = False

    async def start(self, endpoint: Endpoint) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            endpoint.host,
            endpoint.port,
            backlog=_LISTEN_BACKLOG,
        )

    @property
    def shutdown_reason(self) -> str:
        """Return why callers are asked to reconnect elsewhere."""
        return "the proxy is " + ("stopping" if self._draining else "cut off")

    def drain(self) -> None:
        """Send each caller the shutdown notice once it is between two operations.

        New connections are still accepted and served one operation, because the
        balancer sent them to this proxy.
        """
        self._draining = True
        self.send_shutdown_notices()

    def send_shutdown_notices(self) -> None:
        """Send the shutdown notice to callers that are between two operations."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.can_send_shutdown_notice(now):
                connection.send_shutdown_notice()

    def close_revoked(self) -> None:
        """Close the idle sessions whose keys were taken away."""
        for connection in list(self.connections):
            connection.close_if_revoked()

    def on_idle(self, connection: CallerConnection, refused: bool) -> None:
        """Send the shutdown notice if the connection's caller should reconnect.

        `refused` is whether the last answer was BUSY: a caller repeats such an
        operation on the same session unless the session ends.
        """
        now = asyncio.get_running_loop().time()
        should_notify = self._draining or refused and self.isolated
        if should_notify and connection.can_send_shutdown_notice(now):
            connection.send_shutdown_notice()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def end_statements(self) -> int:
        """Answer each statement that is being served; return how many there are."""
        return sum(connection.end_statement() for connection in self.connections)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.close()
