"""Cache the claims on groups, and lease primaries by them.

A claim is stored before a promotion is ordered, and the order is sent no sooner than
`PROMOTION_DELAY_S` after it. A proxy that read the claims therefore knows for `LEASE_S`
from that read which target no promotion has replaced.
"""

import asyncio
import dataclasses
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core.store._era import FENCES_PER_ERA
from rosemaryridge.core.store._era import StoreEra
from rosemaryridge.exceptions import StoreError

CLAIMS_KIND = "failovers"

# Validity of a lease, from when the claims were requested.
LEASE_S = 0.6
# Minimum time between a claim and its promotion order. The difference covers clocks
# that run at different rates, and the resolution of timers.
PROMOTION_DELAY_S = 0.7
# Limit on the age of the claims that a relay passes on; bounds its calls to the store.
RELAYED_AGE_S = 0.2
# A healthy store answers in 4 ms, a slow one in 240 ms.
_READ_TIMEOUT_S = 0.4
# Time after which a promotion that was ordered in an earlier era has taken effect.
_PENDING_ORDERS_S = 3.0
# Delay after a failed read until the store is called again; each call is billed.
_RETRY_S = 1.0
# Fences and terms count promotions.
_MAX_COUNT = 2**53
# Names no target and so leases to none: the successor is not chosen yet, or the claim
# cannot be read.
UNDECIDED_TARGET = "?"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Record in the store that a proxy is replacing the primary of a term.

    `deposed` is the id of the replaced primary; commits that only it has received are
    no longer part of the log.
    """

    fence: int
    holder: str
    term: int
    target: str
    deposed: str = ""

    @classmethod
    def decode(cls, spec: t.Any) -> "Claim":
        """Return a stored claim; NO_CLAIM for a spec that cannot be decoded."""
        try:
            claim = cls(
                int(spec["fence"]),
                spec["holder"],
                int(spec["term"]),
                spec["target"],
                spec.get("deposed", ""),
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            return NO_CLAIM
        names = (claim.holder, claim.target, claim.deposed)
        counts = (claim.fence, claim.term)
        is_valid = all(isinstance(name, str) for name in names) and all(
            0 <= count <= _MAX_COUNT for count in counts
        )
        return claim if is_valid else NO_CLAIM


NO_CLAIM = Claim(0, "", -1, "")


def hidden_fence(revision: int, era: int | None) -> int:
    """Return a fence that none is above which an unreadable claim may hide.

    Each claim raises the fence by one, and the store's revision by one or more.
    """
    return FENCES_PER_ERA * (era or 0) + revision


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimedTarget:
    """Hold what proxies need of a claim: whom it promotes, after which term."""

    fence: int
    term: int
    target: str


NOT_CLAIMED = ClaimedTarget(0, -1, "")


class ClaimListing(t.NamedTuple):
    """Hold the claims by service, when they were requested, and the store's era."""

    claims: dict[str, ClaimedTarget]
    requested_at: float
    era: int | None = None


class ListedStore(t.Protocol):
    """List the objects of a kind."""

    async def list(self, kind: str) -> t.Any:
        """Return all objects of a kind, as of a time after the call; or StoreError."""


