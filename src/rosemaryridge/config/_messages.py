"""Define the peer messages about published services."""

import msgspec

from rosemaryridge.peer import PeerMessage


class HeldRevision(msgspec.Struct, frozen=True, array_like=True):
    """Identify the newest revision of a service that a proxy stores."""

    service: str
    revision: int


class RevisionValue(msgspec.Struct, frozen=True, array_like=True):
    """Carry one revision with its value from the object store."""

    service: str
    revision: int
    value: bytes


class RevisionNotice(PeerMessage, frozen=True):
    """Announce revisions that the sender stores."""

    held: tuple[HeldRevision, ...]


class CatalogSummary(PeerMessage, frozen=True):
    """Carry a digest for each bucket of services.

    `complete` is true if the sender has read the object API, or has the same digests
    as a proxy that has.
    """

    buckets: tuple[int, ...]
    complete: bool


class BucketNotice(PeerMessage, frozen=True):
    """List every revision that the sender stores in some buckets."""

    buckets: tuple[int, ...]
    held: tuple[HeldRevision, ...]


class RevisionFetch(PeerMessage, frozen=True):
    """Request the revisions of some services."""

    services: tuple[str, ...]


class RevisionValues(PeerMessage, frozen=True):
    """Answer a fetch with as many revisions as fit into one message."""

    values: tuple[RevisionValue, ...]
