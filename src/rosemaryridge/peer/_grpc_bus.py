"""Talk to other proxies over long gRPC streams."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer._asks import Asks
from rosemaryridge.peer._bus import Handler
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.peer._bus import Responder
from rosemaryridge.peer._dialer import Dialer
from rosemaryridge.peer._dispatch import Dispatcher
from rosemaryridge.peer._grpc import CallStream
from rosemaryridge.peer._grpc import PeerServer
from rosemaryridge.peer._grpc import dial
from rosemaryridge.peer._identity import PeerIdentity
from rosemaryridge.peer._identity import from_hello
from rosemaryridge.peer._identity import to_hello
from rosemaryridge.peer._link import Link
from rosemaryridge.peer._settings import BusSettings
from rosemaryridge.peer._stats import BusStats
from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope
from rosemaryridge.peer.peer_pb2 import Hello
from rosemaryridge.timer import TimerService

_SECOND_DIAL_DELAY_S = 1.0

PeerCallback = t.Callable[[PeerIdentity], None]
ResyncCallback = t.Callable[[str], None]


class GrpcPeerBus:
    """Keep streams to the chosen peers, and to others while they are needed."""

    def __init__(
        self,
        cfg: BusSettings,
        timer: TimerService,
        rng: random.Random,
        identity: PeerIdentity,
    ):
        self.identity = identity
        self.stats = BusStats()
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._asks = Asks(timer)
        self._dispatcher = Dispatcher(self._asks, self.stats)
        self._server = PeerServer(self._accept)
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, Dialer] = {}
        self._contacts: dict[Endpoint, asyncio.Task[bool]] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._book: dict[str, Endpoint] = {}
        self._early: dict[str, list[tuple[Envelope, bool]]] = {}
        self._on_hello: list[PeerCallback] = []
        self._on_resync: list[ResyncCallback] = []
        self._on_lost: list[ResyncCallback] = []

    async def start(self) -> Endpoint:
        """Listen for peers; return the address that was bound."""
        port = await self._server.start(self.identity.endpoint)
        bound = Endpoint(self.identity.endpoint.host, port)
        self.identity = dataclasses.replace(self.identity, endpoint=bound)
        self._sweep = self._timer.every(
            self._cfg.idle_close_s / 2, self._close_unused, 0.2, self._rng
        )
        return bound

    async def stop(self) -> None:
        """Close every stream and stop listening."""
        self._sweep.cancel()
        for dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()
        for task in list(self._contacts.values()):
            task.cancel()
        for link in list(self._links.values()):
            link.close()
        await self._server.stop()

    def peers(self) -> tuple[str, ...]:
        """Return the VMs that are connected now."""
        return tuple(sorted(self._links))

    def learn(self, vm: str, endpoint: Endpoint) -> None:
        """Take in where a peer listens; a moved peer is dialed anew."""
        if vm == self.identity.vm or self._book.get(vm) == endpoint:
            return
        self._book[vm] = endpoint
        if vm in self._dialers:
            self._dialers.pop(vm).stop()
        if vm in self._neighbours:
            self._dial(vm)

    def forget(self, vm: str) -> None:
        """Drop a peer's address and stop dialing it."""
        self._book.pop(vm, None)
        self._early.pop(vm, None)
        if vm in self._dialers:
            self._dialers.pop(vm).stop()

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Choose the peers to which streams are kept."""
        self._neighbours = frozenset(vms) - {self.identity.vm}
        needed = self._neighbours | self._links.keys() | self._early.keys()
        for vm in [vm for vm in self._dialers if vm not in needed]:
            self._dialers.pop(vm).stop()
        for vm in self._neighbours:
            self._dial(vm)

    def contact(self, endpoint: Endpoint) -> None:
        """Open a stream once to a peer whose VM is not known yet."""
        if endpoint not in self._contacts:
            task = asyncio.ensure_future(self._open(endpoint))
            self._contacts[endpoint] = task
            task.add_done_callback(lambda _: self._contacts.pop(endpoint, None))

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer, best effort and in order."""
        self._post(vm, self._dispatcher.envelope(message))

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer but one, best effort and in order."""
        envelope = self._dispatcher.envelope(message)
        for vm, link in self._links.items():
            if vm != exclude:
                self.stats.messages_out += 1
                link.send(envelope)

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send to one peer and return its answer; raise PeerUnavailable."""
        if vm not in self._links and vm not in self._book:
            raise PeerUnavailable(f"{vm}: no address is known")
        number = self._asks.open(vm)
        envelope = self._dispatcher.envelope(message)
        envelope.ask = number
        self._post(vm, envelope, urgent=True)
        return await self._asks.wait(number, timeout_s)

    def on_message(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Call `handler(vm, message)` for each message of a type."""
        self._dispatcher.on_message(kind, handler)

    def on_ask(self, kind: type[PeerMessage], responder: Responder) -> None:
        """Answer each `ask` of a type by `responder(vm, message)`."""
        self._dispatcher.on_ask(kind, responder)

    def on_hello(self, callback: PeerCallback) -> None:
        """Call back with each peer that introduces itself."""
        self._on_hello.append(callback)

    def on_resync(self, callback: ResyncCallback) -> None:
        """Call back where a stream to a peer is new or lost messages."""
        self._on_resync.append(callback)

    def on_lost(self, callback: ResyncCallback) -> None:
        """Call back where the stream to a peer ended."""
        self._on_lost.append(callback)

    def link_ready(self, link: Link, hello: Hello) -> None:
        """Take in that a peer introduced itself on a stream."""
        identity = from_hello(hello)
        self.learn(link.vm, identity.endpoint)
        known = self._links.get(link.vm)
        if known is not None and not known.closed and self._prefers(known, link):
            link.close()
            return
        if known is not None:
            known.close()
        self._links[link.vm] = link
        for envelope, urgent in self._early.pop(link.vm, ()):
            link.send(envelope, urgent)
        for callback in self._on_hello:
            callback(identity)
        self._resync(link.vm)

    def link_batch(self, link: Link, batch: Batch, gap: bool) -> None:
        """Hand the messages of a batch to their handlers."""
        self.stats.batches_in += 1
        self.stats.messages_in += len(batch.envelopes)
        if gap:
            self.stats.gaps += 1
            self._resync(link.vm)
        for envelope in batch.envelopes:
            answer = self._dispatcher.receive(link.vm, envelope)
            if answer is not None:
                link.send(answer, urgent=True)

    def _prefers(self, known: Link, other: Link) -> bool:
        if known.dialed == other.dialed:
            return False
        lower_dials = self.identity.vm < known.vm
        return known.dialed == lower_dials

    def _resync(self, vm: str) -> None:
        for callback in self._on_resync:
            callback(vm)

    def _post(self, vm: str, envelope: Envelope, urgent: bool = False) -> None:
        self.stats.messages_out += 1
        link = self._links.get(vm)
        if link is not None:
            link.used_at = self._timer.now()
            link.send(envelope, urgent)
            return
        early = self._early.setdefault(vm, [])
        early.append((envelope, urgent))
        if len(early) > self._cfg.queue_limit:
            del early[0]
            self.stats.dropped += 1
        self._dial(vm)

    def _dial(self, vm: str) -> None:
        if vm in self._dialers or vm in self._links or vm not in self._book:
            return
        waits = vm in self._neighbours and vm < self.identity.vm
        delay_s = self._rng.random() * self._cfg.flush_s
        self._dialers[vm] = Dialer(
            self._cfg,
            self._rng,
            self._book[vm],
            lambda endpoint: self._open_once(vm, endpoint),
            delay_s + (_SECOND_DIAL_DELAY_S if waits and vm not in self._early else 0),
        )

    async def _open_once(self, vm: str, endpoint: Endpoint) -> bool:
        if vm in self._links:
            await asyncio.sleep(self._cfg.heartbeat_s)
            return True
        return await self._open(endpoint)

    async def _open(self, endpoint: Endpoint) -> bool:
        try:
            async with dial(endpoint) as stream:
                return await self._serve(stream, dialed=True)
        except Exception:
            return False

    async def _accept(self, stream: CallStream) -> None:
        await self._serve(stream, dialed=False)

    async def _serve(self, stream: CallStream, dialed: bool) -> bool:
        hello = to_hello(self.identity)
        link = Link(self._cfg, self._timer, self, stream, hello, dialed)
        opening = self._timer.after(
            self._cfg.connect_timeout_s, lambda: link.vm or link.close()
        )
        try:
            await link.run()
        finally:
            opening.cancel()
            self._ended(link)
        return bool(link.vm)

    def _ended(self, link: Link) -> None:
        self.stats.dropped += link.outbox.dropped
        if self._links.get(link.vm) is not link:
            return
        del self._links[link.vm]
        self._asks.lost(link.vm)
        for callback in self._on_lost:
            callback(link.vm)
        if link.vm in self._neighbours:
            self._dial(link.vm)

    def _close_unused(self) -> None:
        before = self._timer.now() - self._cfg.idle_close_s
        for vm, link in list(self._links.items()):
            unused = link.dialed and vm not in self._neighbours
            if unused and link.used_at < before:
                link.close()
                if vm in self._dialers:
                    self._dialers.pop(vm).stop()
