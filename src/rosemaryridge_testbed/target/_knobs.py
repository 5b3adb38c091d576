"""Define the knobs that the admin port changes in a running target."""

import asyncio

import msgspec


class Knobs(msgspec.Struct, kw_only=True):
    """Set a target's delays, limits and availability; times in milliseconds.

    A connection whose transaction block stays open for `idle_in_transaction_ms` is
    terminated.
    """

    receive_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0
    connect_ms: float = 0.0
    statement_ms: float = 0.0
    idle_in_transaction_ms: float = 10_000.0
    slots: int = 3
    max_connections: int = 45
    leaving: bool = False
    paused: bool = False


class ConcurrencyLimit:
    """Limit concurrent statements to the `slots` knob, which may change."""

    def __init__(self, knobs: Knobs):
        self._knobs = knobs
        self._running = 0
        self._changed = asyncio.Condition()
        self.peak = 0

    async def __aenter__(self) -> None:
        async with self._changed:
            await self._changed.wait_for(lambda: self._running < self._knobs.slots)
            self._running += 1
            self.peak = max(self.peak, self._running)

    async def __aexit__(self, *_exc: object) -> None:
        async with self._changed:
            self._running -= 1
            self._changed.notify()
