"""Count the proxies through the store."""

import asyncio
import random
import typing as t

from rosemaryridge.core._event_log import EventLog
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError

PROXIES_KIND = "proxies"

# All proxies start within 0.3 s of each other; a count before that is too low where
# none had been registered before.
_FIRST_COUNT_S = 1.0
_COUNT_PERIOD_S = 20.0
_RETRY_S = 2.0
# An entry is renewed this often and counts for three periods without a change.
_RENEWAL_S = 60.0
_EXPIRY_S = 3 * _RENEWAL_S


class CensusStore(t.Protocol):
    """Write own entries and list them, also from an older state."""

    async def get(self, kind: str, name: str) -> t.Any:
        """Return an object; revision 0 where there is none."""

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write where the revision matches."""

    async def list(self, kind: str, stale: bool = False) -> t.Any:
        """Return every object; a stale answer is cheap and seconds old."""


class LiveEntries:
    """Tell entries that are renewed from those that are not."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}

    def of(self, revisions: t.Mapping[str, int], now: float) -> set[str]:
        """Return the entries that have changed within the expiry."""
        for name, revision in revisions.items():
            if self._seen.get(name, (0, 0.0))[0] != revision:
                self._seen[name] = (revision, now)
        self._seen = {n: seen for n, seen in self._seen.items() if n in revisions}
        return {n for n, (_, at) in self._seen.items() if now - at < _EXPIRY_S}


class Census:
    """Register this proxy and count the others from time to time."""

    def __init__(
        self,
        vm: str,
        store: CensusStore,
        on_list: t.Callable[[dict[str, t.Any]], None],
        log: EventLog,
        rng: random.Random,
    ):
        self._vm = vm
        self._store = store
        # What the own entry tells others beside its name.
        self.described: dict[str, t.Any] = {}
        self._on_list = on_list
        self._log = log
        self._rng = rng
        self._live = LiveEntries()
        self._renewed_at = float("-inf")
        self._counts = 0

    async def run(self) -> None:
        """Register and count until cancelled."""
        delay_s = 0.0
        while True:
            await asyncio.sleep(delay_s * self._rng.uniform(0.8, 1.2))
            try:
                delay_s = await self._step()
            except StoreError as exc:
                self._log.write("census_failed", reason=str(exc))
                delay_s = _RETRY_S

    async def _step(self) -> float:
        now = asyncio.get_running_loop().time()
        if now - self._renewed_at >= _RENEWAL_S:
            await self._renew()
            self._renewed_at = now
        listing = await self._store.list(PROXIES_KIND, stale=True)
        revisions = {one.name: one.revision for one in listing.objects}
        live = self._live.of(revisions, now)
        self._on_list(
            {one.name: one.spec for one in listing.objects if one.name in live}
        )
        self._counts += 1
        return _COUNT_PERIOD_S if self._counts > 1 else _FIRST_COUNT_S

    async def _renew(self) -> None:
        """Write the own entry; that of an earlier process stands until the renewal."""
        spec = {**self.described, "draw": self._rng.random()}
        try:
            await self._store.put(PROXIES_KIND, self._vm, spec, 0)
        except StoreConflict:
            if self._renewed_at > float("-inf"):
                stored = await self._store.get(PROXIES_KIND, self._vm)
                await self._store.put(PROXIES_KIND, self._vm, spec, stored.revision)
