"""Wait for conditions instead of fixed times."""

import asyncio
import inspect
import time
import typing as t

import aiohttp
import asyncpg

_POLL_S = 0.02
_RETRIED_ERRORS = (
    OSError,
    aiohttp.ClientError,
    asyncpg.InterfaceError,
    asyncpg.PostgresError,
)


async def eventually(
    condition: t.Callable[[], t.Any], timeout_s: float = 30.0, what: str = ""
) -> t.Any:
    """Return the condition's first true value; raise TimeoutError.

    A condition that raises a connection or database error is polled again.
    """
    end = time.monotonic() + timeout_s
    last: t.Any = None
    while time.monotonic() < end:
        try:
            last = condition()
            if inspect.isawaitable(last):
                last = await last
        except _RETRIED_ERRORS as exc:
            last = exc
        if last and not isinstance(last, Exception):
            return last
        await asyncio.sleep(_POLL_S)
    raise TimeoutError(f"{what or condition}: {last!r} after {timeout_s} s")
