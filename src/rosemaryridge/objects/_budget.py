"""Bound the calls that one process makes to the object API."""


class CallBudget:
    """Allow a number of calls a second and a burst; pause when the store asks."""

    def __init__(self, calls_per_s: float, burst: float, now: float):
        self._calls_per_s = calls_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = now
        self._paused_until = now

    def take(self, now: float) -> float:
        """Count one call; return 0 where allowed, else the seconds to wait."""
        self._fill(now)
        if now < self._paused_until:
            return self._paused_until - now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._calls_per_s
        self._tokens -= 1.0
        return 0.0

    def pause(self, now: float, delay_s: float) -> None:
        """Allow no call for some seconds."""
        self._paused_until = max(self._paused_until, now + delay_s)

    def _fill(self, now: float) -> None:
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        filled = self._tokens + passed_s * self._calls_per_s
        self._tokens = min(self._burst, filled)
