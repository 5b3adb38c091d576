"""Prove until when a group's primary has not been replaced.

A deposed primary that is cut off goes on serving, so neither its answer to a write nor
its log can be trusted without a proof. There are two:

- a lease: the claims in the store name no other target, and a promotion is ordered
  only some time after its claim;
- a vote: every other target of the group denied, after the answer, that it leads. Only
  a promoted target leads, so no promotion had taken effect. It works without the store.
"""

import asyncio
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core.store import LEASE_S
from rosemaryridge.core.store import PROMOTION_DELAY_S
from rosemaryridge.core.store import ClaimCache

# A lease is renewed in the background once this share of it has passed.
_RENEWAL_SHARE = 0.5
# Time from a claim until its target must lead; until then the former primary gets no
# more work by votes. Covers the delay of the order and a slow promotion.
_HAND_OVER_S = PROMOTION_DELAY_S + 2.5

# Failed votes follow each other while statements wait; one of them is logged in this
# time.
_LOG_PERIOD_S = 1.0

ProbeResult = bool | None


class Leadership:
    """Prove that a target has led a group; times are on the clock of `boottime`.

    `probe` asks a target whether it leads; `others` returns the ids of a group's
    targets other than the given one. `step_down` deposes a target.
    """

    def __init__(
        self,
        service: str,
        claims: ClaimCache,
        others: t.Callable[[str], t.Sequence[str]],
        probe: t.Callable[[str], t.Awaitable[ProbeResult]],
        log: EventLog,
        step_down: t.Callable[[str], None] = lambda target: None,
    ):
        self._service = service
        self._claims = claims
        self._others = others
        self._probe = probe
        self._step_down = step_down
        self._log = log
        # The target that the last successful vote confirmed, and when it began.
        self._voted_for = ""
        self._voted_at = float("-inf")
        self._vote_task: asyncio.Task[bool] | None = None
        self._vote_started_at = float("-inf")
        self._logged_at = float("-inf")

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
            and self._claims.seen_s(self._service) < _HAND_OVER_S
        )

    @property
    def step_down_term(self) -> int:
        """Return the lowest term that the target of the last claim may have."""
        return self._claims.claim(self._service).term + 1

    async def confirm(self, target: str, led_at: float) -> bool:
        """Return whether a target is proven to have led at a time that has passed."""
        if self.proven_until(target) >= led_at:
            if boottime() > self._claims.requested_at + _RENEWAL_SHARE * LEASE_S:
                self._claims.start_refresh()
            return True
        if self._claims.failing:
            # A silent store would delay each answer by its timeout.
            self._claims.start_refresh()
        else:
            await self._claims.refresh(led_at - LEASE_S)
        if self.proven_until(target) >= led_at:
            return True
        if self.is_handing_over(target):
            # Adopts the successor if it leads already.
            await self._probe(self.superseded_by(target))
            return False
        return await self._vote(target, led_at)

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
        claimed = self.superseded_by(target)
        is_claimed_missing = (
            claimed != ""
            and claimed not in others
            and self._claims.is_readable(self._service)
        )
        confirmed = all_deny and not is_claimed_missing
        if all_deny and is_claimed_missing and not self._claims.failing:
            # Nothing else proves who leads: the group needs another promotion.
            self._step_down(target)
        if confirmed:
            self._voted_for, self._voted_at = target, started_at
            self._claims.settle(self._service, target, started_at)
        elif started_at >= self._logged_at + _LOG_PERIOD_S:
            self._logged_at = started_at
            self._log.write(
                "primary_unproven",
                service=self._service,
                target=target,
                answers=dict(zip(others, answers, strict=True)),
                claims_age_s=round(boottime() - self._claims.requested_at, 3),
                claimed=self._claims.claim(self._service).target,
                claimed_is_listed=not is_claimed_missing,
            )
        return confirmed
