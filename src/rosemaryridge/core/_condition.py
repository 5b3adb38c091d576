"""Ask a target for its condition."""

import asyncio
import typing as t

from rosemaryridge.core._pool import SLOTLESS_PRIORITY
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import TargetLink

_POLL_S = 0.06


async def request_condition(
    target: Target,
    request: t.Callable[[TargetLink], t.Awaitable[TargetCondition | None]],
    timeout_s: float,
) -> TargetCondition | None:
    """Return a target's condition; None if it does not answer in time."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    try:
        link = await target.pool.acquire(SLOTLESS_PRIORITY, deadline, pinned=True)
    except (PoolClosed, TurnTooLate, TimeoutError):
        return None
    try:
        async with asyncio.timeout_at(deadline):
            while (condition := await request(link)) is None:
                # The target had no free slot to report its condition.
                await asyncio.sleep(_POLL_S)
    except (TargetLost, TimeoutError):
        target.pool.discard(link, pinned=True)
        return None
    target.pool.release(link, pinned=True)
    return condition
