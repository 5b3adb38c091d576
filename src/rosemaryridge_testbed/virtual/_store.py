"""Stand in for the platform's object API in memory."""

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import StoredObject
from rosemaryridge.objects import VmRecord


class VirtualStore:
    """Hold objects and a VM list; a store that is down answers nothing."""

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self.records: tuple[VmRecord, ...] = ()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._revision = 0

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; version 0 where it does not exist."""
        self._count()
        return self._objects.get((kind, name), StoredObject(kind, name, 0, b""))

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write where the version is `expected`; return the new version."""
        self._count()
        known = self._objects.get((kind, name))
        if (known.version if known else 0) != expected:
            raise StoreConflict(f"{kind}/{name}")
        self._revision += 1
        self._objects[kind, name] = StoredObject(kind, name, self._revision, value)
        return self._revision

    async def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return every object of a kind."""
        self._count()
        return tuple(one for one in self._objects.values() if one.kind == kind)

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Return the changes after a revision at once."""
        found = await self.list(kind)
        return self._revision, tuple(one for one in found if one.version > since)

    async def vms(self) -> tuple[VmRecord, ...]:
        """Return the VM list."""
        self._count()
        return self.records

    def _count(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailable("the store is down")
