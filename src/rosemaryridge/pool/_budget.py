"""Limit the slot time that one business uses at one proxy."""

_MIN_BURST_S = 0.001


class SlotBudget:
    """Earn slot time at a rate and spend it; without a rate there is no limit.

    A rate of 0.5 allows half a slot's time on average: requests start while any
    earned time is left, and the time they use is taken off.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self._tokens_s = 0.0
        self._at = 0.0

    def limit(self, rate: float | None, now: float) -> None:
        """Change the rate."""
        if self.rate is None:
            self._tokens_s = 0.0
            self._at = now
        self._earn(now, _MIN_BURST_S)
        self.rate = rate

    def is_open(self, now: float) -> bool:
        """Return whether a request may start."""
        if self.rate is None:
            return True
        self._earn(now, _MIN_BURST_S)
        return self._tokens_s > 0.0

    def spend(self, time_s: float) -> None:
        """Take off slot time that is used; negative time gives it back."""
        if self.rate is not None:
            self._tokens_s -= time_s

    def opens_in_s(self, now: float) -> float:
        """Return the time until a request may start, in seconds."""
        if self.is_open(now):
            return 0.0
        rate = max(1e-6, self.rate or 0.0)
        return (1e-6 - self._tokens_s) / rate

    def _earn(self, now: float, burst_s: float) -> None:
        earned = (self.rate or 0.0) * (now - self._at)
        self._tokens_s = min(burst_s, self._tokens_s + earned)
        self._at = now
