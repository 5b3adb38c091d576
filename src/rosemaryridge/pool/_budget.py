"""Limit the slot time that a business uses at a proxy."""

_MIN_BURST_S = 0.001


class SlotBudget:
    """Limit slot time with a token bucket; without a rate there is no limit.

    A rate of 0.5 allows half a slot on average. Requests may start while the bucket
    is not empty; their hold time is then deducted and may make it negative.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self._tokens_s = 0.0
        self._updated_at = 0.0

    def set_rate(self, rate: float | None, now: float) -> None:
        """Set the rate in slots; None removes the limit."""
        if self.rate is None:
            self._tokens_s = 0.0
            self._updated_at = now
        self._refill(now, _MIN_BURST_S)
        self.rate = rate

    def has_tokens(self, now: float) -> bool:
        """Return whether a request may start."""
        if self.rate is None:
            return True
        self._refill(now, _MIN_BURST_S)
        return self._tokens_s > 0.0

    def spend(self, time_s: float) -> None:
        """Deduct used slot time in seconds; negative time is a refund."""
        if self.rate is not None:
            self._tokens_s -= time_s

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request may start."""
        if self.has_tokens(now):
            return 0.0
        rate = max(1e-6, self.rate or 0.0)
        return (1e-6 - self._tokens_s) / rate

    def _refill(self, now: float, burst_s: float) -> None:
        refill_s = (self.rate or 0.0) * (now - self._updated_at)
        self._tokens_s = min(burst_s, self._tokens_s + refill_s)
        self._updated_at = now
