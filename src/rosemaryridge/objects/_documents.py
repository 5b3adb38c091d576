"""Define the documents of the object API and their codec."""

import typing as t

import msgspec

from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects._api import StoredObject
from rosemaryridge.objects._api import VmRecord


class ObjectDocument(msgspec.Struct, frozen=True):
    """Hold one object as the API writes it."""

    kind: str
    name: str
    version: int
    value: str

    def to_object(self) -> StoredObject:
        """Return the object as the parts use it."""
        return StoredObject(self.kind, self.name, self.version, self.value.encode())


class ObjectsDocument(msgspec.Struct, frozen=True):
    """Hold the answer to a list or a watch."""

    revision: int
    objects: tuple[ObjectDocument, ...] = ()

    def to_objects(self) -> tuple[StoredObject, ...]:
        """Return the objects as the parts use them."""
        return tuple(document.to_object() for document in self.objects)


class VersionDocument(msgspec.Struct, frozen=True):
    """Hold the version that a write made or met."""

    version: int = 0


class VmDocument(msgspec.Struct, frozen=True):
    """Hold one VM of the list."""

    vm: str
    address: str
    failure_domain: str
    leaving: bool = False

    def to_record(self) -> VmRecord:
        """Return the VM as the parts use it."""
        return VmRecord(self.vm, self.address, self.failure_domain, self.leaving)


class VmsDocument(msgspec.Struct, frozen=True):
    """Hold the answer to a call for the VM list."""

    vms: tuple[VmDocument, ...] = ()


_T = t.TypeVar("_T")


def decode(body: bytes, kind: type[_T]) -> _T:
    """Read an answer; one that cannot be read counts as no answer."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise StoreUnavailable(f"unreadable answer: {exc}") from exc
