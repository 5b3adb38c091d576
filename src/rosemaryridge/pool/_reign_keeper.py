"""Keep the grantor's object in the store."""

import msgspec

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import ObjectStore
from rosemaryridge.pool._grantor import Grantor
from rosemaryridge.pool._reign import GrantorRecord
from rosemaryridge.pool._reign import Reign
from rosemaryridge.pool._reign import Write
from rosemaryridge.timer import TimerService

KIND = "grantor"
NAME = "connections"


class ReignKeeper:
    """Read, take over and prolong the grantor's object."""

    def __init__(
        self, timer: TimerService, reign: Reign, grantor: Grantor, store: ObjectStore
    ):
        self._timer = timer
        self._reign = reign
        self._grantor = grantor
        self._store = store

    async def keep(self) -> None:
        """Make the next step; without the store the reign runs out."""
        write = self._reign.renew(self._timer.now())
        try:
            if write is None:
                write = await self._read()
            if write is not None:
                await self._write(write)
        except StoreUnavailable:
            pass
        self._grantor.reign(self._reign.until)

    async def _read(self) -> Write | None:
        stored = await self._store.get(KIND, NAME)
        record = None
        if stored.version:
            record = msgspec.json.decode(stored.value, type=GrantorRecord)
        return self._reign.read(record, stored.version, self._timer.now())

    async def _write(self, write: Write) -> None:
        value = msgspec.json.encode(write.record)
        try:
            version = await self._store.put(KIND, NAME, value, write.expected)
        except StoreConflict:
            self._reign.refused()
            return
        self._reign.written(version, self._timer.now())
