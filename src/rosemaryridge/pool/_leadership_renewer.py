"""Renew the record of the lease allocator in the store."""

import msgspec

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import ObjectStore
from rosemaryridge.pool._leadership import AllocatorRecord
from rosemaryridge.pool._leadership import Leadership
from rosemaryridge.pool._leadership import RecordWrite
from rosemaryridge.pool._lease_allocator import LeaseAllocator
from rosemaryridge.timer import TimerService

# Stored name of the lease allocator's record.
KIND = "grantor"
NAME = "connections"


class LeadershipRenewer:
    """Read, acquire and renew the record of the lease allocator."""

    def __init__(
        self,
        timer: TimerService,
        leadership: Leadership,
        allocator: LeaseAllocator,
        store: ObjectStore,
    ):
        self._timer = timer
        self._leadership = leadership
        self._allocator = allocator
        self._store = store

    async def renew(self) -> None:
        """Renew or try to acquire leadership.

        Without the store, leadership expires at the end of its period.
        """
        write = self._leadership.renewal_write(self._timer.now())
        try:
            if write is None:
                write = await self._read()
            if write is not None:
                await self._write(write)
        except StoreUnavailable:
            pass
        self._allocator.set_leader_until(self._leadership.until)

    async def _read(self) -> RecordWrite | None:
        stored = await self._store.get(KIND, NAME)
        record = None
        if stored.version:
            record = msgspec.json.decode(stored.value, type=AllocatorRecord)
        return self._leadership.on_read(record, stored.version, self._timer.now())

    async def _write(self, write: RecordWrite) -> None:
        value = msgspec.json.encode(write.record)
        try:
            version = await self._store.put(KIND, NAME, value, write.expected)
        except StoreConflict:
            self._leadership.on_conflict()
            return
        self._leadership.on_written(version, self._timer.now())
