"""Prove until when a group's primary has not been replaced.

A deposed primary that is cut off goes on serving, so neither its answer to a write nor
its log can be trusted without a proof. There are two:

- a lease: the claims in the store name no other target, and a promotion is ordered
  only some time after its claim;
- a vote: every other target of the group denied, after the answer, that it leads. Only
  a promoted target leads, so no promotion had taken effect. It works without the store.

With synchronous replicas a commit must also survive a promotion that was ordered before
it and takes effect after it. A lease proves this too: the successor is chosen by what
the replicas have received after the leases have ended. A vote does not; in its place,
every other target must have received the commit, so that any of them may be promoted.
"""

import asyncio
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core.store import LEASE_S
from rosemaryridge.core.store import PROMOTION_DELAY_S
from rosemaryridge.core.store import ClaimCache
from rosemaryridge.model import Position

# A lease is renewed in the background once this share of it has passed.
_RENEWAL_SHARE = 0.5
# Time from a claim until its target must lead; until then the former primary gets no
# more work by votes. Covers the delay of the order and a slow promotion.
_HAND_OVER_S = PROMOTION_DELAY_S + 2.5

# Failed proofs follow each other while statements wait; one of them is logged in this
# time.
_LOG_PERIOD_S = 1.0
# Time for a commit to reach all replicas: one network delay, and what a lagging replica
# needs to receive it.
_RECEIPT_WAIT_S = 0.6
_RECEIPT_POLL_S = 0.03

ProbeResult = bool | None


async def _no_condition(name: str) -> TargetCondition | None:
    return None


