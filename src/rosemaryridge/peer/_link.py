"""Serve one stream to a peer."""

import asyncio
import typing as t

from rosemaryridge.peer._outbox import GapDetector
from rosemaryridge.peer._outbox import Outbox
from rosemaryridge.peer._settings import BusSettings
from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope
from rosemaryridge.peer.peer_pb2 import Hello
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService


class Stream(t.Protocol):
    """Read and write batches."""

    async def read(self) -> Batch | None:
        """Return the next batch; None at the end of the stream."""

    async def write(self, batch: Batch) -> None:
        """Send a batch."""


class LinkOwner(t.Protocol):
    """Receive the events of a link."""

    def hello_received(self, link: "Link", hello: Hello) -> None:
        """Register the link of a peer that sent its hello."""

    def batch_received(self, link: "Link", batch: Batch, gap: bool) -> None:
        """Process a batch; `gap` is true if messages before it were dropped."""


class Link:
    """Send messages in batches and heartbeats; close if the peer is unresponsive.

    `vm` is empty until the hello of the peer is received.
    """

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
        self.last_used_at = timer.now()
        self._cfg = cfg
        self._timer = timer
        self._owner = owner
        self._stream = stream
        self._hello: Hello | None = hello
        self._gap_detector = GapDetector()
        self._last_read_at = timer.now()
        self._wake = asyncio.Event()
        self._flush_timer: Subscription | None = None
        self._closed = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Return whether the link has ended."""
        return self._closed.is_set()

    def send(self, envelope: Envelope, urgent: bool = False) -> None:
        """Queue a message; an urgent one flushes the queue immediately."""
        self.outbox.push(envelope)
        if urgent or len(self.outbox) >= self._cfg.batch_limit:
            self._wake.set()
        elif self._flush_timer is None:
            self._flush_timer = self._timer.after(self._cfg.flush_s, self._on_flush_due)

    def close(self) -> None:
        """Close the link; `run` returns soon after."""
        self._closed.set()

    async def run(self) -> None:
        """Serve the stream until it ends, fails, times out or is closed."""
        heartbeat = self._timer.every(self._cfg.heartbeat_s, self._on_heartbeat)
        tasks = [
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._write()),
            asyncio.ensure_future(self._closed.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._closed.set()
            heartbeat.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _on_flush_due(self) -> None:
        self._flush_timer = None
        self._wake.set()

    def _on_heartbeat(self) -> None:
        if self._timer.now() - self._last_read_at > self._cfg.silent_timeout_s:
            self._closed.set()
        self._wake.set()

    async def _write(self) -> None:
        while True:
            batch = self.outbox.pop_batch(self._cfg.batch_limit)
            if self._hello is not None:
                batch.hello.CopyFrom(self._hello)
                self._hello = None
            await self._stream.write(batch)
            if not self.outbox:
                await self._wake.wait()
            self._wake.clear()

    async def _read(self) -> None:
        while (batch := await self._stream.read()) is not None:
            self._last_read_at = self._timer.now()
            if batch.HasField("hello"):
                self.vm = batch.hello.vm
                self._owner.hello_received(self, batch.hello)
            if not self.vm:
                return
            gap = self._gap_detector.check(batch)
            if batch.envelopes or gap:
                self._owner.batch_received(self, batch, gap)
