"""Write and read objects with retries, and confirm writes without an answer."""

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


class _RetryBackoff:
    """Pause with exponential backoff and full jitter, up to a deadline."""

    def __init__(self, timer: TimerService, rng: random.Random, total_s: float):
        self._timer = timer
        self._rng = rng
        self._deadline = timer.now() + total_s
        self._pause_s = _PAUSE_FIRST_S

    async def pause(self, exc: StoreUnavailable) -> None:
        """Wait before the next attempt; raise `exc` if the deadline would pass."""
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
    """Replace the version that the object names; return the new version.

    After a lost answer, the object is read before the write is repeated; the condition
    on the version makes the repetition safe. Raises StoreConflict if another write
    came first, and StoreUnavailable if the outcome is still unknown after `total_s`.
    """
    backoff = _RetryBackoff(timer, rng, total_s)
    is_outcome_unknown = False
    while True:
        try:
            return await _put(store, wanted)
        except StoreConflict:
            if not is_outcome_unknown:
                raise
            return _confirmed_version(wanted, await _read(store, wanted, backoff))
        except StoreLimited as exc:
            await backoff.pause(exc)
        except StoreUnavailable as exc:
            is_outcome_unknown = True
            await backoff.pause(exc)
            stored = await _read(store, wanted, backoff)
            if stored.version > wanted.version:
                return _confirmed_version(wanted, stored)


async def read_with_retries(
    store: ObjectStore,
    kind: str,
    name: str,
    timer: TimerService,
    rng: random.Random,
    total_s: float,
) -> StoredObject:
    """Return an object; raise StoreUnavailable if no read succeeds in `total_s`."""
    wanted = StoredObject(kind, name, 0, b"")
    return await _read(store, wanted, _RetryBackoff(timer, rng, total_s))


async def _put(store: ObjectStore, wanted: StoredObject) -> int:
    return await store.put(wanted.kind, wanted.name, wanted.value, wanted.version)


async def _read(
    store: ObjectStore, wanted: StoredObject, backoff: _RetryBackoff
) -> StoredObject:
    while True:
        try:
            return await store.get(wanted.kind, wanted.name)
        except StoreUnavailable as exc:
            await backoff.pause(exc)


def _confirmed_version(wanted: StoredObject, stored: StoredObject) -> int:
    if stored.value == wanted.value:
        return stored.version
    raise StoreConflict(
        f"{wanted.kind} {wanted.name}: version {stored.version} with another value is "
        "stored; read the object and repeat the change",
        stored.version,
    )
