"""Decide whether a primary needs a replica that is up to date."""

import typing as t

from rosemaryridge.core._target import Target

# A replica this far behind serves no session that has just written, and soon nobody:
# data may be 1.5 s old at most on the strictest route that replicas serve.
LONG_LAG_S = 1.0
# A lag that is worth a promotion: that stops writes for 0.7 s, and a lag this long goes
# on for seconds.
RELIEF_LAG_S = 5.0
# Refusals for want of a slot that are closer together may be one burst's, those
# further apart two bursts'.
_LASTING_S = 0.3
_APART_S = 3.0
# A primary that has just taken over is not replaced for this reason: with promotions
# of 0.6 s, the group is without one for 4% of the time at most.
_SETTLED_S = 15.0


class Overload:
    """Tell whether a primary is refusing work for a while.

    It answers replicas that apply late beside a busy primary: all reads of the group
    go to the primary then, and its slots do not suffice.
    """

    __slots__ = ("_last_at", "_relieved_at", "_since")

    def __init__(self) -> None:
        self._relieved_at = self._since = self._last_at = float("-inf")

    def record_relief(self, now: float) -> None:
        """Take in that another target leads, or that a replica keeps up."""
        self._relieved_at = now
        self._since = self._last_at = float("-inf")

    def record_refusal(self, now: float) -> None:
        """Take in that the primary had no slot for a statement."""
        if now - self._last_at > _APART_S:
            self._since = now
        self._last_at = now

    def is_lasting(self, now: float) -> bool:
        """Return whether the primary has refused work for a while."""
        recent = now - self._last_at <= _APART_S
        lasting = self._last_at - self._since >= _LASTING_S
        return recent and lasting and now - self._relieved_at >= _SETTLED_S


def replicas_lag(replicas: t.Iterable[Target]) -> bool:
    """Return whether some replica that answers lags for long."""
    lags = [one.lag_s for one in replicas if one.silent_since is None]
    return max(lags, default=0.0) >= LONG_LAG_S
