"""Read and store claims, and tell what may still become of their orders."""

import asyncio
import dataclasses
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._successor import OrderState
from rosemaryridge.core.store import CLAIMS_KIND
from rosemaryridge.core.store import NO_CLAIM
from rosemaryridge.core.store import Claim
from rosemaryridge.core.store import StoreEra
from rosemaryridge.core.store import hidden_fence
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable

# Another proxy's claim blocks this proxy for this long after the order is due. Covers a
# slow promotion and its order.
_HOLD_S = 2.5
# An order is sent at most this long after it is due, before another proxy may claim.
_ORDER_EXPIRY_S = 2.3
# An order without an answer may be carried out seconds later.
_LATE_ORDER_S = 10.0
# The same where commits depend on it: 12 s, and 1 s until it takes effect.
_LATE_ORDER_OF_COMMITS_S = 13.0
_POLL_S = 0.06


class ClaimStore(t.Protocol):
    """Read claims and write them with optimistic concurrency control."""

    async def get(self, kind: str, name: str, stale: bool = False) -> t.Any:
        """Return an object; a missing object has revision 0."""

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write if the stored revision matches; raise StoreConflict if not."""


class ClaimRegister:
    """Hold what this proxy has seen of each group's claims.

    Ages of claims count from when this proxy first saw their revisions. An order is
    due a delay after its claim, given in seconds.
    """

    def __init__(self, store: ClaimStore, era: StoreEra, checks_fences: bool):
        # Whether the platform refuses an order after one with a higher fence.
        self._checks_fences = checks_fences
        self._store = store
        # By service: the revision of the last claim and when it was first seen.
        self._seen: dict[str, tuple[int, float]] = {}
        # By service: the fence of this proxy's last order that was certainly not done.
        self._undone_fences: dict[str, int] = {}
        self._era = era
        era.subscribe(self._on_new_era)

    def _on_new_era(self, era: int) -> str:
        # Revisions are given out again; those seen before tell nothing any more.
        self._seen.clear()
        self._undone_fences.clear()
        return "claims seen"

    async def read(
        self, service: str, term: int, stale: bool = False
    ) -> tuple[Claim, int]:
        """Return the claim and its revision; one that cannot be read has a `term`."""
        stored = await self._store.get(CLAIMS_KIND, service, stale=stale)
        claim = Claim.decode(stored.spec)
        if claim is NO_CLAIM and stored.revision:
            # Another proxy's claim may be under it, which is awaited as a new one.
            fence = hidden_fence(stored.revision, self._era.current)
            claim = dataclasses.replace(NO_CLAIM, fence=fence, term=term)
        return claim, stored.revision

    async def put(self, service: str, claim: Claim, revision: int) -> int:
        """Store this proxy's claim; return its revision, 0 if another proxy won."""
        spec = dataclasses.asdict(claim)
        try:
            revision = await self._store.put(CLAIMS_KIND, service, spec, revision)
        except StoreConflict:
            return 0
        except StoreUnavailable:
            # The write is of unknown outcome; read back what is stored.
            stored, revision = await self.read(service, claim.term)
            if stored != claim:
                return 0
        self._seen[service] = (revision, asyncio.get_running_loop().time())
        return revision

    async def reason_lost(
        self, service: str, claim: Claim, term: int, until: float
    ) -> str:
        """Return why a claim does not stand any more, "" if it does.

        It may be lost with an era. `until` is on the clock of `boottime`.
        """
        while boottime() < until:
            try:
                stored, _ = await self.read(service, term)
            except StoreUnavailable:
                await asyncio.sleep(_POLL_S)
                continue
            if stored == claim:
                return ""
            return f"the claim with fence {claim.fence} does not stand"
        return f"the claim with fence {claim.fence} could not be read in time"

    def order_expires_at(self, claimed_at: float, delay_s: float) -> float:
        """Return until when the order of a claim may be sent."""
        return claimed_at + delay_s + _ORDER_EXPIRY_S

    def is_blocked_by(
        self, service: str, claim: Claim, revision: int, term: int, delay_s: float
    ) -> bool:
        """Return whether another proxy's claim on a group in a term must be awaited.

        A claim counts as new when this proxy first sees its revision.
        """
        if claim.term < term:
            return False
        now = asyncio.get_running_loop().time()
        known, since = self._seen.get(service, (0, 0.0))
        if revision > known:
            self._seen[service] = (revision, now)
            return True
        return now - since < _HOLD_S + delay_s

    def order_state(
        self,
        service: str,
        claim: Claim,
        revision: int,
        delay_s: float,
        commits_depend: bool,
    ) -> OrderState:
        """Return what may still become of the order of a claim.

        `commits_depend` is whether commits are passed on once it has ended.
        """
        if claim.fence == 0 or self._undone_fences.get(service) == claim.fence:
            return OrderState.ENDED
        now = asyncio.get_running_loop().time()
        known, since = self._seen.get(service, (0, now))
        late_s = _LATE_ORDER_OF_COMMITS_S if commits_depend else _LATE_ORDER_S
        ends_after_s = delay_s + _ORDER_EXPIRY_S + late_s
        if revision == known and now - since > ends_after_s:
            return OrderState.ENDED
        return OrderState.VOIDED_BY_NEXT if self._checks_fences else OrderState.PENDING

    def record_undone(self, service: str, fence: int) -> None:
        """Record that the order with a fence was certainly not carried out."""
        self._undone_fences[service] = fence
