"""Detect a primary that is overloaded because its replicas lag."""

import typing as t

from rosemaryridge.core._target import Target

# A replica that lags this much serves no session that has just written, and soon no
# read at all: the strictest route that replicas serve allows data up to 1.5 s old.
LONG_LAG_S = 1.0
# Minimum lag that justifies a promotion: a promotion stops writes for 0.7 s, and a lag
# this long lasts for seconds.
MIN_PROMOTION_LAG_S = 5.0
# Refusals for lack of a slot that span less than this may be one short burst.
_MIN_DURATION_S = 0.3
# Refusals further apart than this belong to separate bursts.
_MAX_GAP_S = 3.0
# Minimum time from a change of the primary, or from a replica that was up to date, to a
# promotion for overload: with promotions of 0.6 s, a group is without a primary for at
# most 4% of the time.
_MIN_PROMOTION_INTERVAL_S = 15.0


class Overload:
    """Detect a primary that has refused statements for a while.

    If replicas lag beside a busy primary, all reads of the group go to the primary,
    and its slots do not suffice.
    """

    __slots__ = ("_last_refusal_at", "_reset_at", "_since")

    def __init__(self) -> None:
        self._reset_at = self._since = self._last_refusal_at = float("-inf")

    def reset(self, now: float) -> None:
        """Forget the refusals: the primary changed, or a replica is up to date."""
        self._reset_at = now
        self._since = self._last_refusal_at = float("-inf")

    def record_refusal(self, now: float) -> None:
        """Record that the primary had no free slot for a statement."""
        if now - self._last_refusal_at > _MAX_GAP_S:
            self._since = now
        self._last_refusal_at = now

    def is_lasting(self, now: float) -> bool:
        """Return whether the refusals are recent and last long enough."""
        is_recent = now - self._last_refusal_at <= _MAX_GAP_S
        is_long = self._last_refusal_at - self._since >= _MIN_DURATION_S
        return (
            is_recent and is_long and now - self._reset_at >= _MIN_PROMOTION_INTERVAL_S
        )


def any_replica_lags(replicas: t.Iterable[Target]) -> bool:
    """Return whether some responsive replica lags by LONG_LAG_S or more."""
    lags = [tgt.lag_s for tgt in replicas if tgt.unresponsive_since is None]
    return max(lags, default=0.0) >= LONG_LAG_S
