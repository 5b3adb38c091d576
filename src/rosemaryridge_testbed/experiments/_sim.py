"""Simulate targets with slots in virtual time."""

import collections
import dataclasses
import random
import typing as t

from rosemaryridge.timer import ManualTimer

DoneCallback = t.Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class TargetBehaviour:
    """Configure a target; times in seconds, probabilities from 0 to 1."""

    slots: int = 3
    service_s: float = 0.005
    slow_by: float = 1.0
    loss: float = 0.0
    refusal: float = 0.0


class SimTarget:
    """Serve requests in arrival order, as many at a time as there are slots."""

    def __init__(
        self,
        timer: ManualTimer,
        rng: random.Random,
        behaviour: TargetBehaviour,
        latency_s: float = 0.0015,
        loss_timeout_s: float = 0.5,
    ):
        self.behaviour = behaviour
        self.served = 0
        self._timer = timer
        self._rng = rng
        self._latency_s = latency_s
        self._loss_timeout_s = loss_timeout_s
        self._busy = 0
        self._waiting: collections.deque[DoneCallback] = collections.deque()

    def submit(self, done: DoneCallback) -> None:
        """Send a request; call `done` with whether it was served."""
        self._timer.after(self._latency_s, lambda: self._on_arrival(done))

    def _on_arrival(self, done: DoneCallback) -> None:
        draw = self._rng.random()
        if draw < self.behaviour.loss:
            self._timer.after(self._loss_timeout_s, lambda: done(False))
        elif draw < self.behaviour.loss + self.behaviour.refusal:
            self._timer.after(self._latency_s, lambda: done(False))
        else:
            self._waiting.append(done)
            self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and self._busy < self.behaviour.slots:
            self._busy += 1
            done = self._waiting.popleft()
            self._timer.after(
                self._service_s(), lambda done=done: self._on_served(done)
            )

    def _on_served(self, done: DoneCallback) -> None:
        self._busy -= 1
        self.served += 1
        self._timer.after(self._latency_s, lambda: done(True))
        self._start_waiting()

    def _service_s(self) -> float:
        mean_s = self.behaviour.service_s * self.behaviour.slow_by
        return mean_s * self._rng.uniform(0.5, 1.5)


class Arrivals:
    """Call back as a Poisson process with `rate` calls a second."""

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
        self._schedule()

    def _schedule(self) -> None:
        self._timer.after(self._rng.expovariate(self._rate), self._fire)

    def _fire(self) -> None:
        self._schedule()
        self._callback()


def percentile(samples: t.Sequence[float], share: float) -> float:
    """Return the sample at quantile `share`, or NaN without samples."""
    ordered = sorted(samples)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
