"""Register this proxy in the store and list the live proxies."""

import asyncio
import random
import typing as t

from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core.store import StoreEra
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError

PROXIES_KIND = "proxies"

# The first listing may miss proxies that start at the same time; list again after this.
# All proxies start within 0.3 s of each other; a count before that is too low if none
# had been registered earlier.
_SECOND_LIST_DELAY_S = 1.0
_LIST_PERIOD_S = 20.0
_RETRY_S = 2.0
# Period of renewing an entry; it expires after three periods without a change.
_RENEWAL_PERIOD_S = 60.0
_EXPIRY_S = 3 * _RENEWAL_PERIOD_S
# After a restored copy, all proxies write their entries again within this time: 195 of
# them stay under 100 writes a second.
_REWRITE_SPREAD_S = 2.0
# Time for which entries that a restored copy lacks still count; covers the rewriting
# and the next listing.
_KEEP_S = 30.0


class ProxyRegistryStore(t.Protocol):
    """Read, write and list the entries of proxies."""

    async def get(self, kind: str, name: str) -> t.Any:
        """Return an object; a missing object has revision 0."""

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write if the stored revision matches; raise StoreConflict if not."""

    async def list(self, kind: str, stale: bool = False) -> t.Any:
        """Return all objects of a kind; a stale answer is cheap, maybe seconds old."""


class LiveEntries:
    """Track which entries are still renewed.

    An entry counts as renewed when its revision changes.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}

    def update(self, revisions: t.Mapping[str, int], now: float) -> set[str]:
        """Record the current revisions; return the names of the unexpired entries."""
        for name, revision in revisions.items():
            if self._seen.get(name, (0, 0.0))[0] != revision:
                self._seen[name] = (revision, now)
        self._seen = {
            name: seen for name, seen in self._seen.items() if name in revisions
        }
        return {
            name
            for name, (_, changed_at) in self._seen.items()
            if now - changed_at < _EXPIRY_S
        }


class ProxyRegistry:
    """Register this proxy and report the live proxies periodically."""

    def __init__(
        self,
        vm: str,
        store: ProxyRegistryStore,
        on_list: t.Callable[[dict[str, t.Any]], None],
        log: EventLog,
        rng: random.Random,
        era: StoreEra | None = None,
    ):
        self._vm = vm
        self._store = store
        # The fields of this proxy's entry; its name is the VM.
        self.entry_fields: dict[str, t.Any] = {}
        self._on_list = on_list
        # Called if an earlier process of this VM was registered.
        self.on_already_registered: t.Callable[[], None] = lambda: None
        self._log = log
        self._rng = rng
        self._live = LiveEntries()
        self._renewed_at = float("-inf")
        self._lists = 0
        self._listed: dict[str, t.Any] = {}
        # Until when entries that a restored store lacks still count.
        self._keep_until = float("-inf")
        self._restored: asyncio.Event = asyncio.Event()
        if era is not None:
            era.subscribe(self._on_new_era)

    async def run(self) -> None:
        """Register and list until cancelled.

        A process that starts again lists first: after a loss of all power, it must know
        the others before its callers come back.
        """
        delay_s = 0.0
        try:
            listed = await self._list(asyncio.get_running_loop().time())
            # Without its own entry it starts for the first time, maybe along with
            # others that are not listed yet.
            if self._vm in listed:
                self._on_list(listed)
        except StoreError as exc:
            self._log.write("census_failed", reason=str(exc))
        while True:
            await self._pause(delay_s * self._rng.uniform(0.8, 1.2))
            try:
                delay_s = await self._renew_and_list()
            except StoreError as exc:
                self._log.write("census_failed", reason=str(exc))
                delay_s = _RETRY_S
            except Exception as exc:
                # One entry that cannot be handled must not end the process.
                self._log.write("census_failed", reason=repr(exc))
                delay_s = _LIST_PERIOD_S

    async def _pause(self, delay_s: float) -> None:
        """Wait; a restored store shortens the wait, spread over all proxies."""
        try:
            async with asyncio.timeout(delay_s):
                await self._restored.wait()
        except TimeoutError:
            return
        self._restored.clear()
        await asyncio.sleep(self._rng.uniform(0.0, _REWRITE_SPREAD_S))

    def _on_new_era(self, era: int) -> str:
        self._renewed_at = float("-inf")
        self._lists = 0
        self._keep_until = asyncio.get_running_loop().time() + _KEEP_S
        self._restored.set()
        return "this proxy's entry"

    async def _renew_and_list(self) -> float:
        now = asyncio.get_running_loop().time()
        if now - self._renewed_at >= _RENEWAL_PERIOD_S:
            await self._write_entry()
            self._renewed_at = now
        self._on_list(await self._list(now))
        self._lists += 1
        return _LIST_PERIOD_S if self._lists > 1 else _SECOND_LIST_DELAY_S

    async def _list(self, now: float) -> dict[str, t.Any]:
        """Return the entries of the live proxies."""
        listing = await self._store.list(PROXIES_KIND, stale=True)
        revisions = {obj.name: obj.revision for obj in listing.objects}
        live = self._live.update(revisions, now)
        listed = {obj.name: obj.spec for obj in listing.objects if obj.name in live}
        if now < self._keep_until:
            listed = self._listed | listed
        self._listed = listed
        return listed

    async def _write_entry(self) -> None:
        """Write this proxy's entry.

        An entry of an earlier process is left in place until the first renewal.
        """
        # "draw" changes the entry, so that each renewal gets a new revision.
        spec = {**self.entry_fields, "draw": self._rng.random()}
        try:
            await self._store.put(PROXIES_KIND, self._vm, spec, 0)
        except StoreConflict:
            self.on_already_registered()
            if self._renewed_at > float("-inf"):
                stored = await self._store.get(PROXIES_KIND, self._vm)
                await self._store.put(PROXIES_KIND, self._vm, spec, stored.revision)
