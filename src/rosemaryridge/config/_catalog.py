"""Select the revision of each service that is in force."""

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


class AdoptionResult(enum.Enum):
    """Report how the catalog handled an offered revision."""

    ADOPTED = "adopted"
    REJECTED = "rejected"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Hold the number of a rejected revision and the faults found in it."""

    revision: int
    faults: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Entry:
    newest: RevisionValue
    in_force: RevisionValue | None = None
    rejection: Rejection | None = None


class Catalog:
    """Store the newest valid revision of each service.

    Revisions may be offered in any order and more than once; a revision is adopted
    only if it is newer than the revision in force. A rejected revision leaves the
    revision in force unchanged, but is stored so that it can be sent to peers, whose
    checks may accept it.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._in_force: dict[str, ServiceConfig] = {}
        self._digests = [0] * BUCKETS

    def current(self) -> t.Mapping[str, ServiceConfig]:
        """Return a read-only view of the services in force, by name."""
        return types.MappingProxyType(self._in_force)

    def offer(self, offered: RevisionValue) -> AdoptionResult:
        """Adopt or reject a revision, or ignore it as stale; return which."""
        name, revision = offered.service, offered.revision
        entry = self._entries.get(name)
        if entry is not None and self._is_stale(entry, revision):
            return AdoptionResult.STALE
        entry = self._store_if_newest(offered)
        try:
            service = _decode(offered)
        except SettingsError as exc:
            entry.rejection = _newer_rejection(entry.rejection, revision, exc)
            return AdoptionResult.REJECTED
        entry.in_force = offered
        self._in_force[name] = service
        return AdoptionResult.ADOPTED

    def newest(self, name: str) -> int:
        """Return the newest stored revision of a service, 0 if there is none."""
        entry = self._entries.get(name)
        return entry.newest.revision if entry else 0

    def rejection(self, name: str) -> Rejection | None:
        """Return the rejection if it is newer than the revision in force."""
        entry = self._entries.get(name)
        if entry is None or entry.rejection is None:
            return None
        in_force = entry.in_force.revision if entry.in_force else 0
        return entry.rejection if entry.rejection.revision > in_force else None

    def names(self) -> tuple[str, ...]:
        """Return the names of all services with a stored revision, sorted."""
        return tuple(sorted(self._entries))

    def values(self, name: str) -> tuple[RevisionValue, ...]:
        """Return the revision in force and a newer rejected revision, if any."""
        entry = self._entries.get(name)
        if entry is None:
            return ()
        values = {value for value in (entry.in_force, entry.newest) if value}
        return tuple(sorted(values, key=lambda value: value.revision))

    def digests(self) -> tuple[int, ...]:
        """Return a digest of the stored revisions for each bucket."""
        return tuple(self._digests)

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets whose digests differ from another catalog's."""
        pairs = enumerate(zip(self._digests, digests, strict=False))
        return tuple(bucket for bucket, (own, other) in pairs if own != other)

    def held_in(self, buckets: t.Iterable[int]) -> tuple[HeldRevision, ...]:
        """Return the newest stored revision of each service in the given buckets."""
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

    def _store_if_newest(self, offered: RevisionValue) -> _Entry:
        entry = self._entries.get(offered.service)
        if entry is None:
            entry = self._entries[offered.service] = _Entry(offered)
        elif offered.revision > entry.newest.revision:
            self._toggle_digest(entry.newest)
            entry.newest = offered
        else:
            return entry
        self._toggle_digest(offered)
        return entry

    def _toggle_digest(self, value: RevisionValue) -> None:
        key = f"{value.service}:{value.revision}".encode()
        bucket = bucket_of(value.service)
        self._digests[bucket] ^= xxhash.xxh64_intdigest(key)


def bucket_of(name: str) -> int:
    """Return the digest bucket that a service name hashes to."""
    return xxhash.xxh64_intdigest(name.encode()) % BUCKETS


def _decode(offered: RevisionValue) -> ServiceConfig:
    try:
        service = decode_service(offered.value, offered.revision)
    except SettingsError:
        raise
    except Exception as exc:
        # A stored value that crashes a check must not stop this proxy from following
        # the other services.
        raise SettingsError(
            (f"a check raised {type(exc).__name__}; publish a corrected revision",)
        ) from exc
    if service.name != offered.service:
        raise SettingsError(
            (
                f"object {offered.service} holds service {service.name}; "
                "both names must be equal",
            )
        )
    return service


def _newer_rejection(
    existing: Rejection | None, revision: int, exc: SettingsError
) -> Rejection:
    if existing is not None and existing.revision > revision:
        return existing
    return Rejection(revision, tuple(map(str, exc.faults)))
