"""Carry batches to owners over one stream a pair, and their replies back."""

import asyncio
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._keepalive import enable_keepalive
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core.owners._messages import MAX_PLACES
from rosemaryridge.core.owners._messages import VERSION
from rosemaryridge.core.owners._messages import Batch
from rosemaryridge.core.owners._messages import CloseLink
from rosemaryridge.core.owners._messages import FrameReader
from rosemaryridge.core.owners._messages import Hello
from rosemaryridge.core.owners._messages import MalformedFrame
from rosemaryridge.core.owners._messages import Ping
from rosemaryridge.core.owners._messages import Place
from rosemaryridge.core.owners._messages import Pong
from rosemaryridge.core.owners._messages import Stopping
from rosemaryridge.core.owners._messages import ToOwner
from rosemaryridge.core.owners._messages import ToSender
from rosemaryridge.core.owners._messages import Welcome
from rosemaryridge.core.owners._messages import encode
from rosemaryridge.core.owners._messages import to_ms
from rosemaryridge.core.owners._messages import to_s
from rosemaryridge.core.owners._targets import OwnedTargets

# An owner that sends nothing for this long while a batch is outstanding is pinged.
# Processors with a quota may stand still for 0.1 s.
_PING_AFTER_S = 0.12
# An owner that does not answer a ping within this time is silent. A round trip to
# another region takes 40 ms.
_PONG_TIMEOUT_S = 0.2
_WATCH_PERIOD_S = 0.06
# Bytes that may wait for a peer that does not read, before its stream is closed.
_MAX_BUFFERED_BYTES = 4_000_000


class SenderStream:
    """Number the batches that one proxy sends to one owner and match the replies."""

    def __init__(self, vm: str, on_ended: t.Callable[["SenderStream", str], None]):
        self.vm = vm
        self.ended = False
        # Whether the owner takes no new links.
        self.stopping = False
        self._on_ended = on_ended
        self._numbers = 0
        self._links = 0
        # By service, target and business.
        self._places: dict[tuple[str, str, str], int] = {}
        self._outstanding: dict[int, asyncio.Future[ToSender]] = {}
        # When this process last ran again after it had stood still.
        self.resumed_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._watch: asyncio.TimerHandle | None = None

    @property
    def outstanding(self) -> int:
        """Return the number of batches without a reply."""
        return len(self._outstanding)

    def place(self, service: str, target: str, business: str) -> int:
        """Return the number of a target for a business; tell it to the owner once."""
        key = (service, target, business)
        number = self._places.get(key)
        if number is None:
            number = self._places[key] = len(self._places)
            if not self.ended:
                self._send(Place(number, *key))
        return number

    def new_link(self) -> int:
        """Return the number of a new link."""
        self._links += 1
        return self._links

    def send_batch(
        self, make_batch: t.Callable[[int], Batch]
    ) -> asyncio.Future[ToSender]:
        """Send a batch; the reply raises TargetLost if it cannot arrive."""
        fut: asyncio.Future[ToSender] = self._loop.create_future()
        if self.ended:
            fut.set_exception(TargetLost("the stream to the owner ended", sent=False))
            fut.exception()
            return fut
        self._numbers += 1
        self._outstanding[self._numbers] = fut
        self._send(make_batch(self._numbers))
        if self._watch is None and not self.ended:
            self._schedule_watch()
        return fut

    def close_link(self, link: int) -> None:
        """Close a link."""
        if not self.ended:
            self._send(CloseLink(link))

    def receive(self, frame: ToSender) -> None:
        """Handle a frame of the owner."""
        if isinstance(frame, Stopping):
            self.stopping = True
        elif not isinstance(frame, (Welcome, Pong)):
            fut = self._outstanding.pop(frame.number, None)
            if fut is not None and not fut.done():
                fut.set_result(frame)

    def end(self, reason: str) -> None:
        """End the stream: what is outstanding may have run."""
        if self.ended:
            return
        self.ended = True
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        outstanding, self._outstanding = self._outstanding, {}
        for fut in outstanding.values():
            if not fut.done():
                fut.set_exception(TargetLost(f"{self.vm}: {reason}"))
                fut.exception()
        self._on_ended(self, reason)

    def _schedule_watch(self) -> None:
        due_at = self._loop.time() + _WATCH_PERIOD_S
        self._watch = self._loop.call_at(due_at, self._watch_replies, due_at)

    def _watch_replies(self, due_at: float) -> None:
        self._watch = None
        if self.ended or not self.outstanding:
            return
        now = self._loop.time()
        if now - due_at > _WATCH_PERIOD_S:
            self.resumed_at = now
        self._check_silence(now)
        if not self.ended:
            self._schedule_watch()

    def _check_silence(self, now: float) -> None:
        """End the stream if the owner is silent."""

    def _send(self, frame: ToOwner) -> None:
        raise NotImplementedError


class LocalStream(SenderStream):
    """Hand batches to the owned of the same process."""

    def __init__(self, vm: str, owned: OwnedTargets):
        super().__init__(vm, lambda stream, reason: None)
        self._owned = owned
        self._known_places: dict[int, Place] = {}

    def send(self, frame: ToSender) -> None:
        """Take a reply of the owned."""
        self._loop.call_soon(self.receive, frame)

    def _send(self, frame: ToOwner) -> None:
        if isinstance(frame, Batch):
            place = self._known_places[frame.place]
            self._owned.serve(self, place, frame, 0.0, is_own=True)
        elif isinstance(frame, Place):
            self._known_places[frame.number] = frame
        elif isinstance(frame, CloseLink):
            self._owned.close_link(self, frame.link)


