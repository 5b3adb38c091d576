"""Replace a primary that has failed or is leaving."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import PING_TIMEOUT_S
from rosemaryridge.core._group import Group
from rosemaryridge.core._pool import NO_SLOT
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._successor import PLANNED
from rosemaryridge.core._successor import UNCERTAIN
from rosemaryridge.core._successor import Claim
from rosemaryridge.core._successor import Reason
from rosemaryridge.core._successor import all_lag
from rosemaryridge.core._successor import choose_successor
from rosemaryridge.core._successor import progress
from rosemaryridge.core._successor import reason_to_replace
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Link
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreUnavailable

CLAIMS_KIND = "failovers"

# Between two looks at the replicas; other proxies' writes come several times in it.
_PROGRESS_S = 0.25
# Another proxy's claim is respected for this long: a slow promotion and its call.
_CLAIM_S = 2.5
# A group without any primary that answers is left to those that act for this long.
_LEADERLESS_S = 1.2
# A promotion waits this long for the conditions of all targets but one; a target
# that lapses from the store takes three heartbeats of 1.2 s.
_ALONE_S = 4.0
# How long a promotion may take until the target is seen to lead.
_PROMOTION_S = 3.0
_POLL_S = 0.06
# What a primary committed last reaches its replicas within a network delay, 40 ms at
# most, and is asked for in two round trips.
_CATCH_UP_S = 0.4
# An overloaded primary may have no slot and no connection to spare for a while; the
# claim is respected for longer.
_STEP_DOWN_S = 2.0
_RETRY_S = 0.3
# Proxies that see the same failure start this far apart for each of them, so that
# one of many acts first within some tens of ms and few others act at all.
_SPREAD_S = 0.02


class ClaimStore(t.Protocol):
    """Read and write claims under a condition."""

    async def get(self, kind: str, name: str, stale: bool = False) -> t.Any:
        """Return an object; revision 0 where there is none."""

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write where the revision matches."""


class PromotionOrders(t.Protocol):
    """Order promotions."""

    async def promote(self, service: str, target: str, fence: int) -> None:
        """Order a promotion; raise FenceRefused or StoreError."""


