"""Carry TCP connections between two ends, with faults."""

import asyncio
import random
import time

import msgspec

_CHUNK_BYTES = 65536


class LinkSpec(msgspec.Struct, frozen=True):
    """Name a link, where it listens and where it leads."""

    name: str
    port: int
    to_host: str
    to_port: int


class LinkFaults(msgspec.Struct, kw_only=True):
    """Set what a link does to its bytes; times in milliseconds, one way.

    `cut_up` and `cut_down` hold what flows towards the server and back, on open
    connections and new ones, until the cut ends, as TCP would send it again;
    `refuse` closes new connections at once.
    """

    latency_ms: float = 0.0
    jitter_ms: float = 0.0
    cut_up: bool = False
    cut_down: bool = False
    refuse: bool = False


class _Flow:
    """Carry one direction of one connection, in order and late."""

    def __init__(self, link: "Link", writer: asyncio.StreamWriter, up: bool):
        self._link = link
        self._writer = writer
        self._up = up
        self._due = 0.0
        self.silent = False
        self.bytes_left: int | None = None

    async def pump(self, reader: asyncio.StreamReader) -> None:
        """Copy until either end closes."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)
        sending = asyncio.ensure_future(self._send(queue))
        try:
            while not sending.done():
                data = await reader.read(_CHUNK_BYTES)
                await queue.put((self._arrival(), data))
                if not data:
                    break
            await sending
        finally:
            sending.cancel()

    def _arrival(self) -> float:
        faults = self._link.faults
        delay_s = (
            faults.latency_ms + faults.jitter_ms * self._link.rng.random()
        ) / 1000.0
        self._due = max(self._due, time.monotonic() + delay_s)
        return self._due

    async def _send(self, queue: asyncio.Queue) -> None:
        while True:
            due, data = await queue.get()
            wait_s = due - time.monotonic()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            while self.is_cut():
                await self._link.changed()
            if not data or not self._write(data):
                return
            await self._writer.drain()

    def is_cut(self) -> bool:
        """Tell whether bytes are held now."""
        faults = self._link.faults
        return self.silent or (faults.cut_up if self._up else faults.cut_down)

    def _write(self, data: bytes) -> bool:
        if self.bytes_left is None:
            self._writer.write(data)
            return True
        self._writer.write(data[: self.bytes_left])
        self.bytes_left -= len(data)
        return self.bytes_left > 0


class Link:
    """Accept connections and carry each to the other end."""

    def __init__(self, spec: LinkSpec, rng: random.Random):
        self.spec = spec
        self.rng = rng
        self.faults = LinkFaults()
        self._flows: dict[asyncio.Task, tuple[_Flow, _Flow]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._flows)

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, self.spec.port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        for task in list(self._flows):
            task.cancel()

    def silence(self) -> None:
        """Drop, for good, what the connections that are open now carry."""
        for flows in self._flows.values():
            for flow in flows:
                flow.silent = True

    def close_after(self, count: int) -> None:
        """Close each open connection after so many bytes of its answers."""
        for _up, down in self._flows.values():
            down.bytes_left = count

    def close_all(self) -> None:
        """Close the connections that are open now."""
        for task in list(self._flows):
            task.cancel()

    def set_faults(self, faults: LinkFaults) -> None:
        """Put other faults in force."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self) -> None:
        """Wait until the faults change."""
        await self._changed.wait()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        task = asyncio.ensure_future(self._carry(reader, writer))
        try:
            await task
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._flows.pop(task, None)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(2.0 * self.faults.latency_ms / 1000.0)
        far_reader, far_writer = await asyncio.open_connection(
            self.spec.to_host, self.spec.to_port
        )
        up, down = _Flow(self, far_writer, True), _Flow(self, writer, False)
        self._flows[asyncio.current_task()] = (up, down)
        pumps = [
            asyncio.ensure_future(up.pump(reader)),
            asyncio.ensure_future(down.pump(far_reader)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            writer.close()
            far_writer.close()
        except asyncio.CancelledError:
            far_writer.transport.abort()
            raise
        finally:
            for pump in pumps:
                pump.cancel()
