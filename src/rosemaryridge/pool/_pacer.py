"""Schedule the opening of connections to one target."""

import random


class OpenPacer:
    """Compute when the next connection may be opened.

    Openings are separated by a gap with jitter. Failures delay the next opening
    exponentially with jitter, so that proxies do not reconnect in step after a
    failover.
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
        """Return whether the last attempt to open a connection did not succeed."""
        return self._failures > 0

    def reserve(self, now: float) -> float:
        """Reserve the next opening; return the seconds to wait for it."""
        open_at = max(now, self._next_at)
        self._next_at = open_at + self._gap_s * self._rng.uniform(0.5, 1.5)
        return open_at - now

    def blocked_s(self, now: float) -> float:
        """Return the seconds for which past failures delay the next opening."""
        return max(0.0, self._next_at - now) if self._failures else 0.0

    def on_success(self) -> None:
        """Reset the backoff."""
        self._failures = 0

    def on_failure(self, now: float) -> None:
        """Delay the next opening after a failure."""
        self._failures += 1
        max_delay_s = min(self._max_s, self._min_s * 2 ** min(self._failures, 16))
        self._next_at = max(
            self._next_at, now + max_delay_s * self._rng.uniform(0.5, 1.0)
        )
