"""Define what proxies tell each other about published services."""

import msgspec

from rosemaryridge.peer import PeerMessage


class HeldRevision(msgspec.Struct, frozen=True, array_like=True):
    """Name the newest revision of a service that a proxy holds."""

    service: str
    revision: int


class RevisionValue(msgspec.Struct, frozen=True, array_like=True):
    """Carry one revision as the object store keeps it."""

    service: str
    revision: int
    value: bytes


class RevisionNotice(PeerMessage, frozen=True):
    """Tell which revisions the sender holds."""

    held: tuple[HeldRevision, ...]


class CatalogSummary(PeerMessage, frozen=True):
    """Give a digest of each bucket of services.

    `complete` says that the sender has read the object API, or holds the same as
    a proxy that has.
    """

    buckets: tuple[int, ...]
    complete: bool


class BucketNotice(PeerMessage, frozen=True):
    """Tell all that the sender holds in some buckets."""

    buckets: tuple[int, ...]
    held: tuple[HeldRevision, ...]


class RevisionFetch(PeerMessage, frozen=True):
    """Ask for the revisions of some services."""

    services: tuple[str, ...]


class RevisionValues(PeerMessage, frozen=True):
    """Answer with revisions, as many as fit one message."""

    values: tuple[RevisionValue, ...]
