"""Encode and decode published revisions and their history."""

import dataclasses
import typing as t

import msgspec

from rosemaryridge.config._load import PUBLICATION_KEY
from rosemaryridge.config._load import decode_service
from rosemaryridge.config._load import to_plain
from rosemaryridge.config._service import ServiceConfig

HISTORY_KIND = "service-history"

_HISTORY_MAX_BYTES = 900_000
_HISTORY_MAX_ENTRIES = 100


class Publication(msgspec.Struct, frozen=True):
    """Record who published a revision, when (UTC, ISO 8601) and why."""

    by: str = ""
    at: str = ""
    note: str = ""


class PastRevision(msgspec.Struct, frozen=True):
    """Hold a revision that has been replaced by a newer one."""

    revision: int
    value: str


class _History(msgspec.Struct, frozen=True):
    entries: tuple[PastRevision, ...] = ()


class _Annotated(msgspec.Struct, frozen=True):
    publication: Publication = Publication()


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """Hold one revision of a service and its publication record."""

    revision: int
    publication: Publication
    document: dict[str, t.Any]

    def service(self) -> ServiceConfig:
        """Decode the service; raise SettingsError if the document is invalid."""
        return decode_service(msgspec.json.encode(self.document), self.revision)


def encode_revision(service: ServiceConfig, publication: Publication) -> bytes:
    """Return the value to store for a service and its publication record."""
    document = {**to_plain(service), PUBLICATION_KEY: msgspec.to_builtins(publication)}
    return msgspec.json.encode(document, order="sorted")


def decode_revision(value: bytes, revision: int) -> Revision:
    """Decode a stored value unchecked; the document is empty if it is malformed."""
    try:
        publication = msgspec.json.decode(value, type=_Annotated).publication
        document = msgspec.json.decode(value, type=dict[str, t.Any])
    except (msgspec.DecodeError, RecursionError):
        return Revision(revision, Publication(), {})
    document.pop(PUBLICATION_KEY, None)
    return Revision(revision, publication, document)


def encode_history(entries: t.Iterable[PastRevision]) -> bytes:
    """Encode a history without the oldest entries that exceed the limits."""
    kept = sorted(entries, key=lambda entry: entry.revision)[-_HISTORY_MAX_ENTRIES:]
    value = msgspec.json.encode(_History(tuple(kept)))
    while len(value) > _HISTORY_MAX_BYTES and kept:
        kept = kept[1:]
        value = msgspec.json.encode(_History(tuple(kept)))
    return value


def decode_history(value: bytes) -> tuple[PastRevision, ...]:
    """Decode a stored history; an empty value gives no entries."""
    return msgspec.json.decode(value, type=_History).entries if value else ()