class RemoteStream(SenderStream, asyncio.Protocol):
    """Send batches over TCP, and notice an owner that falls silent."""

    def __init__(
        self, vm: str, own_vm: str, on_ended: t.Callable[[SenderStream, str], None]
    ):
        super().__init__(vm, on_ended)
        self._own_vm = own_vm
        self._reader = FrameReader.of_sender()
        self._transport: asyncio.Transport | None = None
        self.welcomed: asyncio.Future[None] = self._loop.create_future()
        self._received_at = self._loop.time()
        self._pinged_at: float | None = None
        self._waiting_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduce this proxy."""
        self._transport = t.cast(asyncio.Transport, transport)
        enable_keepalive(transport)
        self._send(Hello(VERSION, self._own_vm, to_ms(boottime())))

    def data_received(self, data: bytes) -> None:
        """Handle received frames; a malformed one ends the stream."""
        self._received_at = self._loop.time()
        self._pinged_at = None
        try:
            frames = self._reader.feed(data)
        except MalformedFrame as exc:
            self.end(f"malformed frame: {exc}")
            return
        for frame in frames:
            if isinstance(frame, Welcome):
                self._accept(frame)
            else:
                self.receive(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream."""
        self._transport = None
        self.end(str(exc or "the stream was closed"))

    def send_batch(
        self, make_batch: t.Callable[[int], Batch]
    ) -> asyncio.Future[ToSender]:
        """Send a batch and watch for its reply."""
        if not self.outstanding:
            self._waiting_since = self._loop.time()
        return super().send_batch(make_batch)

    def end(self, reason: str) -> None:
        """End the stream and close its connection."""
        super().end(reason)
        if not self.welcomed.done():
            self.welcomed.set_exception(ConnectionError(reason))
            self.welcomed.exception()
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _accept(self, frame: Welcome) -> None:
        if frame.version != VERSION:
            self.end(f"the owner speaks version {frame.version}")
            return
        self.stopping = frame.stopping
        if not self.welcomed.done():
            self.welcomed.set_result(None)

    def _check_silence(self, now: float) -> None:
        if now == self.resumed_at:
            # Replies may wait in the socket.
            self._received_at, self._pinged_at = now, None
        elif self._pinged_at is not None:
            if now - self._pinged_at > _PONG_TIMEOUT_S:
                self.end("the owner is silent")
        elif now - max(self._received_at, self._waiting_since) > _PING_AFTER_S:
            self._pinged_at = now
            self._send(Ping())

    def _send(self, frame: ToOwner) -> None:
        if self._transport is None:
            return
        self._transport.write(encode(frame))
        if self._transport.get_write_buffer_size() > _MAX_BUFFERED_BYTES:
            self.end("the owner does not read")


class OwnerStream(asyncio.Protocol):
    """Receive the batches of one sender."""

    def __init__(
        self,
        owned: OwnedTargets,
        is_stopping: t.Callable[[], bool],
        on_made: t.Callable[["OwnerStream"], None],
        on_lost: t.Callable[["OwnerStream", str], None],
    ):
        self.vm = ""
        self._owned = owned
        self._is_stopping = is_stopping
        self._on_made = on_made
        self._on_lost = on_lost
        self._reader = FrameReader.of_owner()
        self._transport: asyncio.Transport | None = None
        self._problem = ""
        self._places: dict[int, Place] = {}
        # The least difference seen between this clock and a frame's sending time: the
        # difference of the two clocks, and the shortest delay.
        self._offset_s = float("inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the stream."""
        self._transport = t.cast(asyncio.Transport, transport)
        enable_keepalive(transport)
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Handle received frames; a malformed one ends the stream."""
        try:
            frames = self._reader.feed(data)
        except MalformedFrame as exc:
            self._end(f"malformed frame: {exc}")
            return
        for frame in frames:
            self._handle(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the sender's links."""
        self._transport = None
        self._owned.close_links_of(self)
        self._on_lost(self, self._problem or str(exc or ""))

    def send(self, frame: ToSender) -> None:
        """Send a frame; a sender that does not read loses its stream."""
        if self._transport is None:
            return
        self._transport.write(encode(frame))
        if self._transport.get_write_buffer_size() > _MAX_BUFFERED_BYTES:
            self._end("the sender does not read")

    def close(self) -> None:
        """End the stream."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _handle(self, frame: ToOwner) -> None:
        if isinstance(frame, Batch):
            self._serve(frame)
        elif isinstance(frame, Place):
            if len(self._places) >= MAX_PLACES:
                self._end("too many places")
            self._places[frame.number] = frame
        elif isinstance(frame, CloseLink):
            self._owned.close_link(self, frame.link)
        elif isinstance(frame, Ping):
            self.send(Pong())
        elif isinstance(frame, Hello):
            self.vm = frame.vm
            self._update_offset(frame.sent_ms)
            self.send(Welcome(VERSION, self._is_stopping()))

    def _serve(self, batch: Batch) -> None:
        place = self._places.get(batch.place)
        if place is None:
            self._end("a batch for an unknown place")
            return
        self._owned.serve(self, place, batch, self._update_offset(batch.sent_ms))

    def _update_offset(self, sent_ms: int) -> float:
        """Return the difference from the sender's clock to this one.

        A batch that was delayed on its way, or that a suspended process reads late,
        shows a greater difference; its deadline stays where it was.
        """
        self._offset_s = min(self._offset_s, boottime() - to_s(sent_ms))
        return self._offset_s

    def _end(self, problem: str) -> None:
        self._problem = problem
        self.close()
