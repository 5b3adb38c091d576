"""Buffer the messages from and to one caller."""

import asyncio
import struct

from pg_mimic.stream import ConnectionClosed
from pg_mimic.stream import PgStream

# Tag that replaces an oversized message; the payload is the original tag.
OVERSIZED = b"\x00"

_HEADER = struct.Struct("!ci")
_HEADER_BYTES = 5
_READ_CHUNK_BYTES = 65_536
_STARTUP_LIMIT_BYTES = 10_000
# Up to this many unsent bytes, writing does not wait for the caller to read.
_UNSENT_LIMIT_BYTES = 32_768


class CallerStream(PgStream):
    """Skip oversized messages and batch answers into as few writes as possible."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_message_bytes: int,
    ):
        super().__init__(reader, writer)
        self._max_message_bytes = max_message_bytes
        self._unread = bytearray()
        self._read_offset = 0
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0

    async def read_startup_packet(self) -> tuple[int, bytes]:
        """Return the code and the payload of a startup packet, which has no tag."""
        length, code = struct.unpack("!iI", await self._read_exactly(8))
        if not 8 <= length <= _STARTUP_LIMIT_BYTES:
            raise ConnectionClosed
        return code, await self._read_exactly(length - 8)

    async def read_message(self) -> tuple[bytes, bytes]:
        """Return the tag and payload of the next message.

        An oversized message is skipped and returned as OVERSIZED with its tag.
        """
        while len(self._unread) - self._read_offset < _HEADER_BYTES:
            await self._read_chunk()
        tag, length = _HEADER.unpack_from(self._unread, self._read_offset)
        self._read_offset += _HEADER_BYTES
        size = length - 4
        if size < 0:
            raise ConnectionClosed
        if size > self._max_message_bytes:
            await self._skip_bytes(size)
            return OVERSIZED, tag
        return tag, await self._read_exactly(size) if size else b""

    def has_unread(self) -> bool:
        """Return whether bytes from the caller are buffered but not yet read."""
        return len(self._unread) > self._read_offset or bool(self.reader._buffer)

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._unread) - self._read_offset < size:
            await self._read_chunk()
        end = self._read_offset + size
        data = bytes(self._unread[self._read_offset : end])
        self._read_offset = end
        return data

    async def _skip_bytes(self, size: int) -> None:
        while (available := len(self._unread) - self._read_offset) < size:
            size -= available
            self._read_offset = len(self._unread)
            await self._read_chunk()
        self._read_offset += size

    async def _read_chunk(self) -> None:
        if self._read_offset:
            del self._unread[: self._read_offset]
            self._read_offset = 0
        try:
            data = await self.reader.read(_READ_CHUNK_BYTES)
        except ConnectionError as exc:
            raise ConnectionClosed from exc
        if not data:
            raise ConnectionClosed
        self._unread += data

    def write(self, data: bytes) -> None:
        """Buffer data until the next `flush` or `drain`."""
        self._unsent.append(data)
        self._unsent_bytes += len(data)

    def flush(self) -> None:
        """Pass buffered data to the transport."""
        if self._unsent:
            self.writer.write(b"".join(self._unsent))
            self._unsent.clear()
            self._unsent_bytes = 0

    async def drain(self) -> None:
        """Flush; wait for the transport to drain if it buffers more than the limit."""
        self.flush()
        if self.writer.transport.get_write_buffer_size() > _UNSENT_LIMIT_BYTES:
            await self.writer.drain()

    async def drain_above_limit(self) -> None:
        """Drain if more bytes are buffered than the limit."""
        if self._unsent_bytes > _UNSENT_LIMIT_BYTES:
            await self.drain()
