"""Divide what a quota permits among the proxies that issue permits."""

import dataclasses

# Shares of the permitted excess: for random arrivals of small businesses, for a higher
# rate, which serves callers throughout a window, and for permit issuers that restart
# and forget what they issued; all may do so once within a window.
_BURST_SHARE = 0.2
_RATE_SHARE = 0.15
_START_SHARE = 0.6
# Each issuer has an equal part, so one that dies takes little with it.
_MAX_ISSUERS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Hold a business' rate and burst in one version of the configuration."""

    rate_per_s: float
    burst: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """Define how far a business may exceed its quota in a window.

    In any window of `window_s` seconds, a business with a rate and a burst may run
    (rate * window_s + burst) * (1 + overage) + slack operations.
    """

    window_s: float
    overage: float
    slack: float

    def excess(self, limit: Limit) -> float:
        """Return how many operations a window may have above rate and burst."""
        regular = limit.rate_per_s * self.window_s + limit.burst
        return regular * self.overage + self.slack

    def issuers(self, limit: Limit) -> int:
        """Return how many proxies issue permits; each needs at least one token."""
        return max(1, min(_MAX_ISSUERS, int(self.capacity(limit, 1))))

    def capacity(self, limit: Limit, issuers: int) -> float:
        """Return the most tokens that one of several permit issuers holds."""
        return (limit.burst + _BURST_SHARE * self.excess(limit)) / issuers

    def rate_per_s(self, limit: Limit, issuers: int) -> float:
        """Return the tokens per second that one of several permit issuers gets."""
        extra = _RATE_SHARE * self.excess(limit)
        return (limit.rate_per_s + extra / self.window_s) / issuers

    def initial_tokens(self, limit: Limit, issuers: int) -> float:
        """Return the tokens of a permit issuer that does not know earlier permits."""
        return _START_SHARE * self.excess(limit) / issuers
