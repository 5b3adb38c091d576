"""Forward TCP connections, with faults."""

import asyncio
import random
import re
import typing as t

import msgspec

from rosemaryridge_testbed.link._flow import CHUNK_BYTES
from rosemaryridge_testbed.link._flow import Channel
from rosemaryridge_testbed.link._flow import Flow

_USER_PARAMETER = re.compile(rb"\0user\0([^\0]+)\0")


class LinkSpec(msgspec.Struct, frozen=True):
    """Configure a link: its name, listening port and destination.

    With `by_user` each PostgreSQL user has a separate channel, named `link/user`, so
    that faults can affect the route from a single proxy to a target.
    """

    name: str
    port: int
    to_host: str
    to_port: int
    by_user: bool = False


class Link:
    """Accept connections and forward each to the destination."""

    def __init__(self, spec: LinkSpec, rng: random.Random):
        self.spec = spec
        self._rng = rng
        self._channels: dict[str, Channel] = {}
        self._server: asyncio.Server | None = None

    def channel(self, name: str) -> Channel:
        """Return the channel named `link` or `link/user`, created on first use."""
        channel = self._channels.get(name)
        if channel is None:
            channel = self._channels[name] = Channel(self._rng)
        return channel

    async def start(self, host: str) -> None:
        """Listen on the link's port of `host`."""
        self._server = await asyncio.start_server(self._accept, host, self.spec.port)

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        for channel in self._channels.values():
            channel.close_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            first, channel = await self._select_channel(reader)
            if channel.faults.refuse:
                writer.transport.abort()
                return
            await self._forward(channel, first, reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def _select_channel(
        self, reader: asyncio.StreamReader
    ) -> tuple[bytes, Channel]:
        if not self.spec.by_user:
            return b"", self.channel(self.spec.name)
        first = await reader.read(CHUNK_BYTES)
        match = _USER_PARAMETER.search(first)
        user = match[1].decode() if match else ""
        return first, self.channel(f"{self.spec.name}/{user}")

    async def _forward(
        self,
        channel: Channel,
        first: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(2.0 * channel.faults.latency_ms / 1000.0)
        spec = self.spec
        server_reader, server_writer = await asyncio.open_connection(
            spec.to_host, spec.to_port
        )
        up, down = Flow(channel, server_writer, True), Flow(channel, writer, False)
        pumps = (
            asyncio.ensure_future(up.pump(reader, first)),
            asyncio.ensure_future(down.pump(server_reader)),
        )
        await self._pump_until_closed(channel, up, down, pumps, (writer, server_writer))

    async def _pump_until_closed(
        self,
        channel: Channel,
        up: Flow,
        down: Flow,
        pumps: t.Sequence[asyncio.Future],
        writers: t.Sequence[asyncio.StreamWriter],
    ) -> None:
        task = asyncio.current_task()
        channel.flows[task] = (up, down)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for writer in writers:
                writer.close()
        except asyncio.CancelledError:
            for writer in writers:
                writer.transport.abort()
            raise
        finally:
            channel.flows.pop(task, None)
            for pump in pumps:
                pump.cancel()
