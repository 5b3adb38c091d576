"""Define the JSON documents of the object API and their decoding."""

import typing as t

import msgspec

from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects._api import StoredObject
from rosemaryridge.objects._api import VmRecord


class ObjectDocument(msgspec.Struct, frozen=True):
    """Represent an object in the API's answers."""

    kind: str
    name: str
    version: int
    value: str

    def to_object(self) -> StoredObject:
        """Convert the document to a stored object."""
        return StoredObject(self.kind, self.name, self.version, self.value.encode())


class ObjectsDocument(msgspec.Struct, frozen=True):
    """Represent the answer to a list or watch call."""

    revision: int
    objects: tuple[ObjectDocument, ...] = ()

    def to_objects(self) -> tuple[StoredObject, ...]:
        """Convert the documents to stored objects."""
        return tuple(document.to_object() for document in self.objects)


class VersionDocument(msgspec.Struct, frozen=True):
    """Hold the version that a write created or conflicted with."""

    version: int = 0


class VmDocument(msgspec.Struct, frozen=True):
    """Represent one VM of the VM list."""

    vm: str
    address: str
    failure_domain: str
    leaving: bool = False

    def to_record(self) -> VmRecord:
        """Convert the document to a VM record."""
        return VmRecord(self.vm, self.address, self.failure_domain, self.leaving)


class VmsDocument(msgspec.Struct, frozen=True):
    """Represent the answer to a call for the VM list."""

    vms: tuple[VmDocument, ...] = ()


_T = t.TypeVar("_T")


def decode(body: bytes, kind: type[_T]) -> _T:
    """Decode an answer; raise StoreUnavailable if it is not a valid document."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise StoreUnavailable(
            f"the object API sent an invalid document: {exc}"
        ) from exc
