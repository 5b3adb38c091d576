"""Run one stream to one peer."""

import asyncio
import typing as t

from rosemaryridge.peer._outbox import Inbox
from rosemaryridge.peer._outbox import Outbox
from rosemaryridge.peer._settings import BusSettings
from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope
from rosemaryridge.peer.peer_pb2 import Hello
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService


class Stream(t.Protocol):
    """Move batches both ways."""

    async def read(self) -> Batch | None:
        """Return the next batch; None where the stream has ended."""

    async def write(self, batch: Batch) -> None:
        """Send a batch."""


class LinkOwner(t.Protocol):
    """Take in what a link learns."""

    def link_ready(self, link: "Link", hello: Hello) -> None:
        """Take in that the peer introduced itself."""

    def link_batch(self, link: "Link", batch: Batch, gap: bool) -> None:
        """Take in a batch; `gap` says that messages before it are lost."""


class Link:
    """Gather messages into batches, beat while idle, and give up on silence."""

    def __init__(
        self,
        cfg: BusSettings,
        timer: TimerService,
        owner: LinkOwner,
        stream: Stream,
        hello: Hello,
        dialed: bool,
    ):
        self.outbox = Outbox(cfg.queue_limit)
        self.dialed = dialed
        self.vm = ""
        self.used_at = timer.now()
        self._cfg = cfg
        self._timer = timer
        self._owner = owner
        self._stream = stream
        self._hello: Hello | None = hello
        self._inbox = Inbox()
        self._heard_at = timer.now()
        self._wake = asyncio.Event()
        self._flush: Subscription | None = None
        self._closed = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Return whether the link has ended."""
        return self._closed.is_set()

    def send(self, envelope: Envelope, urgent: bool = False) -> None:
        """Queue a message; an urgent one goes at once with all before it."""
        self.outbox.push(envelope)
        if urgent or len(self.outbox) >= self._cfg.batch_limit:
            self._wake.set()
        elif self._flush is None:
            self._flush = self._timer.after(self._cfg.flush_s, self._flushed)

    def close(self) -> None:
        """End the link."""
        self._closed.set()

    async def run(self) -> None:
        """Serve the stream until it ends, fails, falls silent or is closed."""
        beat = self._timer.every(self._cfg.heartbeat_s, self._beat)
        tasks = [
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._write()),
            asyncio.ensure_future(self._closed.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._closed.set()
            beat.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _flushed(self) -> None:
        self._flush = None
        self._wake.set()

    def _beat(self) -> None:
        if self._timer.now() - self._heard_at > self._cfg.silent_timeout_s:
            self._closed.set()
        self._wake.set()

    async def _write(self) -> None:
        while True:
            batch = self.outbox.batch(self._cfg.batch_limit)
            if self._hello is not None:
                batch.hello.CopyFrom(self._hello)
                self._hello = None
            await self._stream.write(batch)
            if not self.outbox:
                await self._wake.wait()
            self._wake.clear()

    async def _read(self) -> None:
        while (batch := await self._stream.read()) is not None:
            self._heard_at = self._timer.now()
            if batch.HasField("hello"):
                self.vm = batch.hello.vm
                self._owner.link_ready(self, batch.hello)
            if not self.vm:
                return
            gap = self._inbox.accept(batch)
            if batch.envelopes or gap:
                self._owner.link_batch(self, batch, gap)