class Leadership:
    """Prove that a target has led a group; times are on the clock of `boottime`.

    `probe` asks a target whether it leads; `others` returns the ids of a group's
    targets other than the given one. `step_down` deposes a target, and `ask_condition`
    returns a target's condition, None if it does not answer.
    """

    def __init__(
        self,
        service: str,
        claims: ClaimCache,
        others: t.Callable[[str], t.Sequence[str]],
        probe: t.Callable[[str], t.Awaitable[ProbeResult]],
        log: EventLog,
        step_down: t.Callable[[str], None] = lambda target: None,
        ask_condition: t.Callable[
            [str], t.Awaitable[TargetCondition | None]
        ] = _no_condition,
    ):
        self._service = service
        self._claims = claims
        self._others = others
        self._probe = probe
        self._step_down = step_down
        self._ask_condition = ask_condition
        self._log = log
        # The target that the last successful vote confirmed, and when it began.
        self._voted_for = ""
        self._voted_at = float("-inf")
        self._vote_task: asyncio.Task[bool] | None = None
        self._vote_started_at = float("-inf")
        self._logged_at = float("-inf")
        # Commits of a target that are answered meanwhile share one request for the
        # conditions of the others.
        self._receipts_task: asyncio.Task[Position | None] | None = None
        self._receipts_of = ""

    def proven_until(self, target: str) -> float:
        """Return until when a target is proven to have led, if it ever did."""
        voted_at = self._voted_at if self._voted_for == target else float("-inf")
        if self._claims.leases(self._service, target):
            return max(voted_at, self._claims.leased_until)
        return voted_at

    def superseded_by(self, target: str) -> str:
        """Return the target that a claim names instead of this one, "" if none."""
        claimed = self._claims.claim(self._service).target
        return "" if claimed in ("", target) else claimed

    def is_handing_over(self, target: str) -> bool:
        """Return whether a promotion of another target may be under way."""
        return (
            self.superseded_by(target) != ""
            and not self._claims.is_undecided(self._service)
            and self._claims.seen_s(self._service) < _HAND_OVER_S
        )

    def is_unsettled(self, target: str) -> bool:
        """Return whether a claim names another target than one that goes on leading."""
        superseded = self.superseded_by(target) != ""
        return superseded and self._claims.seen_s(self._service) >= _HAND_OVER_S

    @property
    def step_down_term(self) -> int:
        """Return the lowest term that the target of the last claim may have."""
        return self._claims.claim(self._service).term + 1

    async def confirm(self, target: str, led_at: float) -> bool:
        """Return whether a target is proven to have led at a time that has passed."""
        if await self._renew(led_at, lambda: self.proven_until(target)):
            return True
        if self.is_handing_over(target):
            # Adopts the successor if it leads already.
            await self._probe(self.superseded_by(target))
            return False
        return await self._vote(target, led_at)

    async def confirm_commit(
        self, target: str, position: Position | None, answered_at: float
    ) -> bool:
        """Return whether a commit survives each promotion that may be under way.

        A target answered at `answered_at` that its log reaches `position`.
        """
        if await self._renew(answered_at, lambda: self._leased_until(target)):
            return True
        return position is not None and await self._is_received(target, position)

    def _leased_until(self, target: str) -> float:
        leased = self._claims.leases(self._service, target)
        return self._claims.leased_until if leased else float("-inf")

    async def _renew(self, until: float, proven_until: t.Callable[[], float]) -> bool:
        """Return whether a proof reaches a time; read the claims again if it does not.

        A proof that is about to end is renewed in the background.
        """
        if proven_until() >= until:
            if boottime() > self._claims.requested_at + _RENEWAL_SHARE * LEASE_S:
                self._claims.start_refresh()
            return True
        if self._claims.failing:
            # A silent store would delay each answer by its timeout.
            self._claims.start_refresh()
        else:
            await self._claims.refresh(until - LEASE_S)
        return proven_until() >= until

    async def _is_received(self, target: str, position: Position) -> bool:
        """Return whether all others received a position of a target's log in time."""
        until = boottime() + _RECEIPT_WAIT_S
        while True:
            task = self._receipts_task
            if task is None or task.done() or self._receipts_of != target:
                self._receipts_of = target
                self._receipts_task = task = asyncio.get_running_loop().create_task(
                    self._fetch_received_by_all(target)
                )
            received = await asyncio.shield(task)
            if received is None:
                break
            # A newer term may have begun without the commit.
            if received.term == position.term and received >= position:
                return True
            if received.term > position.term or boottime() >= until:
                break
            await asyncio.sleep(_RECEIPT_POLL_S)
        self._log_unproven(
            target, commit=str(position), received_by_all=str(received or "")
        )
        return False

    async def _fetch_received_by_all(self, target: str) -> Position | None:
        """Return the position that all others have received; None if one is silent.

        A claimed target that is not listed may be promoted, and has not told.
        """
        others = self._others(target)
        if self._is_claimed_missing(target, others):
            return None
        conditions = await asyncio.gather(*map(self._ask_condition, others))
        if not conditions or None in conditions:
            return None
        newest = max(cond.received.term for cond in conditions)
        if any(cond.received.term != newest for cond in conditions):
            # Logs of two terms have no position in common that is known.
            return Position(newest, 0)
        return min(cond.received for cond in conditions)

    def _is_claimed_missing(self, target: str, others: t.Sequence[str]) -> bool:
        """Return whether the last claim names a target that is not listed."""
        claimed = self.superseded_by(target)
        return (
            claimed != ""
            and claimed not in others
            and self._claims.is_decided(self._service)
        )

    async def _vote(self, target: str, led_at: float) -> bool:
        while self.proven_until(target) < led_at:
            if self._vote_task is None or self._vote_task.done():
                self._vote_started_at = boottime()
                self._vote_task = asyncio.get_running_loop().create_task(
                    self._hold_vote(target, self._vote_started_at)
                )
            started_at = self._vote_started_at
            await asyncio.shield(self._vote_task)
            if started_at >= led_at:
                break
        return self.proven_until(target) >= led_at

    async def _hold_vote(self, target: str, started_at: float) -> bool:
        others = self._others(target)
        answers = await asyncio.gather(*map(self._probe, others))
        all_deny = bool(others) and all(answer is False for answer in answers)
        # A target that is not listed has not voted, and may have been promoted.
        is_claimed_missing = self._is_claimed_missing(target, others)
        confirmed = all_deny and not is_claimed_missing
        if all_deny and is_claimed_missing and not self._claims.failing:
            # Nothing else proves who leads: the group needs another promotion.
            self._step_down(target)
        if confirmed:
            self._voted_for, self._voted_at = target, started_at
            self._claims.settle(self._service, target, started_at)
        else:
            answered = dict(zip(others, answers, strict=True))
            self._log_unproven(
                target, answers=answered, claimed_is_listed=not is_claimed_missing
            )
        return confirmed

    def _log_unproven(self, target: str, **fields: t.Any) -> None:
        now = boottime()
        if now < self._logged_at + _LOG_PERIOD_S:
            return
        self._logged_at = now
        self._log.write(
            "primary_unproven",
            service=self._service,
            target=target,
            claims_age_s=round(now - self._claims.requested_at, 3),
            claimed=self._claims.claim(self._service).target,
            **fields,
        )