class Failover:
    """Watch over every group's primary and order promotions."""

    def __init__(
        self,
        vm: str,
        store: ClaimStore,
        orders: PromotionOrders,
        shares: Shares,
        log: EventLog,
        rng: random.Random,
    ):
        self._vm = vm
        self._store = store
        self._orders = orders
        self._shares = shares
        self._log = log
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._seen: dict[str, tuple[int, float]] = {}
        self.stopping = False

    def trouble(self, group: Group) -> None:
        """Look into a group whose primary may need to be replaced."""
        task = self._tasks.get(group.service)
        if self.stopping or task is not None and not task.done():
            return
        loop = asyncio.get_running_loop()
        self._tasks[group.service] = loop.create_task(self._handle(group))

    async def _handle(self, group: Group) -> None:
        loop = asyncio.get_running_loop()
        since = loop.time()
        # Before the proxies are counted this one acts as if it were alone.
        proxies = max(1, self._shares.proxies)
        await asyncio.sleep(self._rng.uniform(0.0, _SPREAD_S * proxies))
        while not self.stopping:
            reason = reason_to_replace(group, loop.time())
            if reason is None:
                return
            waited_s = loop.time() - since
            if reason is Reason.NONE and waited_s < _LEADERLESS_S:
                await asyncio.sleep(_POLL_S)
                continue
            try:
                if await self._replace(group, reason, waited_s > _ALONE_S):
                    return
            except StoreError as exc:
                self._note(group, reason, f"the platform failed: {exc}")
                # A proxy that was cut off sees the targets anew from now on.
                since = loop.time()
            await asyncio.sleep(_RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _replace(self, group: Group, reason: Reason, alone: bool) -> bool:
        old = group.lead
        # Many look and few act, who look again.
        claim, revision = await self._read_claim(group, stale=True)
        if self._is_respected(group, claim, revision):
            return False
        conditions = await self._conditions(group)
        if reason in UNCERTAIN:
            conditions = await self._if_dead(group, conditions)
        if not conditions or old is not group.lead:
            return False
        if reason is Reason.OVERLOADED and not all_lag(conditions):
            self._note(group, reason, f"a replica keeps up: {_lags(conditions)}")
            group.replicas_keep_up()
            return True
        verdict = choose_successor(group, claim, conditions, alone)
        if verdict.target is not None:
            claim, revision = await self._read_claim(group)
            if self._is_respected(group, claim, revision):
                return False
            verdict = choose_successor(group, claim, conditions, alone)
        if verdict.target is None:
            self._note(group, reason, verdict.why)
            if verdict.leader is not None:
                await group.check(verdict.leader)
            return False
        own = Claim(
            claim.fence + 1,
            self._vm,
            max([group.term, *(one.term for one in conditions.values())]),
            verdict.target.id,
            old.id if old else claim.target,
        )
        if not await self._claim(group, own, revision):
            return False
        self._log_order(group, reason, own, conditions)
        successor = verdict.target
        if old is not None and reason in PLANNED:
            successor = await self._hand_over(group, old, successor, own.term)
            if successor is None:
                return True
        return await self._promote(group, successor, own.fence)

    def _log_order(
        self,
        group: Group,
        reason: Reason,
        own: Claim,
        conditions: t.Mapping[str, TargetCondition],
    ) -> None:
        self._log.write(
            "promotion_ordered",
            service=group.service,
            reason=reason.value,
            primary=own.deposed,
            term=own.term,
            target=own.target,
            fence=own.fence,
            received={name: str(one.received) for name, one in conditions.items()},
            lag_s=_lags(conditions),
        )

    async def _hand_over(
        self, group: Group, old: Target, successor: Target, term: int
    ) -> Target | None:
        """Stop a primary that works, and return who is to lead once it has all.

        None leaves the primary as it is. One that leaves is replaced in any case.
        """
        last = await self._ask(old, lambda link: link.step_down(term + 1), _STEP_DOWN_S)
        if last is None or last.primary:
            self._note(group, None, f"{old.id} does not step down")
            return successor if old.leaving else None
        loop = asyncio.get_running_loop()
        until = loop.time() + _CATCH_UP_S
        while loop.time() < until:
            condition = await self._condition(successor)
            if condition is not None and condition.received >= last.received:
                return successor
            await asyncio.sleep(_POLL_S)
        self._note(group, None, f"{successor.id} lacks {last.received}")
        return successor if old.leaving else old

    async def _if_dead(
        self, group: Group, before: dict[str, TargetCondition]
    ) -> dict[str, TargetCondition]:
        """Return the newest conditions if no primary works for anybody, else none.

        Replicas that go on receiving show that others still reach it.
        """
        lead = group.lead
        checks = [group.check(one) for one in group.targets.values()]
        await asyncio.gather(asyncio.sleep(_PROGRESS_S), *checks)
        if group.lead is not lead or lead and lead.silent_since is None:
            return {}
        after = await self._conditions(group)
        why = progress(before, after)
        if why:
            self._note(group, None, why)
        return {} if why else after

    async def _conditions(self, group: Group) -> dict[str, TargetCondition]:
        others = [one for one in group.targets.values() if one is not group.lead]
        answers = await asyncio.gather(*map(self._condition, others))
        return {
            target.id: answer
            for target, answer in zip(others, answers, strict=True)
            if answer is not None
        }

    async def _condition(self, target: Target) -> TargetCondition | None:
        return await self._ask(
            target, lambda link: link.ask_condition(), 2 * PING_TIMEOUT_S
        )

    async def _ask(
        self,
        target: Target,
        question: t.Callable[[Link], t.Awaitable[TargetCondition | None]],
        timeout_s: float,
    ) -> TargetCondition | None:
        """Return a target's answer; None where it gives none in time."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            link = await target.pool.acquire(NO_SLOT, deadline, pinned=True)
        except (PoolClosed, TurnTooLate, TimeoutError):
            return None
        try:
            async with asyncio.timeout_at(deadline):
                while (condition := await question(link)) is None:
                    # The target had no slot for the question.
                    await asyncio.sleep(_POLL_S)
        except (TargetLost, TimeoutError):
            target.pool.discard(link, pinned=True)
            return None
        target.pool.release(link, pinned=True)
        return condition

    async def _claim(self, group: Group, own: Claim, revision: int) -> bool:
        """Write an own claim; return whether no other proxy was first."""
        spec = dataclasses.asdict(own)
        try:
            revision = await self._store.put(CLAIMS_KIND, group.service, spec, revision)
        except StoreConflict:
            return False
        except StoreUnavailable:
            # The write may have been made; only what is stored tells.
            stored, revision = await self._read_claim(group)
            if stored != own:
                return False
        self._seen[group.service] = (revision, asyncio.get_running_loop().time())
        return True

    async def _read_claim(self, group: Group, stale: bool = False) -> tuple[Claim, int]:
        stored = await self._store.get(CLAIMS_KIND, group.service, stale=stale)
        return Claim.decode(stored.spec), stored.revision

    def _is_respected(self, group: Group, claim: Claim, revision: int) -> bool:
        if claim.term < group.term:
            return False
        now = asyncio.get_running_loop().time()
        known, since = self._seen.get(group.service, (0, 0.0))
        if revision > known:
            self._seen[group.service] = (revision, now)
            return True
        return now - since < _CLAIM_S

    async def _promote(self, group: Group, target: Target, fence: int) -> bool:
        try:
            await self._orders.promote(group.service, target.id, fence)
        except FenceRefused:
            self._note(group, None, f"the promotion of {target.id} was refused")
            return False
        except StoreError as exc:
            self._note(group, None, f"the promotion of {target.id}: {exc}")
        return await self._await_lead(group, target)

    async def _await_lead(self, group: Group, target: Target) -> bool:
        loop = asyncio.get_running_loop()
        until = loop.time() + _PROMOTION_S
        while loop.time() < until:
            if await group.check(target):
                return True
            await asyncio.sleep(_POLL_S)
        self._note(group, None, f"{target.id} does not lead yet")
        return False

    def _note(self, group: Group, reason: Reason | None, text: str) -> None:
        self._log.write(
            "promotion_held",
            service=group.service,
            reason=reason.value if reason else None,
            primary=group.primary,
            term=group.term,
            why=text,
        )


def _lags(conditions: t.Mapping[str, TargetCondition]) -> dict[str, float]:
    return {name: round(one.lag_s, 2) for name, one in conditions.items()}
