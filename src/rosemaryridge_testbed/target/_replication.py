"""Send the log to replicas and take it from a primary."""

import asyncio
import struct
import time
import typing as t

import msgspec

from rosemaryridge.model import Endpoint
from rosemaryridge.model import Role
from rosemaryridge_testbed.target._log import Entry
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._transaction import Host

_HEARTBEAT_S = 0.05
_RECONNECT_S = 0.05
_SILENT_S = 2.0
_BATCH_ENTRIES = 500
_PROTOCOL = 196608


class Hello(msgspec.Struct, frozen=True):
    """Open a stream with the term of each entry that the replica holds."""

    terms: list[int]


class Start(msgspec.Struct, frozen=True):
    """Tell the primary's term and how many entries the replica may keep."""

    term: int
    shared: int


class Batch(msgspec.Struct, frozen=True):
    """Carry entries; without any it is a heartbeat."""

    entries: list[Entry]


async def _read(reader: asyncio.StreamReader, kind: type) -> t.Any:
    size = struct.unpack("!I", await reader.readexactly(4))[0]
    return msgspec.msgpack.decode(await reader.readexactly(size), type=kind)


def _write(writer: asyncio.StreamWriter, message: msgspec.Struct) -> None:
    body = msgspec.msgpack.encode(message)
    writer.write(struct.pack("!I", len(body)) + body)


class Sender:
    """Stream the log to the replicas that ask for it."""

    def __init__(self, host: Host):
        self._host = host
        self._member = host.member
        self._grown = asyncio.Event()
        self._streams: set[asyncio.StreamWriter] = set()
        self._member.on_change.append(self._grown.set)
        self._member.on_fence.append(self._stop)

    def _stop(self) -> None:
        for writer in self._streams:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one replica until it leaves or this target is fenced."""
        await self._host.resumed.wait()
        hello = await _read(reader, Hello)
        member = self._member
        if not member.writable:
            return
        shared = member.log.shared(hello.terms)
        _write(writer, Start(member.promise.term, shared))
        self._streams.add(writer)
        try:
            await self._stream(writer, shared)
        finally:
            self._streams.discard(writer)

    async def _stream(self, writer: asyncio.StreamWriter, sent: int) -> None:
        while self._member.writable and not writer.is_closing():
            await self._host.resumed.wait()
            entries = self._member.log.entries[sent : sent + _BATCH_ENTRIES]
            _write(writer, Batch(entries))
            await writer.drain()
            sent += len(entries)
            if sent == len(self._member.log.entries):
                await self._wait()

    async def _wait(self) -> None:
        self._grown.clear()
        try:
            await asyncio.wait_for(self._grown.wait(), _HEARTBEAT_S)
        except TimeoutError:
            return


class Receiver:
    """Follow the primary: receive, then apply, each with a lag of its own.

    `routes` maps a primary's public endpoint to the one that this replica dials.
    """

    def __init__(self, host: Host, routes: t.Mapping[str, str]):
        self._host = host
        self._member: Member = host.member
        self._routes = routes
        self._stream: asyncio.Task | None = None
        self._received = asyncio.Event()
        self._member.on_fence.append(self._restart)
        self._applying = asyncio.ensure_future(self._apply())

    def start(self) -> None:
        """Follow the upstream that the member has now."""
        self._restart()

    def stop(self) -> None:
        """End the stream and the applying."""
        self._applying.cancel()
        if self._stream is not None:
            self._stream.cancel()

    def _restart(self) -> None:
        if self._stream is not None:
            self._stream.cancel()
            self._stream = None
        promise = self._member.promise
        if promise.role is Role.REPLICA and promise.fenced_term <= promise.term:
            self._stream = asyncio.ensure_future(self._follow(promise.upstream))

    async def _follow(self, upstream: str) -> None:
        address = Endpoint.parse(self._routes.get(upstream, upstream))
        while True:
            try:
                await self._connect(address)
            except (OSError, EOFError, TimeoutError, msgspec.MsgspecError):
                await asyncio.sleep(_RECONNECT_S)

    async def _connect(self, address: Endpoint) -> None:
        dialing = asyncio.open_connection(address.host, address.port)
        reader, writer = await asyncio.wait_for(dialing, _SILENT_S)
        try:
            _write_startup(writer)
            _write(writer, Hello(self._member.log.terms()))
            start = await asyncio.wait_for(_read(reader, Start), _SILENT_S)
            if start.term != self._member.promise.term:
                raise EOFError
            self._member.rewind(start.shared)
            await self._receive(reader)
        finally:
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        arrived: asyncio.Queue[tuple[float, list[Entry]]] = asyncio.Queue()
        storing = asyncio.ensure_future(self._store(arrived))
        try:
            while True:
                batch = await asyncio.wait_for(_read(reader, Batch), _SILENT_S)
                await self._host.resumed.wait()
                now = time.monotonic()
                self._member.heard_at = now
                arrived.put_nowait((now, batch.entries))
        finally:
            storing.cancel()

    async def _store(self, arrived: asyncio.Queue) -> None:
        while True:
            at, entries = await arrived.get()
            lag_s = self._host.knobs.receive_lag_ms / 1000.0
            await asyncio.sleep(max(at + lag_s - time.monotonic(), 0.0))
            for entry in entries:
                self._member.log.append(entry)
            if entries:
                self._received.set()

    async def _apply(self) -> None:
        while True:
            await self._received.wait()
            self._received.clear()
            await self._apply_due()

    async def _apply_due(self) -> None:
        member = self._member
        while not member.rewinding and member.applied_lsn < len(member.log.entries):
            lsn = len(member.log.entries)
            await asyncio.sleep(self._host.knobs.apply_lag_ms / 1000.0)
            await self._host.resumed.wait()
            if member.promise.role is Role.REPLICA:
                member.apply(min(lsn, len(member.log.entries)))


def _write_startup(writer: asyncio.StreamWriter) -> None:
    body = struct.pack("!I", _PROTOCOL) + b"replication\0true\0\0"
    writer.write(struct.pack("!I", len(body) + 4) + body)
