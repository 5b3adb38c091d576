"""Read a caller's messages and gather the answers to them."""

import asyncio
import struct

from pg_mimic.stream import ConnectionClosed
from pg_mimic.stream import PgStream

# Stands for a message that was too large to read; the payload is its type.
OVERSIZED = b"\x00"

_HEAD = struct.Struct("!ci")
_HEAD_BYTES = 5
_READ_BYTES = 65_536
_STARTUP_LIMIT_BYTES = 10_000
# Below this much on its way a caller is taken to keep up.
_UNSENT_LIMIT_BYTES = 32_768


class CallerStream(PgStream):
    """Refuse messages over a size, and send answers in as few writes as possible."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit_bytes: int,
    ):
        super().__init__(reader, writer)
        self._limit_bytes = limit_bytes
        self._unread = bytearray()
        self._at = 0
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0

    async def read_startup_packet(self) -> tuple[int, bytes]:
        """Return the code and the payload of a message without a type."""
        length, code = struct.unpack("!iI", await self._read_exactly(8))
        if not 8 <= length <= _STARTUP_LIMIT_BYTES:
            raise ConnectionClosed
        return code, await self._read_exactly(length - 8)

    async def read_message(self) -> tuple[bytes, bytes]:
        """Return a message's type and payload."""
        while len(self._unread) - self._at < _HEAD_BYTES:
            await self._fill()
        tag, length = _HEAD.unpack_from(self._unread, self._at)
        self._at += _HEAD_BYTES
        size = length - 4
        if size < 0:
            raise ConnectionClosed
        if size > self._limit_bytes:
            await self._skip(size)
            return OVERSIZED, tag
        return tag, await self._read_exactly(size) if size else b""

    def has_unread(self) -> bool:
        """Tell whether the caller has sent what nobody has read yet."""
        return len(self._unread) > self._at or bool(self.reader._buffer)

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._unread) - self._at < size:
            await self._fill()
        end = self._at + size
        data = bytes(self._unread[self._at : end])
        self._at = end
        return data

    async def _skip(self, size: int) -> None:
        while (held := len(self._unread) - self._at) < size:
            size -= held
            self._at = len(self._unread)
            await self._fill()
        self._at += size

    async def _fill(self) -> None:
        if self._at:
            del self._unread[: self._at]
            self._at = 0
        try:
            data = await self.reader.read(_READ_BYTES)
        except ConnectionError as exc:
            raise ConnectionClosed from exc
        if not data:
            raise ConnectionClosed
        self._unread += data

    def write(self, data: bytes) -> None:
        """Add to what the next `flush` or `drain` sends."""
        self._unsent.append(data)
        self._unsent_bytes += len(data)

    def flush(self) -> None:
        """Send what was written."""
        if self._unsent:
            self.writer.write(b"".join(self._unsent))
            self._unsent.clear()
            self._unsent_bytes = 0

    async def drain(self) -> None:
        """Send what was written and wait until the caller keeps up."""
        self.flush()
        if self.writer.transport.get_write_buffer_size() > _UNSENT_LIMIT_BYTES:
            await self.writer.drain()

    async def pace(self) -> None:
        """Wait until the caller keeps up, once enough is gathered."""
        if self._unsent_bytes > _UNSENT_LIMIT_BYTES:
            await self.drain()
