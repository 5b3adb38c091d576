"""Reconnect to a peer."""

import asyncio
import random
import typing as t

from rosemaryridge.model import Endpoint
from rosemaryridge.peer._settings import BusSettings

OpenStream = t.Callable[[Endpoint], t.Awaitable[bool]]


class Dialer:
    """Dial a peer until stopped, with jittered exponential backoff.

    `open_once` opens a stream, serves it until it ends, and returns whether the
    peer answered.
    `first_delay_s` is the delay before the first attempt, in seconds.
    """

    def __init__(
        self,
        cfg: BusSettings,
        rng: random.Random,
        endpoint: Endpoint,
        open_once: OpenStream,
        first_delay_s: float,
    ):
        self.endpoint = endpoint
        self._cfg = cfg
        self._rng = rng
        self._open_once = open_once
        self._task = asyncio.ensure_future(self._run(first_delay_s))

    def stop(self) -> None:
        """Stop dialing and cancel a stream that is being served."""
        self._task.cancel()

    async def _run(self, delay_s: float) -> None:
        failures = 0
        while True:
            await asyncio.sleep(delay_s)
            answered = await self._open_once(self.endpoint)
            failures = 0 if answered else failures + 1
            delay_s = self._backoff_s(failures)

    def _backoff_s(self, failures: int) -> float:
        cfg = self._cfg
        cap = min(cfg.backoff_max_s, cfg.backoff_min_s * 2 ** min(failures, 16))
        return cap * self._rng.uniform(0.3, 1.0)
