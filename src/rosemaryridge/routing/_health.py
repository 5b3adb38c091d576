"""Track the health of a target from the requests that this proxy sent to it."""

import dataclasses
import math
import random

_LATENCY_EWMA_WEIGHT = 0.1
_FAILURE_EWMA_WEIGHT = 0.1
_INITIAL_LATENCY_S = 0.005
_CONSECUTIVE_FAILURES_TO_OPEN = 5
_FAILURE_RATE_TO_OPEN = 0.5
_MIN_SAMPLES = 10
_OPEN_MIN_S = 0.5
_OPEN_MAX_S = 15.0
_SAMPLE_DECAY_S = 10.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Track the load, latency and circuit breaker of a target.

    The breaker opens on consecutive failures or a high failure rate. It stays open
    for a time that doubles with each opening, with jitter, and then lets a single
    request through to probe the target.
    """

    rng: random.Random
    outstanding: int = 0
    latency_s: float = _INITIAL_LATENCY_S
    failure_rate: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    open_count: int = 0
    open_until: float = float("-inf")
    is_probing: bool = False
    sampled_at: float = float("-inf")

    def is_open(self, now: float) -> bool:
        """Return whether the circuit breaker keeps requests from the target."""
        return self.open_count > 0 and (now < self.open_until or self.is_probing)

    def is_due_for_probe(self, now: float) -> bool:
        """Return whether an open circuit breaker is due for its probe request."""
        return self.open_count > 0 and now >= self.open_until and not self.is_probing

    def cost(self, now: float) -> float:
        """Return the expected duration of another request in seconds.

        The cost decays with the age of the last sample, so that a slow target is
        tried again.
        """
        weight = (
            math.exp((self.sampled_at - now) / _SAMPLE_DECAY_S) if self.samples else 1.0
        )
        penalty = 1.0 + 4.0 * self.failure_rate
        return (self.outstanding + 1) * self.latency_s * penalty * weight

    def started(self, now: float) -> None:
        """Record that a request was sent."""
        self.outstanding += 1
        if self.open_count and now >= self.open_until:
            self.is_probing = True

    def finished(self, latency_s: float, ok: bool, now: float) -> None:
        """Record the latency in seconds and the success of a request."""
        self.outstanding = max(0, self.outstanding - 1)
        self.samples += 1
        self.failure_rate += _FAILURE_EWMA_WEIGHT * ((not ok) - self.failure_rate)
        if ok:
            self._record_latency(latency_s, now)
            self._on_success(now)
        else:
            self._on_failure(now)
        self.sampled_at = now

    def eject(self, now: float) -> None:
        """Open the circuit breaker."""
        self.is_probing = False
        self.consecutive_failures = 0
        max_open_s = min(_OPEN_MAX_S, _OPEN_MIN_S * 2**self.open_count)
        self.open_count = min(self.open_count + 1, 16)
        self.open_until = now + max_open_s * self.rng.uniform(0.5, 1.0)

    def _record_latency(self, latency_s: float, now: float) -> None:
        decayed = 1.0 - math.exp((self.sampled_at - now) / _SAMPLE_DECAY_S)
        weight = max(_LATENCY_EWMA_WEIGHT, decayed)
        self.latency_s += weight * (latency_s - self.latency_s)

    def _on_success(self, now: float) -> None:
        self.consecutive_failures = 0
        if self.open_count and now >= self.open_until:
            self._close()

    def _close(self) -> None:
        self.open_count = 0
        self.is_probing = False
        self.failure_rate = 0.0
        self.samples = 0

    def _on_failure(self, now: float) -> None:
        self.consecutive_failures += 1
        if self.is_probing or self.open_count == 0 and self._exceeds_failure_limit():
            self.eject(now)

    def _exceeds_failure_limit(self) -> bool:
        if self.consecutive_failures >= _CONSECUTIVE_FAILURES_TO_OPEN:
            return True
        has_enough_samples = self.samples >= _MIN_SAMPLES
        return has_enough_samples and self.failure_rate > _FAILURE_RATE_TO_OPEN
