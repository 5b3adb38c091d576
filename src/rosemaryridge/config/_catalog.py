"""Decide which revision of each service is in force."""

import dataclasses
import enum
import types
import typing as t

import xxhash

from rosemaryridge.config._load import decode_service
from rosemaryridge.config._messages import HeldRevision
from rosemaryridge.config._messages import RevisionValue
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.exceptions import SettingsError

BUCKETS = 32


class Verdict(enum.Enum):
    """Say what became of a revision that was offered."""

    ADOPTED = "adopted"
    REJECTED = "rejected"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Name a revision that could not be accepted, and its faults."""

    revision: int
    faults: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Entry:
    newest: RevisionValue
    in_force: RevisionValue | None = None
    rejection: Rejection | None = None


class Catalog:
    """Hold the newest acceptable revision of each service.

    Offers may come in any order and more than once; a revision is adopted only
    over an older one. A revision that cannot be accepted is kept for the peers,
    which may be able to, and leaves the one in force.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._in_force: dict[str, ServiceConfig] = {}
        self._digests = [0] * BUCKETS

    def current(self) -> t.Mapping[str, ServiceConfig]:
        """Return the services in force, by name."""
        return types.MappingProxyType(self._in_force)

    def offer(self, offered: RevisionValue) -> Verdict:
        """Take in a revision from anywhere."""
        name, revision = offered.service, offered.revision
        entry = self._entries.get(name)
        if entry is not None and self._is_stale(entry, revision):
            return Verdict.STALE
        entry = self._keep(offered)
        try:
            service = _decode(offered)
        except SettingsError as exc:
            entry.rejection = _later(entry.rejection, revision, exc)
            return Verdict.REJECTED
        entry.in_force = offered
        self._in_force[name] = service
        return Verdict.ADOPTED

    def newest(self, name: str) -> int:
        """Return the newest revision held of a service; 0 where there is none."""
        entry = self._entries.get(name)
        return entry.newest.revision if entry else 0

    def rejection(self, name: str) -> Rejection | None:
        """Return the rejection that is newer than the revision in force."""
        entry = self._entries.get(name)
        if entry is None or entry.rejection is None:
            return None
        in_force = entry.in_force.revision if entry.in_force else 0
        return entry.rejection if entry.rejection.revision > in_force else None

    def names(self) -> tuple[str, ...]:
        """Return every service that a revision is held of."""
        return tuple(sorted(self._entries))

    def values(self, name: str) -> tuple[RevisionValue, ...]:
        """Return the revision in force and a newer one that was not accepted."""
        entry = self._entries.get(name)
        if entry is None:
            return ()
        held = {value for value in (entry.in_force, entry.newest) if value}
        return tuple(sorted(held, key=lambda value: value.revision))

    def digests(self) -> tuple[int, ...]:
        """Return a digest of what each bucket holds."""
        return tuple(self._digests)

    def differing(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets in which another catalog differs."""
        pairs = enumerate(zip(self._digests, digests, strict=False))
        return tuple(bucket for bucket, (mine, other) in pairs if mine != other)

    def held(self, buckets: t.Iterable[int]) -> tuple[HeldRevision, ...]:
        """Return what is held in some buckets."""
        wanted = frozenset(buckets)
        return tuple(
            HeldRevision(name, entry.newest.revision)
            for name, entry in self._entries.items()
            if bucket_of(name) in wanted
        )

    def _is_stale(self, entry: _Entry, revision: int) -> bool:
        in_force = entry.in_force.revision if entry.in_force else 0
        rejected = entry.rejection.revision if entry.rejection else 0
        return revision <= in_force or revision == rejected

    def _keep(self, offered: RevisionValue) -> _Entry:
        entry = self._entries.get(offered.service)
        if entry is None:
            entry = self._entries[offered.service] = _Entry(offered)
        elif offered.revision > entry.newest.revision:
            self._toggle(entry.newest)
            entry.newest = offered
        else:
            return entry
        self._toggle(offered)
        return entry

    def _toggle(self, value: RevisionValue) -> None:
        key = f"{value.service}:{value.revision}".encode()
        bucket = bucket_of(value.service)
        self._digests[bucket] ^= xxhash.xxh64_intdigest(key)


def bucket_of(name: str) -> int:
    """Return the bucket of a service."""
    return xxhash.xxh64_intdigest(name.encode()) % BUCKETS


def _decode(offered: RevisionValue) -> ServiceConfig:
    try:
        service = decode_service(offered.value, offered.revision)
    except SettingsError:
        raise
    except Exception as exc:
        # Whatever a stored value does to the checks, following must go on.
        raise SettingsError((f"the checks failed: {type(exc).__name__}",)) from exc
    if service.name != offered.service:
        raise SettingsError((f"{offered.service} holds the service {service.name}",))
    return service


def _later(known: Rejection | None, revision: int, exc: SettingsError) -> Rejection:
    if known is not None and known.revision > revision:
        return known
    return Rejection(revision, tuple(map(str, exc.faults)))
