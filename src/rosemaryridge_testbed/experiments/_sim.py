"""Simulate targets with slots in time that a caller moves."""

import collections
import dataclasses
import random
import typing as t

from rosemaryridge.timer import ManualTimer

Done = t.Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class TargetBehaviour:
    """Say how a target serves; times are seconds, probabilities from 0 to 1."""

    slots: int = 3
    service_s: float = 0.005
    slow_by: float = 1.0
    loss: float = 0.0
    refusal: float = 0.0


class SimTarget:
    """Serve requests in order, so many at a time."""

    def __init__(
        self,
        timer: ManualTimer,
        rng: random.Random,
        behaviour: TargetBehaviour,
        latency_s: float = 0.0015,
        lost_after_s: float = 0.5,
    ):
        self.behaviour = behaviour
        self.served = 0
        self._timer = timer
        self._rng = rng
        self._latency_s = latency_s
        self._lost_after_s = lost_after_s
        self._busy = 0
        self._waiting: collections.deque[Done] = collections.deque()

    def submit(self, done: Done) -> None:
        """Send a request; `done` tells the caller whether it was served."""
        self._timer.after(self._latency_s, lambda: self._arrived(done))

    def _arrived(self, done: Done) -> None:
        drawn = self._rng.random()
        if drawn < self.behaviour.loss:
            self._timer.after(self._lost_after_s, lambda: done(False))
        elif drawn < self.behaviour.loss + self.behaviour.refusal:
            self._timer.after(self._latency_s, lambda: done(False))
        else:
            self._waiting.append(done)
            self._start()

    def _start(self) -> None:
        while self._waiting and self._busy < self.behaviour.slots:
            self._busy += 1
            done = self._waiting.popleft()
            self._timer.after(self._service_s(), lambda done=done: self._ended(done))

    def _ended(self, done: Done) -> None:
        self._busy -= 1
        self.served += 1
        self._timer.after(self._latency_s, lambda: done(True))
        self._start()

    def _service_s(self) -> float:
        mean_s = self.behaviour.service_s * self.behaviour.slow_by
        return mean_s * self._rng.uniform(0.5, 1.5)


class Arrivals:
    """Call back at random times, so many a second."""

    def __init__(
        self,
        timer: ManualTimer,
        rng: random.Random,
        rate: float,
        callback: t.Callable[[], None],
    ):
        self._timer = timer
        self._rng = rng
        self._rate = rate
        self._callback = callback
        self._arm()

    def _arm(self) -> None:
        self._timer.after(self._rng.expovariate(self._rate), self._fire)

    def _fire(self) -> None:
        self._arm()
        self._callback()


def percentile(samples: t.Sequence[float], share: float) -> float:
    """Return the sample below which a share of all samples lies."""
    ordered = sorted(samples)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
