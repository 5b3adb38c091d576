"""Request and issue permits for the operations of businesses, by datagrams."""

import asyncio
import math
import random
import typing as t
import zlib

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._metrics import Labels
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._peers import Peer
from rosemaryridge.core._peers import Peers
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core.businesses import Business
from rosemaryridge.core.quotas._allocator import Allocator
from rosemaryridge.core.quotas._issuers import choose_issuers
from rosemaryridge.core.quotas._issuers import order_issuers
from rosemaryridge.core.quotas._messages import PermitReply
from rosemaryridge.core.quotas._messages import PermitRequest
from rosemaryridge.core.quotas._policy import Limit
from rosemaryridge.core.quotas._policy import QuotaPolicy
from rosemaryridge.core.zones import Surroundings

# Businesses of a group have the same issuers; groups divide the work among proxies.
_GROUPS = 16
# A reply from another region takes 40 ms.
_REPLY_TIMEOUT_S = 0.08
# An issuer that did not reply is skipped for this long.
_SILENT_S = 3.0
# An operation is refused if no issuer has replied within this time.
_ADMIT_TIMEOUT_S = 0.4
# Time to wait for the first list of proxies after a start.
_FIRST_LIST_S = 0.8
# Retry-After of an operation that no issuer has answered for.
_UNANSWERED_RETRY_S = 0.5
# A proxy that is new in the list issues no permits until all proxies have listed again:
# until then, some may ask the proxy that it replaces.
_SETTLING_S = 26.0
# At the first start of a fleet, the first list may lack proxies that start at the same
# time. Issuers with different lists would divide a quota by different numbers.
_LISTS_AT_FIRST_START = 2
# Metrics name this many businesses, then "other".
_MAX_LABELS = 256
_MAX_RETRY_S = 60.0


