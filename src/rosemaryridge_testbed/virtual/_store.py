"""Emulate the platform's object API in memory."""

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import StoredObject
from rosemaryridge.objects import VmRecord


class VirtualStore:
    """Store objects and a VM list; every call raises StoreUnavailable while down."""

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self.records: tuple[VmRecord, ...] = ()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._revision = 0

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, with version 0 if it does not exist."""
        self._record_call()
        return self._objects.get((kind, name), StoredObject(kind, name, 0, b""))

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write over version `expected`; return the new one or raise StoreConflict."""
        self._record_call()
        stored = self._objects.get((kind, name))
        if (stored.version if stored else 0) != expected:
            raise StoreConflict(f"{kind}/{name}")
        self._revision += 1
        self._objects[kind, name] = StoredObject(kind, name, self._revision, value)
        return self._revision

    async def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return every object of a kind."""
        self._record_call()
        return tuple(item for item in self._objects.values() if item.kind == kind)

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Return the changes after revision `since` without waiting."""
        items = await self.list(kind)
        return self._revision, tuple(item for item in items if item.version > since)

    async def vms(self) -> tuple[VmRecord, ...]:
        """Return the VM list."""
        self._record_call()
        return self.records

    def _record_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailable("the store is down")
