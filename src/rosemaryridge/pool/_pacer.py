"""Pace the opening of connections to one target."""

import random


class OpenPacer:
    """Say when the next connection may be opened.

    Openings keep a gap with jitter; failures back off exponentially with full
    jitter, so that proxies do not open in step after a failover.
    """

    def __init__(
        self,
        gap_s: float,
        backoff_min_s: float,
        backoff_max_s: float,
        rng: random.Random,
    ):
        self._gap_s = gap_s
        self._min_s = backoff_min_s
        self._max_s = backoff_max_s
        self._rng = rng
        self._next_at = float("-inf")
        self._failures = 0

    @property
    def failing(self) -> bool:
        """Return whether the last opening failed."""
        return self._failures > 0

    def reserve(self, now: float) -> float:
        """Take the next opening; return how long to wait for it, in seconds."""
        start = max(now, self._next_at)
        self._next_at = start + self._gap_s * self._rng.uniform(0.5, 1.5)
        return start - now

    def blocked_s(self, now: float) -> float:
        """Return how long failures keep the target from being opened."""
        return max(0.0, self._next_at - now) if self._failures else 0.0

    def succeeded(self) -> None:
        """Forget past failures."""
        self._failures = 0

    def failed(self, now: float) -> None:
        """Back off after a failure."""
        self._failures += 1
        cap = min(self._max_s, self._min_s * 2 ** min(self._failures, 16))
        self._next_at = max(self._next_at, now + cap * self._rng.uniform(0.5, 1.0))
