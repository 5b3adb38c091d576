"""Stand in for the peers' bus in memory."""

import asyncio
import typing as t

import msgspec

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.peer import PeerMessage
from rosemaryridge_testbed.virtual._network import VirtualNetwork

_SWEEP_S = 10.0


class VirtualBus:
    """Send messages through a virtual network."""

    def __init__(
        self,
        network: VirtualNetwork,
        vm: str,
        failure_domain: str,
        incarnation: int = 1,
    ):
        self.vm = vm
        self.streams: dict[str, VirtualBus] = {}
        self._network = network
        self.endpoint = network.attach(self)
        self.identity = PeerIdentity(
            vm, incarnation, failure_domain, "here", self.endpoint
        )
        self._book: dict[str, Endpoint] = {}
        self._neighbours: set[str] = set()
        self._dialing: set[str] = set()
        self._handlers: dict[type, list[t.Any]] = {}
        self._responders: dict[type, t.Any] = {}
        self._on_hello: list[t.Any] = []
        self._on_resync: list[t.Any] = []
        self._on_lost: list[t.Any] = []
        network.timer.every(_SWEEP_S, self._close_unused)

    def peers(self) -> tuple[str, ...]:
        """Return the VMs that are connected now."""
        return tuple(sorted(self.streams))

    def set_address(self, vm: str, endpoint: Endpoint) -> None:
        """Take in where a peer listens."""
        if vm != self.vm:
            self._book[vm] = endpoint

    def remove_address(self, vm: str) -> None:
        """Drop a peer's address."""
        self._book.pop(vm, None)

    def contact(self, endpoint: Endpoint) -> None:
        """Open a stream once."""
        self._network.connect(self, endpoint)

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Choose the peers to which streams are kept."""
        self._neighbours = set(vms) - {self.vm}
        for vm in self._neighbours:
            self._dial(vm)

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer."""
        other = self.streams.get(vm)
        if other is None:
            self._dial(vm)
            return
        self._network.deliver(
            self.vm, vm, _size(message), lambda: other.received(self.vm, message)
        )

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer but one."""
        for vm in tuple(self.streams):
            if vm != exclude:
                self.send(vm, message)

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send to one peer and return its answer; raise PeerUnavailable."""
        other = self.streams.get(vm)
        if other is None:
            self._dial(vm)
            raise PeerUnavailable(vm)
        answer = asyncio.get_running_loop().create_future()
        self._network.deliver(
            self.vm, vm, _size(message), lambda: other.asked(self, message, answer)
        )
        expired = PeerUnavailable(f"{vm}: no answer")
        self._network.timer.after(
            timeout_s, lambda: answer.done() or answer.set_exception(expired)
        )
        return await answer

    def on_message(self, kind: type, handler: t.Any) -> None:
        """Call `handler(vm, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def on_ask(self, kind: type, responder: t.Any) -> None:
        """Answer each `ask` of a type by `responder(vm, message)`."""
        self._responders[kind] = responder

    def on_hello(self, callback: t.Any) -> None:
        """Call back with each peer that introduces itself."""
        self._on_hello.append(callback)

    def on_resync(self, callback: t.Any) -> None:
        """Call back where a stream is new."""
        self._on_resync.append(callback)

    def on_lost(self, callback: t.Any) -> None:
        """Call back where a stream ended."""
        self._on_lost.append(callback)

    def received(self, vm: str, message: PeerMessage) -> None:
        """Hand over a message."""
        for handler in self._handlers.get(type(message), ()):
            handler(vm, message)

    def asked(
        self, source: "VirtualBus", message: PeerMessage, answer: asyncio.Future
    ) -> None:
        """Answer a question."""
        reply = self._responders[type(message)](source.vm, message)
        self._network.deliver(
            self.vm,
            source.vm,
            _size(reply),
            lambda: answer.done() or answer.set_result(reply),
        )

    def opened(self, other: "VirtualBus") -> None:
        """Take in that a stream is open."""
        if self.streams.get(other.vm) is other:
            return
        self.streams[other.vm] = other
        for callback in self._on_hello:
            callback(other.identity)
        for callback in self._on_resync:
            callback(other.vm)

    def ended(self, vm: str) -> None:
        """Take in that a stream has ended."""
        if self.streams.pop(vm, None) is None:
            return
        for callback in self._on_lost:
            callback(vm)
        if vm in self._neighbours:
            self._dial(vm)

    def _close_unused(self) -> None:
        for vm, other in list(self.streams.items()):
            if vm not in self._neighbours and self.vm not in other._neighbours:
                self.ended(vm)
                other.ended(self.vm)

    def _dial(self, vm: str) -> None:
        if vm in self.streams or vm in self._dialing or vm not in self._book:
            return
        if not self._network.connect(self, self._book[vm]):
            self._dialing.add(vm)
            self._network.redial(lambda: self._redial(vm))

    def _redial(self, vm: str) -> None:
        self._dialing.discard(vm)
        if vm in self._neighbours:
            self._dial(vm)


def _size(message: PeerMessage) -> int:
    return len(msgspec.msgpack.encode(message))
