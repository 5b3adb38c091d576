"""Model the streams between proxies: ordered, delayed, held by cuts, reset by kills."""

import asyncio
import collections
import typing as t

from rosemaryridge_testbed.schedules._world import World

# A cut that lasts longer than this ends the streams across it.
_RETRANSMISSION_S = 3.0
_POLL_S = 0.02
_REFUSED_AFTER_S = 0.002

ProtocolFactory = t.Callable[[], asyncio.Protocol]


class _Transport:
    """Carry what one end of a stream writes to the protocol of the other end."""

    def __init__(self, world: World, own: str, other: str, protocol: asyncio.Protocol):
        self._world = world
        self._own = own
        self._other = other
        self._protocol = protocol
        self.peer: _Transport | None = None
        self.closed = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._pumping = False

    def write(self, data: bytes) -> None:
        """Send bytes in order."""
        if self.closed:
            return
        self._chunks.append(data)
        if not self._pumping:
            self._pumping = True
            self._world.spawn(self._pump())

    def abort(self) -> None:
        """Close the stream; what is under way is lost."""
        if self.closed:
            return
        self._close()
        self._world.spawn(self._reset_peer())

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait."""
        return sum(map(len, self._chunks))

    def get_extra_info(self, name: str) -> None:
        """Return no information: there is no socket."""

    async def _pump(self) -> None:
        while self._chunks and not self.closed:
            held_s = 0.0
            while not await self._world.travel(self._own, self._other):
                await asyncio.sleep(_POLL_S)
                held_s += _POLL_S
                if held_s > _RETRANSMISSION_S:
                    self.abort()
                    return
            if self.closed or self.peer is None or self.peer.closed:
                break
            # Chunks that wait arrive together, as from a socket's buffer.
            data = b"".join(self._chunks)
            self._chunks.clear()
            self.peer._protocol.data_received(data)
        self._pumping = False

    async def _reset_peer(self) -> None:
        if self.peer is None or self.peer.closed:
            return
        while not await self._world.travel(self._own, self._other):
            await asyncio.sleep(_POLL_S)
        self.peer._close()

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self._protocol.connection_lost(None)


class Streams:
    """Open streams to the proxies that listen."""

    def __init__(self, world: World):
        self._world = world
        self._listeners: dict[str, ProtocolFactory] = {}
        self._transports: dict[str, list[_Transport]] = collections.defaultdict(list)

    def listen(self, name: str, factory: ProtocolFactory) -> None:
        """Accept streams at a proxy."""
        self._listeners[name] = factory

    def kill(self, name: str) -> None:
        """Reset a proxy's streams and refuse new ones."""
        self._listeners.pop(name, None)
        for transport in self._transports.pop(name, ()):
            transport.abort()

    async def open(self, own: str, factory: ProtocolFactory, other: str) -> None:
        """Open a stream; raise ConnectionRefusedError."""
        while not await self._world.travel(own, other):
            await asyncio.sleep(_POLL_S)
        accept = self._listeners.get(other)
        if accept is None:
            await asyncio.sleep(_REFUSED_AFTER_S)
            raise ConnectionRefusedError(other)
        near, far = factory(), accept()
        near_end = _Transport(self._world, own, other, near)
        far_end = _Transport(self._world, other, own, far)
        near_end.peer, far_end.peer = far_end, near_end
        self._transports[own].append(near_end)
        self._transports[other].append(far_end)
        far.connection_made(t.cast(asyncio.BaseTransport, far_end))
        near.connection_made(t.cast(asyncio.BaseTransport, near_end))
