"""Decide which share of reads to send away from the nearest targets.

The load: callers of one failure domain need more than its targets can do, while targets
elsewhere have room, and all proxies there see the same.
"""

import math

# The share follows its aim with this time constant. It exceeds the time in which the
# mean latency of a target follows its load, so that proxies which all see the same
# queue don't move together from one side to the other.
_FOLLOW_S = 2.0
# A share below this is not worth a connection elsewhere.
_MIN_SHARE = 0.02


class Spill:
    """Follow the share of one group's reads that leaves the nearest targets.

    Times are in seconds. If the wait at the nearest targets is proportional to what is
    sent there, sending away 1 - far / near makes both sides equally fast.
    """

    __slots__ = ("_changed_at", "_share")

    def __init__(self) -> None:
        self._share = 0.0
        self._changed_at = float("-inf")

    @property
    def share(self) -> float:
        """Return the share of reads to send away, from 0 to 1."""
        return self._share if self._share >= _MIN_SHARE else 0.0

    def update(self, near_s: float, far_s: float, now: float) -> float:
        """Return the share, given the expected times near and far.

        The time far includes what it is worth to callers and operators to stay near.
        """
        aim = max(0.0, 1.0 - far_s / near_s) if near_s > 0.0 else 0.0
        elapsed_s = min(max(0.0, now - self._changed_at), _FOLLOW_S)
        self._changed_at = now
        self._share += (aim - self._share) * (1.0 - math.exp(-elapsed_s / _FOLLOW_S))
        return self.share
