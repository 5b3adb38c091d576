"""Exchange messages with other proxies over long-lived gRPC streams."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer._bus import Handler
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.peer._bus import Responder
from rosemaryridge.peer._dialer import Dialer
from rosemaryridge.peer._dispatch import Dispatcher
from rosemaryridge.peer._grpc import GrpcStream
from rosemaryridge.peer._grpc import PeerServer
from rosemaryridge.peer._grpc import dial
from rosemaryridge.peer._identity import PeerIdentity
from rosemaryridge.peer._identity import from_hello
from rosemaryridge.peer._identity import to_hello
from rosemaryridge.peer._link import Link
from rosemaryridge.peer._pending import PendingRequests
from rosemaryridge.peer._settings import BusSettings
from rosemaryridge.peer._stats import BusStats
from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope
from rosemaryridge.peer.peer_pb2 import Hello
from rosemaryridge.timer import TimerService

# Delays the dial of the proxy with the higher VM name, so that two neighbours
# normally open one stream between them instead of two.
_HIGHER_VM_DIAL_DELAY_S = 1.0

HelloCallback = t.Callable[[PeerIdentity], None]
VmCallback = t.Callable[[str], None]


class GrpcPeerBus:
    """Maintain streams to the neighbours, and to other peers on demand.

    A stream that was opened on demand is closed once it is idle.
    """

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
        self._pending = PendingRequests(timer)
        self._dispatcher = Dispatcher(self._pending, self.stats)
        self._server = PeerServer(self._serve_accepted)
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, Dialer] = {}
        self._contact_tasks: dict[Endpoint, asyncio.Task[bool]] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._addresses: dict[str, Endpoint] = {}
        self._unsent: dict[str, list[tuple[Envelope, bool]]] = {}
        self._on_hello: list[HelloCallback] = []
        self._on_resync: list[VmCallback] = []
        self._on_lost: list[VmCallback] = []

    async def start(self) -> Endpoint:
        """Listen for peers and return the bound address."""
        port = await self._server.start(self.identity.endpoint)
        bound = Endpoint(self.identity.endpoint.host, port)
        self.identity = dataclasses.replace(self.identity, endpoint=bound)
        self._idle_sweep = self._timer.every(
            self._cfg.idle_close_s / 2, self._close_idle, 0.2, self._rng
        )
        return bound

    async def stop(self) -> None:
        """Close every stream and stop listening."""
        self._idle_sweep.cancel()
        for dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()
        for task in list(self._contact_tasks.values()):
            task.cancel()
        for link in list(self._links.values()):
            link.close()
        await self._server.stop()

    def peers(self) -> tuple[str, ...]:
        """Return the VMs with a ready stream, in order of their names."""
        return tuple(sorted(self._links))

    def set_address(self, vm: str, endpoint: Endpoint) -> None:
        """Record the address of a peer; redial the peer if its address changed."""
        if vm == self.identity.vm or self._addresses.get(vm) == endpoint:
            return
        self._addresses[vm] = endpoint
        if vm in self._dialers:
            self._dialers.pop(vm).stop()
        if vm in self._neighbours:
            self._start_dialer(vm)

    def remove_address(self, vm: str) -> None:
        """Remove the address of a peer and stop dialing it."""
        self._addresses.pop(vm, None)
        self._unsent.pop(vm, None)
        if vm in self._dialers:
            self._dialers.pop(vm).stop()

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Set the peers to which a stream is maintained."""
        self._neighbours = frozenset(vms) - {self.identity.vm}
        needed = self._neighbours | self._links.keys() | self._unsent.keys()
        for vm in [vm for vm in self._dialers if vm not in needed]:
            self._dialers.pop(vm).stop()
        for vm in self._neighbours:
            self._start_dialer(vm)

    def contact(self, endpoint: Endpoint) -> None:
        """Open a stream once, without retries, to a peer with an unknown VM name."""
        if endpoint not in self._contact_tasks:
            task = asyncio.ensure_future(self._dial_endpoint(endpoint))
            self._contact_tasks[endpoint] = task
            task.add_done_callback(lambda _: self._contact_tasks.pop(endpoint, None))

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer, best effort and in order."""
        self._send_envelope(vm, self._dispatcher.envelope(message))

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer except `exclude`, best effort and in order."""
        envelope = self._dispatcher.envelope(message)
        for vm, link in self._links.items():
            if vm != exclude:
                self.stats.messages_out += 1
                link.send(envelope)

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request to a peer and return its answer.

        Raise PeerUnavailable if no answer arrives within `timeout_s` seconds.
        """
        if vm not in self._links and vm not in self._addresses:
            raise PeerUnavailable(f"peer {vm}: address unknown")
        request_id = self._pending.create(vm)
        envelope = self._dispatcher.envelope(message)
        envelope.ask = request_id
        self._send_envelope(vm, envelope, urgent=True)
        return await self._pending.wait(request_id, timeout_s)

    def on_message(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Call `handler(vm, message)` for each message of type `kind`."""
        self._dispatcher.on_message(kind, handler)

    def on_ask(self, kind: type[PeerMessage], responder: Responder) -> None:
        """Answer each request of type `kind` with `responder(vm, message)`."""
        self._dispatcher.on_ask(kind, responder)

    def on_hello(self, callback: HelloCallback) -> None:
        """Call `callback(identity)` for each peer that sends its hello."""
        self._on_hello.append(callback)

    def on_resync(self, callback: VmCallback) -> None:
        """Call `callback(vm)` if the stream to a peer is new or has a gap."""
        self._on_resync.append(callback)

    def on_lost(self, callback: VmCallback) -> None:
        """Call `callback(vm)` if the stream to a peer ended."""
        self._on_lost.append(callback)

    def hello_received(self, link: Link, hello: Hello) -> None:
        """Register the link of a peer, one per peer, and send its queued messages."""
        identity = from_hello(hello)
        self.set_address(link.vm, identity.endpoint)
        current = self._links.get(link.vm)
        if (
            current is not None
            and not current.closed
            and self._should_keep(current, link)
        ):
            link.close()
            return
        if current is not None:
            current.close()
        self._links[link.vm] = link
        for envelope, urgent in self._unsent.pop(link.vm, ()):
            link.send(envelope, urgent)
        for callback in self._on_hello:
            callback(identity)
        self._notify_resync(link.vm)

    def batch_received(self, link: Link, batch: Batch, gap: bool) -> None:
        """Dispatch the messages of a batch and send the answers."""
        self.stats.batches_in += 1
        self.stats.messages_in += len(batch.envelopes)
        if gap:
            self.stats.gaps += 1
            self._notify_resync(link.vm)
        for envelope in batch.envelopes:
            answer = self._dispatcher.receive(link.vm, envelope)
            if answer is not None:
                link.send(answer, urgent=True)

    def _should_keep(self, current: Link, new: Link) -> bool:
        if current.dialed == new.dialed:
            return False
        is_lower = self.identity.vm < current.vm
        return current.dialed == is_lower

    def _notify_resync(self, vm: str) -> None:
        for callback in self._on_resync:
            callback(vm)

    def _send_envelope(self, vm: str, envelope: Envelope, urgent: bool = False) -> None:
        self.stats.messages_out += 1
        link = self._links.get(vm)
        if link is not None:
            link.last_used_at = self._timer.now()
            link.send(envelope, urgent)
            return
        unsent = self._unsent.setdefault(vm, [])
        unsent.append((envelope, urgent))
        if len(unsent) > self._cfg.queue_limit:
            del unsent[0]
            self.stats.dropped += 1
        self._start_dialer(vm)

    def _start_dialer(self, vm: str) -> None:
        if vm in self._dialers or vm in self._links or vm not in self._addresses:
            return
        defers = vm in self._neighbours and vm < self.identity.vm
        delay_s = self._rng.random() * self._cfg.flush_s
        self._dialers[vm] = Dialer(
            self._cfg,
            self._rng,
            self._addresses[vm],
            lambda endpoint: self._dial_if_not_connected(vm, endpoint),
            delay_s
            + (_HIGHER_VM_DIAL_DELAY_S if defers and vm not in self._unsent else 0),
        )

    async def _dial_if_not_connected(self, vm: str, endpoint: Endpoint) -> bool:
        if vm in self._links:
            await asyncio.sleep(self._cfg.heartbeat_s)
            return True
        return await self._dial_endpoint(endpoint)

    async def _dial_endpoint(self, endpoint: Endpoint) -> bool:
        try:
            async with dial(endpoint) as stream:
                return await self._serve(stream, dialed=True)
        except Exception:
            return False

    async def _serve_accepted(self, stream: GrpcStream) -> None:
        await self._serve(stream, dialed=False)

    async def _serve(self, stream: GrpcStream, dialed: bool) -> bool:
        hello = to_hello(self.identity)
        link = Link(self._cfg, self._timer, self, stream, hello, dialed)
        hello_timeout = self._timer.after(
            self._cfg.connect_timeout_s, lambda: link.vm or link.close()
        )
        try:
            await link.run()
        finally:
            hello_timeout.cancel()
            self._on_link_ended(link)
        return bool(link.vm)

    def _on_link_ended(self, link: Link) -> None:
        self.stats.dropped += link.outbox.dropped
        if self._links.get(link.vm) is not link:
            return
        del self._links[link.vm]
        self._pending.fail_all(link.vm)
        for callback in self._on_lost:
            callback(link.vm)
        if link.vm in self._neighbours:
            self._start_dialer(link.vm)

    def _close_idle(self) -> None:
        cutoff = self._timer.now() - self._cfg.idle_close_s
        for vm, link in list(self._links.items()):
            on_demand = link.dialed and vm not in self._neighbours
            if on_demand and link.last_used_at < cutoff:
                link.close()
                if vm in self._dialers:
                    self._dialers.pop(vm).stop()
