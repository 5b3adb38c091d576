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
_STARTUP_RECHECK_S = 0.05

log = Log("config")

OnRead = t.Callable[[tuple[RevisionValue, ...]], None]


class StoreWatch:
    """Watch the object API if this proxy is a watcher, else read it periodically.

    A proxy that is not a watcher receives revisions from its peers; its periodic reads
    bound how long its services can be stale if the watchers are partitioned.
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
        """Read until cancelled, after giving peers time to send all services."""
        await self._wait_for_peers()
        while True:
            if self._is_complete():
                await self._wait_for_next_read()
            await sleep(self._timer, await self._read())

    async def _wait_for_peers(self) -> None:
        end = self._timer.now() + self._jittered(self._cfg.peers_first_s)
        while not self._is_complete() and self._timer.now() < end:
            await sleep(self._timer, _STARTUP_RECHECK_S)

    async def _wait_for_next_read(self) -> None:
        end = self._timer.now() + self._jittered(self._cfg.backstop_s)
        while not self._is_watcher() and self._timer.now() < end:
            await sleep(self._timer, self._jittered(_RECHECK_S))

    async def _read(self) -> float:
        is_watching = self._is_watcher() and self.reachable
        wait_s = self._jittered(self._cfg.watch_wait_s) if is_watching else 0.0
        try:
            revision, objects = await self._store.watch(KIND, self._since, wait_s)
        except StoreError as exc:
            return self._handle_failure(exc)
        self._failures = 0
        self.reachable = True
        self._since = max(self._since, revision)
        self._on_read(tuple(RevisionValue(o.name, o.version, o.value) for o in objects))
        return self._jittered(self._cfg.rearm_s)

    def _handle_failure(self, exc: StoreError) -> float:
        self.reachable = False
        log.warning("Reading services from the object API failed.", error=exc)
        cfg = self._cfg
        backoff_s = min(cfg.retry_max_s, cfg.retry_min_s * 2.0**self._failures)
        self._failures = min(self._failures + 1, 16)
        pause_s = cfg.retry_min_s + self._rng.random() * backoff_s
        if isinstance(exc, StoreLimited):
            pause_s += exc.retry_after_s
        return pause_s

    def _jittered(self, duration_s: float) -> float:
        return duration_s * (1.0 - self._cfg.jitter * self._rng.random())
