"""Pause between the tries of one statement."""

import asyncio
import random

from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError

# A full or lagging target is asked again after this, doubled each time.
_FIRST_S = 0.03
_MOST_S = 0.24
# When a caller whose statement found no room should come back.
_RETRY_AFTER_S = 0.2
_TOLD_AS_THEY_ARE = (Failure.BUSY, Failure.READ_ONLY, Failure.LAGGING)


class Backoff:
    """Pause longer before each try, until a deadline."""

    __slots__ = ("_deadline", "_delay_s", "_rng")

    def __init__(self, deadline: float, rng: random.Random):
        self._deadline = deadline
        self._rng = rng
        self._delay_s = _FIRST_S

    async def pause(self, reason: str, failure: Failure = Failure.BUSY) -> None:
        """Wait before another try; raise StatementError where none would fit."""
        delay_s = self._delay_s * self._rng.uniform(0.7, 1.3)
        self._delay_s = min(_MOST_S, 2 * self._delay_s)
        if asyncio.get_running_loop().time() + delay_s >= self._deadline:
            if failure not in _TOLD_AS_THEY_ARE:
                failure = Failure.BUSY
            raise StatementError(failure, reason, _RETRY_AFTER_S)
        await asyncio.sleep(delay_s)
