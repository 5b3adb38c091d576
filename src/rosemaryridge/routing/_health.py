"""Judge one target by the requests that this proxy sent to it."""

import dataclasses
import math
import random

_LATENCY_WEIGHT = 0.1
_FAILURE_WEIGHT = 0.1
_FIRST_LATENCY_S = 0.005
_FAILURES_TO_OPEN = 5
_FAILURE_RATE_TO_OPEN = 0.5
_MIN_SAMPLES = 10
_OPEN_MIN_S = 0.5
_OPEN_MAX_S = 15.0
_FORGET_S = 10.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Hold load, latency and a breaker.

    The breaker opens on failures in a row or on a failure rate, for a time that
    doubles with full jitter; then it lets one request through to test the target.
    """

    rng: random.Random
    outstanding: int = 0
    latency_s: float = _FIRST_LATENCY_S
    failure_rate: float = 0.0
    samples: int = 0
    failures: int = 0
    opened: int = 0
    open_until: float = float("-inf")
    testing: bool = False
    sampled_at: float = float("-inf")

    def is_open(self, now: float) -> bool:
        """Return whether the breaker keeps requests away."""
        return self.opened > 0 and (now < self.open_until or self.testing)

    def is_due(self, now: float) -> bool:
        """Return whether an open breaker waits for its test request."""
        return self.opened > 0 and now >= self.open_until and not self.testing

    def cost(self, now: float) -> float:
        """Return the expected time of one more request, in seconds.

        An old latency counts for less, so that a target is tried again.
        """
        kept = math.exp((self.sampled_at - now) / _FORGET_S) if self.samples else 1.0
        penalty = 1.0 + 4.0 * self.failure_rate
        return (self.outstanding + 1) * self.latency_s * penalty * kept

    def started(self, now: float) -> None:
        """Count a request that was sent."""
        self.outstanding += 1
        if self.opened and now >= self.open_until:
            self.testing = True

    def finished(self, latency_s: float, ok: bool, now: float) -> None:
        """Take in how a request ended."""
        self.outstanding = max(0, self.outstanding - 1)
        self.samples += 1
        self.failure_rate += _FAILURE_WEIGHT * ((not ok) - self.failure_rate)
        if ok:
            self._sample(latency_s, now)
            self._succeeded(now)
        else:
            self._failed(now)
        self.sampled_at = now

    def eject(self, now: float) -> None:
        """Open the breaker."""
        self.testing = False
        self.failures = 0
        cap = min(_OPEN_MAX_S, _OPEN_MIN_S * 2**self.opened)
        self.opened = min(self.opened + 1, 16)
        self.open_until = now + cap * self.rng.uniform(0.5, 1.0)

    def _sample(self, latency_s: float, now: float) -> None:
        forgotten = 1.0 - math.exp((self.sampled_at - now) / _FORGET_S)
        weight = max(_LATENCY_WEIGHT, forgotten)
        self.latency_s += weight * (latency_s - self.latency_s)

    def _succeeded(self, now: float) -> None:
        self.failures = 0
        if self.opened and now >= self.open_until:
            self._close()

    def _close(self) -> None:
        self.opened = 0
        self.testing = False
        self.failure_rate = 0.0
        self.samples = 0

    def _failed(self, now: float) -> None:
        self.failures += 1
        if self.testing or self.opened == 0 and self._too_many_failures():
            self.eject(now)

    def _too_many_failures(self) -> bool:
        if self.failures >= _FAILURES_TO_OPEN:
            return True
        rated = self.samples >= _MIN_SAMPLES
        return rated and self.failure_rate > _FAILURE_RATE_TO_OPEN
