"""Define the interface of the platform's object API."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold an object and its version; version 0 means that it does not exist."""

    kind: str
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VmRecord:
    """Describe one VM on the platform's VM list."""

    vm: str
    address: str
    failure_domain: str
    leaving: bool


class ObjectStore(t.Protocol):
    """Read, conditionally write and watch objects.

    Every call raises StoreUnavailable if no answer arrives; a write may have taken
    effect nevertheless.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, with version 0 if it does not exist."""

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write if the stored version is `expected`; return the new version.

        Raises StoreConflict if another version is stored.
        """

    async def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Wait for changes after the store revision `since`, at most `wait_s` seconds.

        Returns the revision to pass as the next `since`, and the changed objects.
        """

    async def vms(self) -> tuple[VmRecord, ...]:
        """Return the list of live and leaving VMs, which lags behind their state."""
