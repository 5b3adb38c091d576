"""Deliver messages between virtual buses with latency and cut links."""

import itertools
import random
import typing as t

from rosemaryridge.model import Endpoint
from rosemaryridge.timer import ManualTimer

if t.TYPE_CHECKING:
    from rosemaryridge_testbed.virtual._bus import VirtualBus

_STREAM_TIMEOUT_S = 6.0
_RECONNECT_DELAY_S = 0.5


class VirtualNetwork:
    """Connect buses; two buses can have a stream while both directions work."""

    def __init__(self, timer: ManualTimer, rng: random.Random, latency_s: float):
        self.timer = timer
        self.bytes = 0
        self.messages = 0
        self._rng = rng
        self._latency_s = latency_s
        self._ports = itertools.count(1)
        self._buses: dict[str, VirtualBus] = {}
        self._by_endpoint: dict[Endpoint, VirtualBus] = {}
        self._cuts: set[tuple[str, str]] = set()

    def attach(self, bus: "VirtualBus") -> Endpoint:
        """Add a bus, or its next incarnation; return its endpoint."""
        endpoint = Endpoint("127.0.0.1", next(self._ports))
        self._buses[bus.vm] = bus
        self._by_endpoint[endpoint] = bus
        return endpoint

    def cut(self, source: str, destination: str) -> None:
        """Drop messages in one direction; the stream ends after a timeout."""
        self._cuts.add((source, destination))
        self.timer.after(
            _STREAM_TIMEOUT_S, lambda: self._end_if_unreachable(source, destination)
        )

    def heal(self) -> None:
        """Remove every cut."""
        self._cuts.clear()

    def crash(self, vm: str) -> None:
        """Remove a bus without notice; its peers' streams end after the latency."""
        bus = self._buses.pop(vm)
        self._by_endpoint.pop(bus.endpoint)
        for other in list(bus.streams):
            self.timer.after(
                self._latency_s, lambda other=other: self._notify_ended(other, vm)
            )

    def reachable(self, vm: str, other: str) -> bool:
        """Return whether both directions between two VMs work."""
        both = vm in self._buses and other in self._buses
        pairs = {(vm, other), (other, vm)}
        return both and not pairs & self._cuts

    def connect(self, bus: "VirtualBus", endpoint: Endpoint) -> bool:
        """Open a stream; return False if the other end is unreachable."""
        other = self._by_endpoint.get(endpoint)
        if other is None or self._buses.get(bus.vm) is not bus:
            return False
        if other is bus or not self.reachable(bus.vm, other.vm):
            return False
        delay_s = 2 * self._latency_s
        self.timer.after(delay_s, lambda: bus.on_opened(other))
        self.timer.after(delay_s, lambda: other.on_opened(bus))
        return True

    def after_reconnect_delay(self, callback: t.Callable[[], None]) -> None:
        """Call back after the delay between connection attempts."""
        delay_s = _RECONNECT_DELAY_S * self._rng.uniform(0.5, 1.5)
        self.timer.after(delay_s, callback)

    def deliver(
        self, source: str, destination: str, size: int, callback: t.Any
    ) -> None:
        """Call `callback` after the one-way latency, unless the direction is cut."""
        self.bytes += size
        self.messages += 1
        delay_s = self._latency_s * self._rng.uniform(1.0, 1.2)
        if (source, destination) not in self._cuts:
            self.timer.after(delay_s, callback)

    def _end_if_unreachable(self, vm: str, other: str) -> None:
        if not self.reachable(vm, other):
            self._notify_ended(vm, other)
            self._notify_ended(other, vm)

    def _notify_ended(self, vm: str, other: str) -> None:
        bus = self._buses.get(vm)
        if bus is not None:
            bus.on_ended(other)
