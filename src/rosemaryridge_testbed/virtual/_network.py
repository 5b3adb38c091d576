"""Carry messages between virtual buses with latency and cuts."""

import itertools
import random
import typing as t

from rosemaryridge.model import Endpoint
from rosemaryridge.timer import ManualTimer

if t.TYPE_CHECKING:
    from rosemaryridge_testbed.virtual._bus import VirtualBus

_SILENCE_S = 6.0
_REDIAL_S = 0.5


class VirtualNetwork:
    """Connect buses; a pair has a stream while both directions work."""

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
        """Add a bus or the next incarnation of one; return its address."""
        endpoint = Endpoint("127.0.0.1", next(self._ports))
        self._buses[bus.vm] = bus
        self._by_endpoint[endpoint] = bus
        return endpoint

    def cut(self, source: str, destination: str) -> None:
        """Lose everything that goes one way; the stream ends after silence."""
        self._cuts.add((source, destination))
        self.timer.after(_SILENCE_S, lambda: self._part(source, destination))

    def heal(self) -> None:
        """Undo every cut."""
        self._cuts.clear()

    def crash(self, vm: str) -> None:
        """End a bus without a word."""
        bus = self._buses.pop(vm)
        self._by_endpoint.pop(bus.endpoint)
        for other in list(bus.streams):
            self.timer.after(self._latency_s, lambda other=other: self._end(other, vm))

    def reachable(self, one: str, other: str) -> bool:
        """Return whether both directions between two VMs work."""
        both = one in self._buses and other in self._buses
        pairs = {(one, other), (other, one)}
        return both and not pairs & self._cuts

    def connect(self, bus: "VirtualBus", endpoint: Endpoint) -> bool:
        """Open a stream where the other end can be reached."""
        other = self._by_endpoint.get(endpoint)
        if other is None or self._buses.get(bus.vm) is not bus:
            return False
        if other is bus or not self.reachable(bus.vm, other.vm):
            return False
        delay_s = 2 * self._latency_s
        self.timer.after(delay_s, lambda: bus.opened(other))
        self.timer.after(delay_s, lambda: other.opened(bus))
        return True

    def redial(self, callback: t.Callable[[], None]) -> None:
        """Call back when a failed stream is tried again."""
        delay_s = _REDIAL_S * self._rng.uniform(0.5, 1.5)
        self.timer.after(delay_s, callback)

    def deliver(self, source: str, destination: str, size: int, act: t.Any) -> None:
        """Carry a message one way."""
        self.bytes += size
        self.messages += 1
        delay_s = self._latency_s * self._rng.uniform(1.0, 1.2)
        if (source, destination) not in self._cuts:
            self.timer.after(delay_s, act)

    def _part(self, one: str, other: str) -> None:
        if not self.reachable(one, other):
            self._end(one, other)
            self._end(other, one)

    def _end(self, vm: str, other: str) -> None:
        bus = self._buses.get(vm)
        if bus is not None:
            bus.ended(other)