class ClaimCache:
    """Cache the newest claims; times are on the clock of `boottime`.

    `first_start` tells that no process of the fleet ran before, so that the first era
    lacks no claim.
    """

    def __init__(
        self,
        store: ListedStore,
        log: EventLog,
        era: StoreEra | None = None,
        first_start: bool = True,
    ):
        # When this proxy learned that the store had come back from a copy, None if it
        # never did; and the primary of each service that was settled since.
        self._era_began_at: float | None = None
        self._settled: dict[str, str] = {}
        self._trusts_first_era = first_start
        self._era = era
        if era is not None:
            era.subscribe(self._on_new_era)
        # Requests the claims from a relay; None without peers.
        self.request_from_relay: (
            t.Callable[[], t.Awaitable[ClaimListing | None]] | None
        ) = None
        self.requested_at = float("-inf")
        # Whether the last attempt to read the claims failed.
        self.failing = False
        self._claims: dict[str, ClaimedTarget] = {}
        # By service: when this proxy first saw the claim.
        self._seen_at: dict[str, float] = {}
        self._store = store
        self._log = log
        self._refresh_task: asyncio.Task[None] | None = None
        self._retry_at = float("-inf")

    @property
    def leased_until(self) -> float:
        """Return the end of the leases that the newest claims grant."""
        return self.requested_at + LEASE_S

    def listing(self) -> ClaimListing:
        """Return the newest claims."""
        era = self._era.current if self._era is not None else None
        return ClaimListing(dict(self._claims), self.requested_at, era)

    def claim(self, service: str) -> ClaimedTarget:
        """Return the last known claim on a group, `NOT_CLAIMED` without any."""
        return self._claims.get(service, NOT_CLAIMED)

    def is_decided(self, service: str) -> bool:
        """Return whether the last known claim on a group, if any, names its target."""
        return self.claim(service).target != UNDECIDED_TARGET

    def is_undecided(self, service: str) -> bool:
        """Return whether a proxy has claimed a group and names no successor yet."""
        claim = self.claim(service)
        return claim.target == UNDECIDED_TARGET and claim.term > NO_CLAIM.term

    def seen_s(self, service: str) -> float:
        """Return for how long this proxy has known the claim on a group, in seconds."""
        return boottime() - self._seen_at.get(service, float("-inf"))

    def leases(self, service: str, target: str) -> bool:
        """Return whether a current lease on a group, if any, is the target's.

        Without a claim no target has been promoted, and the primary is the first one.
        After the store has come back from a copy, which may lack a claim, there are no
        leases on a group until a vote or a new claim has settled who leads it.
        """
        if self._era_began_at is not None and self._settled.get(service) != target:
            return False
        return self.claim(service).target in ("", target)

    def settle(self, service: str, target: str, voted_at: float) -> None:
        """Record that a vote showed that a target leads a group.

        A vote soon after the era began tells nothing of promotions that were ordered
        before, by claims that the copy lacks.
        """
        if self._era_began_at is None:
            return
        if voted_at >= self._era_began_at + _PENDING_ORDERS_S:
            self._settled[service] = target

    def _on_new_era(self, era: int) -> str:
        self._era_began_at = boottime()
        self._settled.clear()
        self.requested_at = float("-inf")
        return "leases"

    def record(self, listing: ClaimListing) -> None:
        """Record claims; those of an earlier era or a lower fence are outdated."""
        if self._era is not None and not self._era.observe(listing.era):
            return
        if not self._trusts_first_era:
            self._doubt_first_era()
        for service, claim in listing.claims.items():
            if claim.fence > self.claim(service).fence:
                if self._era is not None and self._era.issued(claim.fence):
                    self._settled[service] = claim.target
                self._claims[service] = claim
                self._seen_at[service] = boottime()
                self._log.write(
                    "claim_seen",
                    service=service,
                    target=claim.target,
                    fence=claim.fence,
                    term=claim.term,
                    age_s=round(boottime() - listing.requested_at, 3),
                )
        self.requested_at = max(self.requested_at, listing.requested_at)
        self.failing = False

    def _doubt_first_era(self) -> None:
        """Treat the first era that the store names as one that has just begun.

        The store may have come back from a copy shortly before this process started.
        """
        if self._era is None or self._era.current is None:
            return
        self._trusts_first_era = True
        if self._era_began_at is None:
            self._era_began_at = boottime()
            self._log.write("first_era_doubted", era=self._era.current)

    async def refresh(self, requested_after: float) -> bool:
        """Return whether the claims were requested at or after a time; fetch if not."""
        if self.requested_at < requested_after:
            self.start_refresh()
            if self._refresh_task is not None:
                await asyncio.shield(self._refresh_task)
        return self.requested_at >= requested_after

    def start_refresh(self) -> None:
        """Fetch the claims in the background, unless they are being fetched."""
        if self._refresh_task is not None and not self._refresh_task.done():
            return
        self._refresh_task = asyncio.get_running_loop().create_task(self._refresh())

    async def _refresh(self) -> None:
        if self.request_from_relay is not None:
            listing = await self.request_from_relay()
            if listing is not None:
                self.record(listing)
                return
        if boottime() >= self._retry_at:
            await self._read_store()

    async def _read_store(self) -> None:
        requested_at = boottime()
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                stored = await self._store.list(CLAIMS_KIND)
        except (StoreError, TimeoutError) as exc:
            self._retry_at = boottime() + _RETRY_S
            self.failing = True
            self._log.write("claims_unreadable", reason=repr(exc))
            return
        claims = {obj.name: self._claimed_target(obj) for obj in stored.objects}
        self.record(ClaimListing(claims, requested_at))

    def _claimed_target(self, stored: t.Any) -> ClaimedTarget:
        claim = Claim.decode(stored.spec)
        if claim is not NO_CLAIM:
            return ClaimedTarget(claim.fence, claim.term, claim.target)
        era = self._era.current if self._era is not None else None
        fence = hidden_fence(stored.revision, era)
        return ClaimedTarget(fence, NO_CLAIM.term, UNDECIDED_TARGET)
