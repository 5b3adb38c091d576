"""Publish services to the object store by conditional updates."""

import dataclasses
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config._difference import Difference
from rosemaryridge.config._difference import differences
from rosemaryridge.config._load import to_plain
from rosemaryridge.config._publication import HISTORY_KIND
from rosemaryridge.config._publication import PastRevision
from rosemaryridge.config._publication import Publication
from rosemaryridge.config._publication import Revision
from rosemaryridge.config._publication import decode_history
from rosemaryridge.config._publication import decode_revision
from rosemaryridge.config._publication import encode_history
from rosemaryridge.config._publication import encode_revision
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._watch import KIND
from rosemaryridge.exceptions import Refusal
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.objects import ObjectStore
from rosemaryridge.objects import StoredObject
from rosemaryridge.objects import put_confirmed
from rosemaryridge.objects import read_with_retries
from rosemaryridge.timer import TimerService

_HISTORY_ATTEMPTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Hold the changes that publishing makes and the revision that it replaces."""

    service: ServiceConfig
    base: StoredObject
    changes: tuple[Difference, ...]


class RevisionConflict(Refusal):
    """Report that another operator published first, with that revision's changes."""

    def __init__(self, service: str, theirs: Revision, changes: tuple[Difference, ...]):
        by = theirs.publication
        detail = (
            f"{service}: revision {theirs.revision} was published first, by "
            f"{by.by or 'an unknown operator'} at {by.at or 'an unknown time'}"
        )
        super().__init__(codes.config.REVISION_CONFLICT, detail)
        self.theirs = theirs
        self.changes = changes


class Publisher:
    """Plan and publish revisions of services.

    A revision is added to the service's history before it is replaced, so that no
    content is lost, whichever step fails. `total_s` bounds all attempts of one read
    or write.
    """

    def __init__(
        self,
        store: ObjectStore,
        timer: TimerService,
        rng: random.Random,
        total_s: float,
    ):
        self._store = store
        self._timer = timer
        self._rng = rng
        self._total_s = total_s

    async def published(self) -> tuple[Revision, ...]:
        """Return the stored revision of every service."""
        objects = await self._store.list(KIND)
        return tuple(decode_revision(obj.value, obj.version) for obj in objects)

    async def plan(self, service: ServiceConfig) -> Plan:
        """Return the changes that publishing a service would make."""
        base = await self._read(KIND, service.name)
        document = decode_revision(base.value, base.version).document
        return Plan(service, base, differences(document, to_plain(service)))

    async def publish(self, plan: Plan, publication: Publication) -> int:
        """Replace the planned base revision; return the stored revision.

        Raises RevisionConflict if another revision has replaced the base, and
        StoreUnavailable if the outcome is unknown after `total_s`.
        """
        if not plan.changes:
            return plan.base.version
        name = plan.service.name
        if plan.base.version:
            await self._archive(plan.base)
        value = encode_revision(plan.service, publication)
        wanted = StoredObject(KIND, name, plan.base.version, value)
        try:
            return await self._put(wanted)
        except StoreConflict as exc:
            raise await self._build_conflict(plan) from exc

    async def history(self, name: str) -> tuple[Revision, ...]:
        """Return the stored revisions of a service, newest first."""
        past = await self._read(HISTORY_KIND, name)
        found = {
            entry.revision: decode_revision(entry.value.encode(), entry.revision)
            for entry in decode_history(past.value)
        }
        current = await self._read(KIND, name)
        if current.version:
            revision = decode_revision(current.value, current.version)
            found[current.version] = revision
        return tuple(found[revision] for revision in sorted(found, reverse=True))

    async def _archive(self, replaced: StoredObject) -> None:
        entry = PastRevision(replaced.version, replaced.value.decode())
        for _ in range(_HISTORY_ATTEMPTS):
            past = await self._read(HISTORY_KIND, replaced.name)
            entries = decode_history(past.value)
            if any(other.revision == entry.revision for other in entries):
                return
            value = encode_history((*entries, entry))
            try:
                await self._put(dataclasses.replace(past, value=value))
                return
            except StoreConflict:
                continue
        raise Refusal(
            codes.config.REVISION_CONFLICT,
            f"{replaced.name}: other publishers changed the history in each of "
            f"{_HISTORY_ATTEMPTS} attempts; publish again",
        )

    async def _build_conflict(self, plan: Plan) -> RevisionConflict:
        stored = await self._read(KIND, plan.service.name)
        theirs = decode_revision(stored.value, stored.version)
        base = decode_revision(plan.base.value, plan.base.version)
        changes = differences(base.document, theirs.document)
        return RevisionConflict(plan.service.name, theirs, changes)

    async def _put(self, wanted: StoredObject) -> int:
        return await put_confirmed(
            self._store, wanted, self._timer, self._rng, self._total_s
        )

    async def _read(self, kind: str, name: str) -> StoredObject:
        return await read_with_retries(
            self._store, kind, name, self._timer, self._rng, self._total_s
        )


def find_revision(revisions: t.Iterable[Revision], number: int) -> Revision | None:
    """Return the revision with this number, None if the history lacks it."""
    return next((rev for rev in revisions if rev.revision == number), None)
