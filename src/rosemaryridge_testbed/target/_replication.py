"""Stream the log to replicas and receive it from a primary."""

import asyncio
import struct
import time
import typing as t

import msgspec

from rosemaryridge.model import Endpoint
from rosemaryridge.model import Role
from rosemaryridge_testbed.target._log import Entry
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._transaction import TargetContext

_HEARTBEAT_INTERVAL_S = 0.05
_RECONNECT_DELAY_S = 0.05
_STREAM_TIMEOUT_S = 2.0
_BATCH_ENTRIES = 500
_PROTOCOL_VERSION = 196608


class Hello(msgspec.Struct, frozen=True):
    """Open a stream; carries the term of each entry in the replica's log."""

    terms: list[int]


class Start(msgspec.Struct, frozen=True):
    """Start a stream; carries the primary's term and the length of the common log."""

    term: int
    shared: int


class Batch(msgspec.Struct, frozen=True):
    """Carry log entries; an empty batch is a heartbeat."""

    entries: list[Entry]


async def _read_message(reader: asyncio.StreamReader, kind: type) -> t.Any:
    size = struct.unpack("!I", await reader.readexactly(4))[0]
    return msgspec.msgpack.decode(await reader.readexactly(size), type=kind)


def _write_message(writer: asyncio.StreamWriter, message: msgspec.Struct) -> None:
    body = msgspec.msgpack.encode(message)
    writer.write(struct.pack("!I", len(body)) + body)


class Sender:
    """Stream the log to connected replicas."""

    def __init__(self, context: TargetContext):
        self._context = context
        self._member = context.member
        self._log_changed = asyncio.Event()
        self._streams: set[asyncio.StreamWriter] = set()
        self._member.on_change.append(self._log_changed.set)
        self._member.on_fence.append(self._abort_streams)

    def _abort_streams(self) -> None:
        for writer in self._streams:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one replica until it disconnects or this target is fenced."""
        await self._context.resumed.wait()
        hello = await _read_message(reader, Hello)
        member = self._member
        if not member.writable:
            return
        shared = member.log.common_length(hello.terms)
        _write_message(writer, Start(member.promise.term, shared))
        self._streams.add(writer)
        try:
            await self._stream(writer, shared)
        finally:
            self._streams.discard(writer)

    async def _stream(self, writer: asyncio.StreamWriter, sent: int) -> None:
        while self._member.writable and not writer.is_closing():
            await self._context.resumed.wait()
            entries = self._member.log.entries[sent : sent + _BATCH_ENTRIES]
            _write_message(writer, Batch(entries))
            await writer.drain()
            sent += len(entries)
            if sent == len(self._member.log.entries):
                await self._wait_for_entries()

    async def _wait_for_entries(self) -> None:
        self._log_changed.clear()
        try:
            await asyncio.wait_for(self._log_changed.wait(), _HEARTBEAT_INTERVAL_S)
        except TimeoutError:
            return


class Receiver:
    """Follow the primary: receive and apply entries, each with its own lag.

    `routes` maps a primary's public endpoint to the one that this replica connects to.
    """

    def __init__(self, context: TargetContext, routes: t.Mapping[str, str]):
        self._context = context
        self._member: Member = context.member
        self._routes = routes
        self._follow_task: asyncio.Task | None = None
        self._received = asyncio.Event()
        self._member.on_fence.append(self._restart)
        self._apply_task = asyncio.ensure_future(self._apply())

    def start(self) -> None:
        """Follow the member's current upstream."""
        self._restart()

    def stop(self) -> None:
        """Cancel the stream and the apply task."""
        self._apply_task.cancel()
        if self._follow_task is not None:
            self._follow_task.cancel()

    def _restart(self) -> None:
        if self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None
        promise = self._member.promise
        if promise.role is Role.REPLICA and promise.fenced_term <= promise.term:
            self._follow_task = asyncio.ensure_future(self._follow(promise.upstream))

    async def _follow(self, upstream: str) -> None:
        address = Endpoint.parse(self._routes.get(upstream, upstream))
        while True:
            try:
                await self._connect(address)
            except (OSError, EOFError, TimeoutError, msgspec.MsgspecError):
                await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _connect(self, address: Endpoint) -> None:
        opening = asyncio.open_connection(address.host, address.port)
        reader, writer = await asyncio.wait_for(opening, _STREAM_TIMEOUT_S)
        try:
            _write_startup_message(writer)
            _write_message(writer, Hello(self._member.log.terms()))
            start = await asyncio.wait_for(
                _read_message(reader, Start), _STREAM_TIMEOUT_S
            )
            if start.term != self._member.promise.term:
                raise EOFError
            self._member.rewind(start.shared)
            await self._receive(reader)
        finally:
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        batches: asyncio.Queue[tuple[float, list[Entry]]] = asyncio.Queue()
        store_task = asyncio.ensure_future(self._store(batches))
        try:
            while True:
                batch = await asyncio.wait_for(
                    _read_message(reader, Batch), _STREAM_TIMEOUT_S
                )
                await self._context.resumed.wait()
                now = time.monotonic()
                self._member.last_heard_at = now
                batches.put_nowait((now, batch.entries))
        finally:
            store_task.cancel()

    async def _store(self, batches: asyncio.Queue) -> None:
        while True:
            at, entries = await batches.get()
            lag_s = self._context.knobs.receive_lag_ms / 1000.0
            await asyncio.sleep(max(at + lag_s - time.monotonic(), 0.0))
            for entry in entries:
                self._member.log.append(entry)
            if entries:
                self._received.set()

    async def _apply(self) -> None:
        while True:
            await self._received.wait()
            self._received.clear()
            await self._apply_pending()

    async def _apply_pending(self) -> None:
        member = self._member
        while not member.rewinding and member.applied_lsn < len(member.log.entries):
            lsn = len(member.log.entries)
            await asyncio.sleep(self._context.knobs.apply_lag_ms / 1000.0)
            await self._context.resumed.wait()
            if member.promise.role is Role.REPLICA:
                member.apply(min(lsn, len(member.log.entries)))


def _write_startup_message(writer: asyncio.StreamWriter) -> None:
    body = struct.pack("!I", _PROTOCOL_VERSION) + b"replication\0true\0\0"
    writer.write(struct.pack("!I", len(body) + 4) + body)
