"""Define the platform's object API as the parts use it."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object with the store's version; version 0 means it does not exist."""

    kind: str
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VmRecord:
    """Describe one VM on the platform's lagging list."""

    vm: str
    address: str
    failure_domain: str
    leaving: bool


class ObjectStore(t.Protocol):
    """Read, conditionally write and watch objects.

    Every call raises StoreUnavailable where no answer came, after which a change
    may have been made.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; version 0 where it does not exist."""

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write where the version is `expected`; return the new version.

        Raises StoreConflict where another version is stored.
        """

    async def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return every object of a kind."""

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Wait for changes after a store-wide revision; return the next revision."""

    async def vms(self) -> tuple[VmRecord, ...]:
        """Return the lagging list of live and leaving VMs."""
