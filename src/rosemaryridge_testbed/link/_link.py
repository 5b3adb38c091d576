"""Carry TCP connections between two ends, with faults."""

import asyncio
import random
import re
import typing as t

import msgspec

from rosemaryridge_testbed.link._flow import CHUNK_BYTES
from rosemaryridge_testbed.link._flow import Channel
from rosemaryridge_testbed.link._flow import Flow

_USER = re.compile(rb"\0user\0([^\0]+)\0")


class LinkSpec(msgspec.Struct, frozen=True):
    """Name a link, where it listens and where it leads.

    With `by_user` the connections of each PostgreSQL user have faults of their own,
    named `link/user`, so that each proxy has its own way to a target.
    """

    name: str
    port: int
    to_host: str
    to_port: int
    by_user: bool = False


class Link:
    """Accept connections and carry each to the other end."""

    def __init__(self, spec: LinkSpec, rng: random.Random):
        self.spec = spec
        self._rng = rng
        self._channels: dict[str, Channel] = {}
        self._server: asyncio.Server | None = None

    def channel(self, name: str) -> Channel:
        """Return the channel of a link's or user's name."""
        channel = self._channels.get(name)
        if channel is None:
            channel = self._channels[name] = Channel(self._rng)
        return channel

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, self.spec.port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        for channel in self._channels.values():
            channel.close_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            first, channel = await self._classify(reader)
            if channel.faults.refuse:
                writer.transport.abort()
                return
            await self._carry(channel, first, reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def _classify(self, reader: asyncio.StreamReader) -> tuple[bytes, Channel]:
        if not self.spec.by_user:
            return b"", self.channel(self.spec.name)
        first = await reader.read(CHUNK_BYTES)
        found = _USER.search(first)
        user = found[1].decode() if found else ""
        return first, self.channel(f"{self.spec.name}/{user}")

    async def _carry(
        self,
        channel: Channel,
        first: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(2.0 * channel.faults.latency_ms / 1000.0)
        spec = self.spec
        far_reader, far_writer = await asyncio.open_connection(
            spec.to_host, spec.to_port
        )
        up, down = Flow(channel, far_writer, True), Flow(channel, writer, False)
        pumps = (
            asyncio.ensure_future(up.pump(reader, first)),
            asyncio.ensure_future(down.pump(far_reader)),
        )
        await self._run(channel, up, down, pumps, (writer, far_writer))

    async def _run(
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
