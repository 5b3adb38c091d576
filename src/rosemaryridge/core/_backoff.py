"""Delay the retries of a statement."""

import asyncio
import random

from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError

# Bounds of the mean delay before a full or lagging target is retried; doubled each
# time.
_MIN_DELAY_S = 0.03
_MAX_DELAY_S = 0.24
# A target in another region needs this much time for an answer; without one by the
# deadline, it would not be known whether the statement ran.
_MIN_ATTEMPT_S = 0.05
# Retry-After for a caller whose statement found no free target before its deadline.
_RETRY_AFTER_S = 0.2
# Failures reported to the caller unchanged; others are reported as BUSY.
_REPORTED_UNCHANGED = (Failure.BUSY, Failure.READ_ONLY, Failure.LAGGING)


class Backoff:
    """Wait before each retry, with exponential backoff and jitter, until a deadline."""

    __slots__ = ("_deadline", "_delay_s", "_rng")

    def __init__(self, deadline: float, rng: random.Random):
        self._deadline = deadline
        self._rng = rng
        self._delay_s = _MIN_DELAY_S

    async def pause(self, reason: str, failure: Failure = Failure.BUSY) -> None:
        """Wait before a retry; raise StatementError if the deadline leaves no time."""
        delay_s = self._delay_s * self._rng.uniform(0.7, 1.3)
        self._delay_s = min(_MAX_DELAY_S, 2 * self._delay_s)
        next_at = asyncio.get_running_loop().time() + delay_s
        if next_at + _MIN_ATTEMPT_S >= self._deadline:
            if failure not in _REPORTED_UNCHANGED:
                failure = Failure.BUSY
            raise StatementError(failure, reason, _RETRY_AFTER_S)
        await asyncio.sleep(delay_s)
