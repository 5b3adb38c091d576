"""Limit the rate of calls that a process makes to the object API."""


class CallBudget:
    """Limit calls by a token bucket, which can be paused at the store's request."""

    def __init__(self, calls_per_s: float, burst: float, now: float):
        self._calls_per_s = calls_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = now
        self._paused_until = now

    def acquire(self, now: float) -> float:
        """Acquire one call; return 0 if it is allowed, else the seconds to wait."""
        self._refill(now)
        if now < self._paused_until:
            return self._paused_until - now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._calls_per_s
        self._tokens -= 1.0
        return 0.0

    def pause(self, now: float, delay_s: float) -> None:
        """Allow no calls for `delay_s` seconds."""
        self._paused_until = max(self._paused_until, now + delay_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        filled = self._tokens + elapsed_s * self._calls_per_s
        self._tokens = min(self._burst, filled)
