"""Learn what became of a write whose answer was lost."""

import random

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects._api import ObjectStore
from rosemaryridge.objects._api import StoredObject
from rosemaryridge.timer import TimerService
from rosemaryridge.timer import sleep

_PAUSE_FIRST_S = 0.1
_PAUSE_MAX_S = 2.0


class _Patience:
    """Pause longer each time, with full jitter, until a deadline has passed."""

    def __init__(self, timer: TimerService, rng: random.Random, total_s: float):
        self._timer = timer
        self._rng = rng
        self._deadline = timer.now() + total_s
        self._pause_s = _PAUSE_FIRST_S

    async def pause(self, exc: StoreUnavailable) -> None:
        """Wait before the next try; raise `exc` where none is left."""
        pause_s = self._rng.random() * self._pause_s
        if isinstance(exc, StoreLimited):
            pause_s += exc.retry_after_s
        if self._timer.now() + pause_s >= self._deadline:
            raise exc
        self._pause_s = min(_PAUSE_MAX_S, self._pause_s * 2.0)
        await sleep(self._timer, pause_s)


async def put_confirmed(
    store: ObjectStore,
    wanted: StoredObject,
    timer: TimerService,
    rng: random.Random,
    total_s: float,
) -> int:
    """Write an object over the version that it names; return the new version.

    A lost answer is read back before the write is repeated, which the condition on
    the version makes safe. Raises StoreConflict where another write came first and
    StoreUnavailable where the outcome is still unknown after `total_s`.
    """
    patience = _Patience(timer, rng, total_s)
    in_doubt = False
    while True:
        try:
            return await _put(store, wanted)
        except StoreConflict:
            if not in_doubt:
                raise
            return _outcome(wanted, await _read(store, wanted, patience))
        except StoreLimited as exc:
            await patience.pause(exc)
        except StoreUnavailable as exc:
            in_doubt = True
            await patience.pause(exc)
            stored = await _read(store, wanted, patience)
            if stored.version > wanted.version:
                return _outcome(wanted, stored)


async def read_patiently(
    store: ObjectStore,
    kind: str,
    name: str,
    timer: TimerService,
    rng: random.Random,
    total_s: float,
) -> StoredObject:
    """Return an object; raise StoreUnavailable where none came in `total_s`."""
    wanted = StoredObject(kind, name, 0, b"")
    return await _read(store, wanted, _Patience(timer, rng, total_s))


async def _put(store: ObjectStore, wanted: StoredObject) -> int:
    return await store.put(wanted.kind, wanted.name, wanted.value, wanted.version)


async def _read(
    store: ObjectStore, wanted: StoredObject, patience: _Patience
) -> StoredObject:
    while True:
        try:
            return await store.get(wanted.kind, wanted.name)
        except StoreUnavailable as exc:
            await patience.pause(exc)


def _outcome(wanted: StoredObject, stored: StoredObject) -> int:
    if stored.value == wanted.value:
        return stored.version
    raise StoreConflict(f"version {stored.version} is stored", stored.version)
