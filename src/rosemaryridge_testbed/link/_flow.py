"""Forward bytes in one direction, with delays and cuts."""

import asyncio
import random
import time

import msgspec

CHUNK_BYTES = 65536


class LinkFaults(msgspec.Struct, kw_only=True):
    """Set the faults of a channel; times are one-way milliseconds.

    `cut_up` and `cut_down` hold back bytes to and from the server, on open and new
    connections, and forward them when the cut ends, as TCP retransmission would;
    `refuse` closes new connections at once.
    """

    latency_ms: float = 0.0
    jitter_ms: float = 0.0
    cut_up: bool = False
    cut_down: bool = False
    refuse: bool = False


class Channel:
    """Hold the connections that share one route, and their faults."""

    def __init__(self, rng: random.Random):
        self.faults = LinkFaults()
        self.flows: dict[asyncio.Task, tuple[Flow, Flow]] = {}
        self._rng = rng
        self._changed = asyncio.Event()

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults, for open and new connections."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self) -> None:
        """Wait until the faults change."""
        await self._changed.wait()

    def delay_s(self) -> float:
        """Draw the one-way delay of a chunk, in seconds."""
        faults = self.faults
        return (faults.latency_ms + faults.jitter_ms * self._rng.random()) / 1000.0

    def silence(self) -> None:
        """Stop forwarding on the open connections for good, without closing them."""
        for flows in self.flows.values():
            for flow in flows:
                flow.silent = True

    def close_after(self, count: int) -> None:
        """Close each open connection after `count` more bytes from the server."""
        for _up, down in self.flows.values():
            down.bytes_left = count

    def close_all(self) -> None:
        """Abort the open connections."""
        for task in list(self.flows):
            task.cancel()


class Flow:
    """Forward one direction of one connection, in order."""

    def __init__(self, channel: Channel, writer: asyncio.StreamWriter, up: bool):
        self._channel = channel
        self._writer = writer
        self._up = up
        self._last_arrival = 0.0
        self.silent = False
        self.bytes_left: int | None = None

    async def pump(self, reader: asyncio.StreamReader, first: bytes = b"") -> None:
        """Forward `first` and then the reader's bytes until either end closes."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)
        reading = asyncio.ensure_future(self._read(reader, first, queue))
        try:
            await self._send(queue)
        except OSError:
            return
        finally:
            reading.cancel()

    async def _read(
        self, reader: asyncio.StreamReader, data: bytes, queue: asyncio.Queue
    ) -> None:
        try:
            data = data or await reader.read(CHUNK_BYTES)
            while data:
                await queue.put((self._arrival_time(), data))
                data = await reader.read(CHUNK_BYTES)
        except OSError:
            pass
        await queue.put((self._arrival_time(), b""))

    def _arrival_time(self) -> float:
        self._last_arrival = max(
            self._last_arrival, time.monotonic() + self._channel.delay_s()
        )
        return self._last_arrival

    async def _send(self, queue: asyncio.Queue) -> None:
        while True:
            due, data = await queue.get()
            wait_s = due - time.monotonic()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            while self._is_cut():
                await self._channel.changed()
            if not data or not self._write(data):
                return
            await self._writer.drain()

    def _is_cut(self) -> bool:
        faults = self._channel.faults
        return self.silent or (faults.cut_up if self._up else faults.cut_down)

    def _write(self, data: bytes) -> bool:
        if self.bytes_left is None:
            self._writer.write(data)
            return True
        self._writer.write(data[: self.bytes_left])
        self.bytes_left -= len(data)
        return self.bytes_left > 0
