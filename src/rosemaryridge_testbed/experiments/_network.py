"""Model a network of nodes with delays, cuts, pauses and crashes."""

import dataclasses
import random
import typing as t

from rosemaryridge.timer import ManualTimer

Callback = t.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Configure one-way delays and loss; times in seconds.

    `connect_s` is the extra delay of a new connection.
    """

    near_s: float = 0.0003
    far_s: float = 0.0015
    connect_s: float = 0.010
    jitter_s: float = 0.0
    loss: float = 0.0
    retransmit_s: float = 0.2


class Network:
    """Deliver calls between named nodes, each in a failure domain."""

    def __init__(self, timer: ManualTimer, rng: random.Random, latency: Latency):
        self.timer = timer
        self.latency = latency
        self.failure_domains: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.dead: set[str] = set()
        self._paused: dict[str, list[Callback]] = {}
        self._rng = rng

    def cut(self, node: str, other: str) -> None:
        """Drop all calls between two nodes, in both directions."""
        self.cuts |= {(node, other), (other, node)}

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    def pause(self, node: str) -> None:
        """Pause a node; arriving calls are queued."""
        self._paused.setdefault(node, [])

    def resume(self, node: str) -> None:
        """Resume a node and run its queued calls in order."""
        for callback in self._paused.pop(node, []):
            callback()

    def is_up(self, node: str) -> bool:
        """Return whether a node is neither dead nor paused."""
        return node not in self.dead and node not in self._paused

    def send(
        self, source: str, destination: str, callback: Callback, extra_s: float = 0.0
    ) -> None:
        """Run `callback` at the destination after the delay, unless the link is cut.

        A lost packet delays the call by `retransmit_s`.
        """
        same_domain = self.failure_domains.get(source) == self.failure_domains.get(
            destination
        )
        delay_s = self.latency.near_s if same_domain else self.latency.far_s
        delay_s += extra_s + self._rng.random() * self.latency.jitter_s
        if self._rng.random() < self.latency.loss:
            delay_s += self.latency.retransmit_s
        self.timer.after(
            delay_s, lambda: self._on_arrival(source, destination, callback)
        )

    def run(self, node: str, callback: Callback) -> None:
        """Run at a node: now, on resume if it is paused, never if it is dead."""
        if node in self.dead:
            return
        if node in self._paused:
            self._paused[node].append(callback)
            return
        callback()

    def _on_arrival(self, source: str, destination: str, callback: Callback) -> None:
        if (source, destination) not in self.cuts:
            self.run(destination, callback)