class Quotas:
    """Admit the operations of businesses within their quota."""

    def __init__(
        self,
        vm: str,
        surroundings: Surroundings,
        policy: QuotaPolicy,
        peers: Peers,
        log: EventLog,
        metrics: MetricsRegistry,
        rng: random.Random,
    ):
        self._vm = vm
        self._surroundings = surroundings
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._policy = policy
        self._allocator = Allocator(policy, boottime())
        self._listed: tuple[Peer, ...] = ()
        # By group and rank.
        self._issuers: dict[int, list[Peer]] = {}
        self._settled_at = boottime() + _SETTLING_S
        self._is_first_start = False
        self._lists = 0
        # Until when an issuer that refused is not asked: by business and issuer, then
        # by urgency.
        self._paused: dict[tuple[str, str], dict[int, float]] = {}
        self._silent_until: dict[str, float] = {}
        self._labels: set[str] = set()
        self._first_list = asyncio.Event()
        peers.on_peers = self._set_peers
        peers.handlers[PermitRequest] = self._decide
        metrics.add_gauges(self._gauges)

    def settle(self) -> None:
        """Issue permits at once: this VM was in the list before its process started."""
        self._settled_at = float("-inf")

    @property
    def settled(self) -> bool:
        """Return whether this proxy issues permits of its businesses."""
        return boottime() >= self._settled_at

    def settle_once_listed(self) -> None:
        """Issue permits once the proxies of a fleet that starts know each other."""
        self._is_first_start = True

    async def admit(
        self, business: Business, version: int, urgency: int, statement_id: bytes
    ) -> None:
        """Return once an operation has a permit; raise StatementError.

        `version` is that of the configuration which the limits come from.
        """
        if business.rate_per_s is None:
            return
        if not self._listed:
            await self._wait_for_list()
        deadline = boottime() + _ADMIT_TIMEOUT_S
        retry_s = math.inf
        limit = Limit(business.rate_per_s, business.burst, version)
        issuers = self._issuers_of(business.name, limit)
        for issuer in order_issuers(issuers, self._surroundings):
            wait_s = await self._request(
                issuer, business.name, limit, urgency, deadline
            )
            if wait_s <= 0.0:
                self._count(business.name, "granted")
                return
            retry_s = min(retry_s, wait_s)
        raise self._refuse(business, statement_id, retry_s)

    async def _request(
        self, issuer: Peer, business: str, limit: Limit, urgency: int, deadline: float
    ) -> float:
        """Return 0 if an issuer issues a permit, else the seconds until it may.

        Infinite if it does not answer or issues no permits of this business.
        """
        now = boottime()
        paused_s = self._paused_s(business, issuer.vm, urgency, now)
        if paused_s > 0.0:
            return paused_s
        if now > deadline or self._silent_until.get(issuer.vm, 0.0) > now:
            return math.inf
        reply = await self._ask(issuer, business, limit, urgency)
        if reply is None:
            self._silent_until[issuer.vm] = boottime() + _SILENT_S
            return math.inf
        if reply.granted:
            return 0.0
        if not reply.decided:
            return math.inf
        pauses = self._paused.setdefault((business, issuer.vm), {})
        pauses[urgency] = boottime() + reply.pause_s
        return max(reply.retry_s, reply.pause_s)

    def _refuse(
        self, business: Business, statement_id: bytes, retry_s: float
    ) -> StatementError:
        is_answered = retry_s < math.inf
        self._count(business.name, "refused" if is_answered else "unanswered")
        if not is_answered:
            retry_s = _UNANSWERED_RETRY_S
        retry_s = min(retry_s, _MAX_RETRY_S) * self._rng.uniform(1.0, 1.2)
        self._log.write(
            "quota_refused" if is_answered else "quota_unanswered",
            id=statement_id,
            business=business.name,
            rate_per_s=business.rate_per_s,
            burst=business.burst,
            retry_ms=round(1000 * retry_s),
        )
        reason = (
            "is over its quota" if is_answered else "has a quota that cannot be checked"
        )
        return StatementError(
            Failure.BUSY, f"business {business.name} {reason}", retry_s
        )

    def _paused_s(self, business: str, issuer: str, urgency: int, now: float) -> float:
        pauses = self._paused.get((business, issuer), {})
        until = [time for other, time in pauses.items() if other <= urgency]
        return max(until, default=now) - now

    async def _wait_for_list(self) -> None:
        try:
            async with asyncio.timeout(_FIRST_LIST_S):
                await self._first_list.wait()
        except TimeoutError:
            return

    async def _ask(
        self, issuer: Peer, business: str, limit: Limit, urgency: int
    ) -> PermitReply | None:
        reply = await self._peers.ask(
            issuer,
            lambda number: PermitRequest(
                number,
                business,
                limit.rate_per_s,
                limit.burst,
                limit.version,
                urgency,
                self._vm,
            ),
            _REPLY_TIMEOUT_S,
        )
        return reply if isinstance(reply, PermitReply) else None

    def _decide(self, request: PermitRequest) -> PermitReply:
        """Answer a request for a permit."""
        now = boottime()
        limit = Limit(request.rate_per_s, request.burst, request.version)
        issuers = self._issuers_of(request.business, limit)
        is_issuer = any(issuer.vm == self._vm for issuer in issuers)
        if not is_issuer or not self.settled:
            return PermitReply(request.number, False, False, 0.0, 0.0)
        decision = self._allocator.decide(
            request.business,
            limit,
            len(issuers),
            request.urgency,
            request.asker,
            now,
        )
        return PermitReply(
            request.number,
            True,
            decision.granted,
            min(decision.retry_s, _MAX_RETRY_S),
            decision.pause_s,
        )

    def _set_peers(self, peers: tuple[Peer, ...]) -> None:
        self._listed = peers
        self._issuers.clear()
        self._lists += 1
        if self._is_first_start and self._lists >= _LISTS_AT_FIRST_START:
            self.settle()
        if peers:
            self._first_list.set()

    def _issuers_of(self, business: str, limit: Limit) -> list[Peer]:
        """Return the proxies that issue the permits of a business, by rank."""
        group = zlib.crc32(business.encode()) % _GROUPS
        issuers = self._issuers.get(group)
        if issuers is None:
            issuers = choose_issuers(f"/quotas/{group}", self._listed)
            self._issuers[group] = issuers
        return issuers[: self._policy.issuers(limit)]

    def _count(self, business: str, outcome: str) -> None:
        if business not in self._labels and len(self._labels) >= _MAX_LABELS:
            business = "other"
        self._labels.add(business)
        self._metrics.inc("quota_total", business=business, outcome=outcome)

    def _gauges(self) -> t.Iterator[tuple[str, Labels, float]]:
        for name, bucket in self._allocator.buckets.items():
            labels = (("business", name),)
            yield "quota_tokens", labels, bucket.tokens
            yield "quota_part_per_s", labels, bucket.rate_per_s
            yield "quota_permits", labels, bucket.used
