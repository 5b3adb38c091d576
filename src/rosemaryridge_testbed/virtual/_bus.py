"""Emulate the peer bus in memory."""

import asyncio
import typing as t

import msgspec

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.peer import PeerMessage
from rosemaryridge_testbed.virtual._network import VirtualNetwork

_CLOSE_UNUSED_PERIOD_S = 10.0


class VirtualBus:
    """Send peer messages over a virtual network."""

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
        self._endpoints: dict[str, Endpoint] = {}
        self._neighbours: set[str] = set()
        self._reconnecting: set[str] = set()
        self._handlers: dict[type, list[t.Any]] = {}
        self._responders: dict[type, t.Any] = {}
        self._on_hello: list[t.Any] = []
        self._on_resync: list[t.Any] = []
        self._on_lost: list[t.Any] = []
        network.timer.every(_CLOSE_UNUSED_PERIOD_S, self._close_unused)

    def peers(self) -> tuple[str, ...]:
        """Return the connected VMs, sorted."""
        return tuple(sorted(self.streams))

    def set_address(self, vm: str, endpoint: Endpoint) -> None:
        """Record a peer's endpoint."""
        if vm != self.vm:
            self._endpoints[vm] = endpoint

    def remove_address(self, vm: str) -> None:
        """Remove a peer's endpoint."""
        self._endpoints.pop(vm, None)

    def contact(self, endpoint: Endpoint) -> None:
        """Try once to open a stream to an endpoint."""
        self._network.connect(self, endpoint)

    def set_neighbours(self, vms: t.Iterable[str]) -> None:
        """Set the peers to which streams are maintained."""
        self._neighbours = set(vms) - {self.vm}
        for vm in self._neighbours:
            self._connect(vm)

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer; drop the message and connect if there is no stream."""
        other = self.streams.get(vm)
        if other is None:
            self._connect(vm)
            return
        self._network.deliver(
            self.vm, vm, _size(message), lambda: other.on_received(self.vm, message)
        )

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer except `exclude`."""
        for vm in tuple(self.streams):
            if vm != exclude:
                self.send(vm, message)

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request to one peer; return its answer or raise PeerUnavailable."""
        other = self.streams.get(vm)
        if other is None:
            self._connect(vm)
            raise PeerUnavailable(vm)
        answer = asyncio.get_running_loop().create_future()
        self._network.deliver(
            self.vm, vm, _size(message), lambda: other.on_asked(self, message, answer)
        )
        timeout_error = PeerUnavailable(f"{vm}: no answer within {timeout_s:g} s")
        self._network.timer.after(
            timeout_s, lambda: answer.done() or answer.set_exception(timeout_error)
        )
        return await answer

    def on_message(self, kind: type, handler: t.Any) -> None:
        """Call `handler(vm, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def on_ask(self, kind: type, responder: t.Any) -> None:
        """Answer each `ask` of a type by `responder(vm, message)`."""
        self._responders[kind] = responder

    def on_hello(self, callback: t.Any) -> None:
        """Call `callback(identity)` when a stream to a peer opens."""
        self._on_hello.append(callback)

    def on_resync(self, callback: t.Any) -> None:
        """Call `callback(vm)` when a stream is new."""
        self._on_resync.append(callback)

    def on_lost(self, callback: t.Any) -> None:
        """Call `callback(vm)` when a stream has ended."""
        self._on_lost.append(callback)

    def on_received(self, vm: str, message: PeerMessage) -> None:
        """Pass a received message to its handlers."""
        for handler in self._handlers.get(type(message), ()):
            handler(vm, message)

    def on_asked(
        self, source: "VirtualBus", message: PeerMessage, answer: asyncio.Future
    ) -> None:
        """Answer a request."""
        reply = self._responders[type(message)](source.vm, message)
        self._network.deliver(
            self.vm,
            source.vm,
            _size(reply),
            lambda: answer.done() or answer.set_result(reply),
        )

    def on_opened(self, other: "VirtualBus") -> None:
        """Register an open stream and notify the listeners."""
        if self.streams.get(other.vm) is other:
            return
        self.streams[other.vm] = other
        for callback in self._on_hello:
            callback(other.identity)
        for callback in self._on_resync:
            callback(other.vm)

    def on_ended(self, vm: str) -> None:
        """Remove an ended stream, notify the listeners and reconnect a neighbour."""
        if self.streams.pop(vm, None) is None:
            return
        for callback in self._on_lost:
            callback(vm)
        if vm in self._neighbours:
            self._connect(vm)

    def _close_unused(self) -> None:
        for vm, other in list(self.streams.items()):
            if vm not in self._neighbours and self.vm not in other._neighbours:
                self.on_ended(vm)
                other.on_ended(self.vm)

    def _connect(self, vm: str) -> None:
        if vm in self.streams or vm in self._reconnecting or vm not in self._endpoints:
            return
        if not self._network.connect(self, self._endpoints[vm]):
            self._reconnecting.add(vm)
            self._network.after_reconnect_delay(lambda: self._reconnect(vm))

    def _reconnect(self, vm: str) -> None:
        self._reconnecting.discard(vm)
        if vm in self._neighbours:
            self._connect(vm)


def _size(message: PeerMessage) -> int:
    return len(msgspec.msgpack.encode(message))
