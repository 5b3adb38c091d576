"""Carry calls between model nodes with delays, cuts, pauses and crashes."""

import dataclasses
import random
import typing as t

from rosemaryridge.timer import ManualTimer

Callback = t.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Set one-way delays in seconds and the cost of a new connection."""

    near_s: float = 0.0003
    far_s: float = 0.0015
    connect_s: float = 0.010
    jitter_s: float = 0.0
    loss: float = 0.0
    retransmit_s: float = 0.2


class Network:
    """Deliver between named nodes, each in a failure domain."""

    def __init__(self, timer: ManualTimer, rng: random.Random, latency: Latency):
        self.timer = timer
        self.latency = latency
        self.domains: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.dead: set[str] = set()
        self._paused: dict[str, list[Callback]] = {}
        self._rng = rng

    def cut(self, one: str, other: str) -> None:
        """Lose everything between two nodes, both ways."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Undo every cut."""
        self.cuts.clear()

    def pause(self, node: str) -> None:
        """Stop a node; what arrives waits for it."""
        self._paused.setdefault(node, [])

    def resume(self, node: str) -> None:
        """Let a node run again, first through what has arrived."""
        for callback in self._paused.pop(node, []):
            callback()

    def is_up(self, node: str) -> bool:
        """Return whether a node runs."""
        return node not in self.dead and node not in self._paused

    def send(
        self, source: str, target: str, act: Callback, extra_s: float = 0.0
    ) -> None:
        """Run `act` at the target after the delay, unless it is lost."""
        near = self.domains.get(source) == self.domains.get(target)
        delay_s = self.latency.near_s if near else self.latency.far_s
        delay_s += extra_s + self._rng.random() * self.latency.jitter_s
        if self._rng.random() < self.latency.loss:
            delay_s += self.latency.retransmit_s
        self.timer.after(delay_s, lambda: self._arrive(source, target, act))

    def run(self, node: str, act: Callback) -> None:
        """Run at a node now, later while it is paused, never once it is dead."""
        if node in self.dead:
            return
        if node in self._paused:
            self._paused[node].append(act)
            return
        act()

    def _arrive(self, source: str, target: str, act: Callback) -> None:
        if (source, target) not in self.cuts:
            self.run(target, act)
