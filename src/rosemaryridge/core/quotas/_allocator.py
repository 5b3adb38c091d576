"""Decide which operations of a business fit in its quota.

The load: one business sends many times its rate through all proxies, and its callers
repeat what is refused.
"""

import dataclasses
import math

from rosemaryridge.core.quotas._policy import Limit
from rosemaryridge.core.quotas._policy import QuotaPolicy

# Lower urgencies leave what the more urgent ones used within this time.
_URGENT_RESERVE_S = 0.25
# The most of a bucket that is kept for the more urgent ones.
_URGENT_RESERVE_SHARE = 0.25
# Time constant of the rates by urgency.
_DEMAND_S = 1.0
# Requests per permit of a business over its quota, and the rate below which the number
# of requests is no load.
_REQUESTS_PER_PERMIT = 2.0
_MIN_REQUESTS_PER_S = 25.0
_PAUSE_MAX_S = 1.0
# A proxy that has asked nothing for this long does not count as asking.
_ASKER_EXPIRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Grant or refuse a permit.

    A refusal tells when a token is expected, and for how long the proxy refuses
    requests of the same or lower urgency by itself, both in seconds.
    """

    granted: bool
    retry_s: float = 0.0
    pause_s: float = 0.0


class Bucket:
    """Hold a permit issuer's tokens of one business.

    Times are in seconds on any one clock. Tokens of the issuer's start may exceed the
    capacity until `start_ends_at`.
    """

    __slots__ = (
        "_demand",
        "_filled_at",
        "_start_ends_at",
        "capacity",
        "issuers",
        "limit",
        "rate_per_s",
        "tokens",
        "used",
    )

    def __init__(self, tokens: float, now: float, start_ends_at: float = -math.inf):
        self._start_ends_at = start_ends_at
        self.limit = Limit(0.0, 0.0, -1)
        self.issuers = 1
        self.capacity = self.rate_per_s = 0.0
        self.tokens = tokens
        self.used = 0
        self._filled_at = now
        # Requests per second by urgency, when last counted.
        self._demand: dict[int, tuple[float, float]] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration that the limit is from."""
        return self.limit.version

    def resize(
        self,
        limit: Limit,
        issuers: int,
        capacity: float,
        rate_per_s: float,
        now: float,
    ) -> None:
        """Apply the part of a limit that one of several permit issuers has."""
        is_new = self.version < 0
        if not is_new:
            self._fill(now)
        self.limit, self.issuers = limit, issuers
        self.capacity, self.rate_per_s = capacity, rate_per_s
        if not is_new or now >= self._start_ends_at:
            self.tokens = min(self.tokens, capacity)

    def take(self, urgency: int, now: float) -> float:
        """Take a token; return 0, or the seconds until one is expected."""
        self._fill(now)
        self._count(urgency, now)
        missing = 1.0 + self._reserved_above(urgency, now) - self.tokens
        if missing <= 0.0:
            self.tokens -= 1.0
            self.used += 1
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0.0 else math.inf

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        filled = self.tokens + elapsed_s * self.rate_per_s
        self.tokens = max(self.tokens, min(self.capacity, filled))
        if now >= self._start_ends_at:
            self.tokens = min(self.tokens, self.capacity)
        self._filled_at = max(now, self._filled_at)

    def _count(self, urgency: int, now: float) -> None:
        rate = self._rate(urgency, now)
        self._demand[urgency] = (rate + 1.0 / _DEMAND_S, now)

    def _rate(self, urgency: int, now: float) -> float:
        rate, counted_at = self._demand.get(urgency, (0.0, now))
        return rate * math.exp(-max(0.0, now - counted_at) / _DEMAND_S)

    def _reserved_above(self, urgency: int, now: float) -> float:
        """Return the tokens kept for lower values of urgency, which go first."""
        rate = sum(self._rate(other, now) for other in self._demand if other < urgency)
        return min(rate * _URGENT_RESERVE_S, _URGENT_RESERVE_SHARE * self.capacity)


class Allocator:
    """Issue this proxy's part of the permits of businesses.

    `started_at` is when its process started, on the clock of `decide`.
    """

    def __init__(self, policy: QuotaPolicy, started_at: float = 0.0):
        self._policy = policy
        # Another start in the same window would add to what is left of this one.
        self._start_ends_at = started_at + policy.window_s
        self.buckets: dict[str, Bucket] = {}
        self._askers: dict[str, dict[str, float]] = {}

    def decide(
        self,
        business: str,
        limit: Limit,
        issuers: int,
        urgency: int,
        asker: str,
        now: float,
    ) -> Decision:
        """Decide on a request, as one of several proxies that issue permits."""
        bucket = self._bucket(business, limit, issuers, now)
        askers = self._record_asker(business, asker, now)
        retry_s = bucket.take(urgency, now)
        if retry_s <= 0.0:
            return Decision(True)
        requests_per_s = max(
            _REQUESTS_PER_PERMIT * bucket.rate_per_s, _MIN_REQUESTS_PER_S
        )
        pause_s = min(_PAUSE_MAX_S, askers / requests_per_s)
        return Decision(False, max(retry_s, pause_s), pause_s)

    def _bucket(self, business: str, limit: Limit, issuers: int, now: float) -> Bucket:
        bucket = self.buckets.get(business)
        if bucket is None:
            tokens = self._policy.initial_tokens(limit, issuers)
            bucket = Bucket(tokens, now, self._start_ends_at)
            self.buckets[business] = bucket
        newest = max(limit.version, bucket.version)
        if (bucket.version, bucket.issuers) != (newest, issuers):
            if limit.version < bucket.version:
                # Only the number of issuers differs from what the bucket is for.
                limit = bucket.limit
            capacity = self._policy.capacity(limit, issuers)
            rate_per_s = self._policy.rate_per_s(limit, issuers)
            bucket.resize(limit, issuers, capacity, rate_per_s, now)
        return bucket

    def _record_asker(self, business: str, asker: str, now: float) -> int:
        """Return how many proxies ask for permits of a business."""
        askers = self._askers.setdefault(business, {})
        # The newest is last, so that the expired ones come first.
        askers.pop(asker, None)
        askers[asker] = now
        while (oldest := next(iter(askers))) != asker:
            if now - askers[oldest] <= _ASKER_EXPIRY_S:
                break
            del askers[oldest]
        return len(askers)
