"""Read published services from the object API."""

import random
import typing as t

from rosemaryridge.config._messages import RevisionValue
from rosemaryridge.config._settings import ServicesSettings
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.objects import ObjectStore
from rosemaryridge.telemetry import Log
from rosemaryridge.timer import TimerService
from rosemaryridge.timer import sleep

KIND = "service"

_RECHECK_S = 1.0
_RECHECK_FIRST_S = 0.05

log = Log("config")

OnRead = t.Callable[[tuple[RevisionValue, ...]], None]


class StoreWatch:
    """Watch where this proxy is chosen to, and else read now and then.

    A proxy that does not watch learns from its peers; its own rare reads bound
    how long it can be wrong where the chosen ones are cut off.
    """

    def __init__(
        self,
        cfg: ServicesSettings,
        timer: TimerService,
        rng: random.Random,
        store: ObjectStore,
        is_watcher: t.Callable[[], bool],
        is_complete: t.Callable[[], bool],
        on_read: OnRead,
    ):
        self.reachable = False
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._store = store
        self._is_watcher = is_watcher
        self._is_complete = is_complete
        self._on_read = on_read
        self._since = 0
        self._failures = 0

    async def run(self) -> None:
        """Read until cancelled; the peers are given a chance to tell all first."""
        await self._wait_for_peers()
        while True:
            if self._is_complete():
                await self._wait_for_turn()
            await sleep(self._timer, await self._read())

    async def _wait_for_peers(self) -> None:
        end = self._timer.now() + self._spread(self._cfg.peers_first_s)
        while not self._is_complete() and self._timer.now() < end:
            await sleep(self._timer, _RECHECK_FIRST_S)

    async def _wait_for_turn(self) -> None:
        end = self._timer.now() + self._spread(self._cfg.backstop_s)
        while not self._is_watcher() and self._timer.now() < end:
            await sleep(self._timer, self._spread(_RECHECK_S))

    async def _read(self) -> float:
        watches = self._is_watcher() and self.reachable
        wait_s = self._spread(self._cfg.watch_wait_s) if watches else 0.0
        try:
            revision, objects = await self._store.watch(KIND, self._since, wait_s)
        except StoreError as exc:
            return self._failed(exc)
        self._failures = 0
        self.reachable = True
        self._since = max(self._since, revision)
        self._on_read(tuple(RevisionValue(o.name, o.version, o.value) for o in objects))
        return self._spread(self._cfg.rearm_s)

    def _failed(self, exc: StoreError) -> float:
        self.reachable = False
        log.warning("The object API gave no services.", error=exc)
        cfg = self._cfg
        longest_s = min(cfg.retry_max_s, cfg.retry_min_s * 2.0**self._failures)
        self._failures = min(self._failures + 1, 16)
        pause_s = cfg.retry_min_s + self._rng.random() * longest_s
        if isinstance(exc, StoreLimited):
            pause_s += exc.retry_after_s
        return pause_s

    def _spread(self, duration_s: float) -> float:
        return duration_s * (1.0 - self._cfg.jitter * self._rng.random())
