"""Replace a primary that has failed, is draining or is overloaded."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._condition import request_condition
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import PROBE_TIMEOUT_S
from rosemaryridge.core._group import Group
from rosemaryridge.core._holders import silent_replicas
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._successor import AMBIGUOUS_REASONS
from rosemaryridge.core._successor import PLANNED_REASONS
from rosemaryridge.core._successor import OrderState
from rosemaryridge.core._successor import PromotionDecision
from rosemaryridge.core._successor import Reason
from rosemaryridge.core._successor import all_lag
from rosemaryridge.core._successor import choose_most_advanced
from rosemaryridge.core._successor import choose_successor
from rosemaryridge.core._successor import leader_has_denied
from rosemaryridge.core._successor import reason_to_replace
from rosemaryridge.core._successor import reason_to_wait
from rosemaryridge.core._target import Target
from rosemaryridge.core.promotions import ClaimRegister
from rosemaryridge.core.promotions import ClaimStore
from rosemaryridge.core.store import PROMOTION_DELAY_S
from rosemaryridge.core.store import UNDECIDED_TARGET
from rosemaryridge.core.store import Claim
from rosemaryridge.core.store import StoreEra
from rosemaryridge.core.store import next_fence
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import OrderExpired
from rosemaryridge.exceptions import StoreError

# Time between two comparisons of the replicas' received positions; a primary that
# serves other proxies gets several of their writes within it.
_PROGRESS_CHECK_S = 0.25
# A claim is read again before its order if it is older than this.
_CLAIM_RECHECK_S = 0.25
# Before acting on a group without a known primary, wait this long for proxies that act
# already.
_NO_PRIMARY_WAIT_S = 1.2
# A promotion waits this long for the conditions of all targets but one. The entry of
# a dead target expires from the store after three heartbeats of 1.2 s.
_CONDITIONS_WAIT_S = 4.0
# With synchronous replicas, a promotion waits this long for each target that may alone
# hold acknowledged commits: the platform's bound for a recovery.
_HOLDERS_WAIT_S = 12.0
# Time from the promotion order until the target must answer as the primary.
_PROMOTION_TIMEOUT_S = 3.0
_POLL_S = 0.06
# The last commits of a primary reach its replicas within one network delay, 40 ms at
# most, and checking for them takes two round trips.
_CATCH_UP_TIMEOUT_S = 0.4
# An overloaded primary may have no free slot or connection for a while; must be less
# than _ORDER_EXPIRY_S, so that the order may still be sent.
_STEP_DOWN_TIMEOUT_S = 1.5
_RETRY_S = 0.3
# An order that was accepted takes effect within 1 s; until then it is not voided. Less
# than the time for which the claim of this proxy is awaited by others.
_ACCEPTED_ORDER_S = 1.5
# Time between two looks at a claim whose order may still be carried out.
_SETTLE_RETRY_S = 2.0
# Start delays are spread over this time per proxy: among many proxies that detect the
# same failure, one acts within some tens of ms and few others act at all.
_START_SPREAD_PER_PROXY_S = 0.02


class PromotionOrders(t.Protocol):
    """Order promotions."""

    async def promote(
        self, service: str, target: str, fence: int, may_send: t.Callable[[], bool]
    ) -> None:
        """Order a promotion; raise FenceRefused, OrderExpired or StoreError.

        `may_send` is asked right before the order is sent.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class _StepDown:
    """Tell whether a primary stepped down, and which target is to lead afterwards."""

    done: bool
    successor: Target


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """Hold a decision to promote a target, and what it rests on.

    `claim` and `last_order` tell of the order before, `revision` is that of its claim.
    """

    reason: Reason
    old: Target | None
    successor: Target
    claim: Claim
    revision: int
    era: int | None
    last_order: OrderState
    conditions: t.Mapping[str, TargetCondition]
    accept_partial: bool


async def _no_refresh(group: Group) -> None:
    return None


class Failover:
    """Order the promotion of a replica when a group's primary must be replaced."""

    def __init__(
        self,
        vm: str,
        store: ClaimStore,
        orders: PromotionOrders,
        shares: Shares,
        log: EventLog,
        rng: random.Random,
        deposed_go_on: bool = False,
        era: StoreEra | None = None,
    ):
        self._deposed_go_on = deposed_go_on
        self._vm = vm
        self._orders = orders
        self._shares = shares
        self._log = log
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._era = era or StoreEra(log)
        self._claims = ClaimRegister(store, self._era, not deposed_go_on)
        self.stopping = False
        # Adds the targets that have registered since the list was last reported.
        self.refresh_targets: t.Callable[[Group], t.Awaitable[None]] = _no_refresh

    def _order_delay_s(self, group: Group) -> float:
        """Return the time from a claim until its order may be sent.

        A deposed primary that goes on, and commits of synchronous replicas, are trusted
        until the leases have expired.
        """
        needs_leases = self._deposed_go_on or group.sync_replicas > 0
        return PROMOTION_DELAY_S if needs_leases else 0.0

    def on_suspect(self, group: Group) -> None:
        """Start a failover check of a group unless one is running."""
        task = self._tasks.get(group.service)
        if self.stopping or task is not None and not task.done():
            return
        loop = asyncio.get_running_loop()
        self._tasks[group.service] = loop.create_task(self._check_and_replace(group))

    async def _check_and_replace(self, group: Group) -> None:
        loop = asyncio.get_running_loop()
        since = loop.time()
        # Until the proxies are counted, assume that there is only this one.
        proxy_count = max(1, self._shares.proxy_count)
        await asyncio.sleep(
            self._rng.uniform(0.0, _START_SPREAD_PER_PROXY_S * proxy_count)
        )
        while not self.stopping:
            reason = reason_to_replace(group, loop.time())
            if reason is None:
                return
            waited_s = loop.time() - since
            if reason is Reason.NONE and waited_s < _NO_PRIMARY_WAIT_S:
                await asyncio.sleep(_POLL_S)
                continue
            try:
                wait_s = _HOLDERS_WAIT_S if group.sync_replicas else _CONDITIONS_WAIT_S
                if await self._replace(group, reason, waited_s > wait_s):
                    return
            except StoreError as exc:
                self._log_not_promoted(
                    group, reason, f"a request to the store failed: {exc}"
                )
                # A proxy that was cut off has no recent view of the targets: restart
                # the wait for their conditions.
                since = loop.time()
            await asyncio.sleep(_RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _replace(
        self, group: Group, reason: Reason, accept_partial: bool
    ) -> bool:
        if reason is Reason.UNSETTLED:
            return await self._settle(group)
        old, era = group.primary_target, self._era.current
        # A stale read is cheap and enough for most proxies; those that go on to act
        # read the claim again.
        claim, revision = await self._claims.read(group.service, group.term, True)
        if self._is_blocked_by(group, claim, revision):
            return False
        conditions = await self._fetch_conditions(group)
        # A draining primary may be silent to this proxy only.
        is_ambiguous = group.sync_replicas and _is_silent(old)
        if reason in AMBIGUOUS_REASONS or is_ambiguous:
            conditions = await self._conditions_if_dead(group, conditions)
        if not conditions or old is not group.primary_target:
            return False
        if reason is Reason.OVERLOADED and not all_lag(conditions):
            self._log_not_promoted(
                group,
                reason,
                f"a replica is up to date; lag in seconds: {_lags(conditions)}",
            )
            group.record_replica_up_to_date()
            return True
        is_planned = old is not None and reason in PLANNED_REASONS
        complete: Target | None = None
        if is_planned and group.sync_replicas and old.is_responsive:
            complete = await self._find_complete(group, old)
            if complete is None:
                return False
            # It has all that the primary acknowledged, whatever others have.
            accept_partial = True
        order = self._order_state(group, claim, revision)
        decision = choose_successor(group, claim, conditions, accept_partial, order)
        if decision.target is not None:
            claim, revision = await self._claims.read(group.service, group.term)
            era = self._era.current
            if self._is_blocked_by(group, claim, revision):
                return False
            order = self._order_state(group, claim, revision)
            decision = choose_successor(group, claim, conditions, accept_partial, order)
        newest_term = max(cond.term for cond in conditions.values())
        # An order for the present primary changes nothing, and later is refused.
        names_primary = old is not None and claim.target == old.id
        if newest_term > claim.term or names_primary and not self._deposed_go_on:
            order = OrderState.ENDED
        if decision.target is None:
            self._log_not_promoted(group, reason, decision.why)
            if decision.primary is not None:
                await group.probe_primary(decision.primary)
            return False
        successor = complete or decision.target
        plan = _Plan(
            reason,
            old,
            successor,
            claim,
            revision,
            era,
            order,
            conditions,
            accept_partial,
        )
        return await self._carry_out(group, plan)

    async def _carry_out(self, group: Group, plan: "_Plan") -> bool:
        """Claim and order a promotion; return whether the group has its primary.

        With synchronous replicas the successor is chosen once the leases have ended:
        the former primary may only be silent to this proxy, and could go on. What it
        acknowledges after that is passed on to no caller.
        """
        old, successor, claim = plan.old, plan.successor, plan.claim
        conditions, era = plan.conditions, plan.era
        delay_s = self._order_delay_s(group)
        new_claim = Claim(
            next_fence(claim.fence, era),
            self._vm,
            max([group.term, *(cond.term for cond in conditions.values())]),
            _interim_target(group, plan),
            old.id if old else claim.target,
        )
        claimed_at = boottime()
        revision = await self._claims.put(group.service, new_claim, plan.revision)
        if not revision or self._era.current != era:
            return False
        self._log_order(group, plan, new_claim)
        due_at = boottime() + delay_s
        is_planned = old is not None and plan.reason in PLANNED_REASONS
        has_stepped_down = False
        if is_planned:
            step_down = await self._step_down(group, old, successor, new_claim.term)
            if not step_down.done and step_down.successor is old:
                # An earlier order may depose it: the claim is settled later then.
                if plan.last_order is OrderState.ENDED or not group.sync_replicas:
                    await self._claim_for(group, new_claim, old, revision)
                return not old.draining
            successor, has_stepped_down = step_down.successor, step_down.done
        chooses_later = group.sync_replicas > 0 and not has_stepped_down
        if not chooses_later:
            new_claim = await self._claim_for(group, new_claim, successor, revision)
            if new_claim is None:
                return False
        if (
            has_stepped_down
            or not is_planned
            and leader_has_denied(group, claim, conditions)
        ):
            due_at = boottime()
        elif delay_s and not is_planned:
            self._log.write(
                "promotion_waits",
                service=group.service,
                fence=new_claim.fence,
                wait_ms=round(1000 * (due_at - boottime())),
                why="other proxies may hold leases on the former primary",
            )
        await asyncio.sleep(due_at - boottime())
        if chooses_later:
            decision = await self._choose_after_leases(group, plan)
            expires_at = self._claims.order_expires_at(claimed_at, delay_s)
            voids = plan.last_order is OrderState.VOIDED_BY_NEXT
            if decision.leads or voids and decision.target is not None:
                return await self._settle_claim(
                    group,
                    plan,
                    decision.target or decision.primary,
                    new_claim.fence,
                    revision,
                    lambda: boottime() < expires_at and self._era.current == era,
                )
            if decision.target is None:
                self._log_not_promoted(group, plan.reason, decision.why)
                return False
            successor = decision.target
            new_claim = await self._claim_for(group, new_claim, successor, revision)
            if new_claim is None:
                return False
        expires_at = self._claims.order_expires_at(claimed_at, delay_s)
        if boottime() - claimed_at > _CLAIM_RECHECK_S and not await self._is_stored(
            group, new_claim, expires_at
        ):
            return False
        return await self._promote(
            group,
            successor,
            new_claim.fence,
            lambda: boottime() < expires_at and self._era.current == era,
        )

    async def _choose_after_leases(
        self, group: Group, plan: "_Plan"
    ) -> PromotionDecision:
        """Choose the successor by what the targets have received by now.

        Targets that joined meanwhile may hold what the former primary acknowledged.
        """
        await self.refresh_targets(group)
        conditions = await self._fetch_conditions_of(group.targets.values())
        self._log.write(
            "successor_chosen",
            service=group.service,
            received={name: str(cond.received) for name, cond in conditions.items()},
            silent=sorted(group.targets.keys() - conditions.keys()),
        )
        return choose_successor(
            group, plan.claim, conditions, plan.accept_partial, plan.last_order
        )

    async def _settle(self, group: Group) -> bool:
        """End a claim whose order has not replaced the primary.

        Without synchronous replicas votes go round such a claim.
        """
        primary, era = group.primary_target, self._era.current
        # As in `_replace`, most proxies stop after a stale read.
        for stale in (True, False):
            claim, revision = await self._claims.read(group.service, group.term, stale)
            if primary is None or claim.target == primary.id:
                return True
            if self._is_blocked_by(group, claim, revision):
                return False
        order = self._order_state(group, claim, revision)
        if order is OrderState.PENDING:
            self._log_not_promoted(
                group, Reason.UNSETTLED, f"{claim.target} may still be promoted"
            )
            await asyncio.sleep(_SETTLE_RETRY_S)
            return True
        plan = _Plan(
            Reason.UNSETTLED, primary, primary, claim, revision, era, order, {}, False
        )
        return await self._carry_out(group, plan)

    async def _settle_claim(
        self,
        group: Group,
        plan: "_Plan",
        target: Target,
        fence: int,
        revision: int,
        may_send: t.Callable[[], bool],
    ) -> bool:
        """Name a target in this proxy's claim once no other one can be promoted.

        The target leads, or is to lead. An earlier order that may still be carried out
        is voided first, by one for the target with a higher fence, which changes
        nothing if it leads; what was accepted just before takes effect later. Only
        then is the target named, and so leased. Where fences are not checked nothing
        voids an order.
        """
        if plan.last_order is OrderState.PENDING:
            why = f"{target.id} leads, and {plan.claim.target} may still be promoted"
            self._log_not_promoted(group, plan.reason, why)
            return False
        if plan.last_order is OrderState.VOIDED_BY_NEXT:
            if not await self._send_order(group, target, fence, may_send):
                return False
            await asyncio.sleep(_ACCEPTED_ORDER_S)
        condition = await self._fetch_condition(target)
        if condition is None or not condition.primary:
            self._log_not_promoted(group, plan.reason, f"{target.id} does not lead")
            return False
        settled = Claim(fence + 1, self._vm, condition.term - 1, target.id)
        if not await self._claims.put(group.service, settled, revision):
            return False
        self._log.write(
            "claim_settled",
            service=group.service,
            primary=target.id,
            term=condition.term,
            fence=settled.fence,
            last_order=plan.last_order.value,
        )
        await group.probe_primary(target)
        return True

    async def _claim_for(
        self, group: Group, claim: Claim, successor: Target, revision: int
    ) -> Claim | None:
        """Return the claim for a successor, stored if it is another; None if lost."""
        if successor.id == claim.target:
            return claim
        claim = dataclasses.replace(claim, fence=claim.fence + 1, target=successor.id)
        stored = await self._claims.put(group.service, claim, revision)
        return claim if stored else None

    async def _is_stored(self, group: Group, claim: Claim, expires_at: float) -> bool:
        """Return whether a claim still stands; it may be lost with an era."""
        why = await self._claims.reason_lost(
            group.service, claim, group.term, expires_at
        )
        if why:
            self._log_not_promoted(group, None, why)
        return not why

    def _log_order(
        self,
        group: Group,
        plan: "_Plan",
        new_claim: Claim,
    ) -> None:
        conditions = plan.conditions
        self._log.write(
            "promotion_ordered",
            service=group.service,
            reason=plan.reason.value,
            primary=new_claim.deposed,
            term=new_claim.term,
            target=new_claim.target,
            fence=new_claim.fence,
            last_order=plan.last_order.value,
            received={name: str(cond.received) for name, cond in conditions.items()},
            lag_s=_lags(conditions),
        )

    async def _step_down(
        self, group: Group, old: Target, successor: Target, term: int
    ) -> "_StepDown":
        """Step down a working primary and choose the target to lead afterwards.

        That is the successor, or another replica, once it has received the whole log,
        and the old primary if none catches up in time or if the primary did not step
        down. A draining primary is replaced in any case, by the one that has received
        most, unless a silent synchronous replica may have received more.
        """
        last = await request_condition(
            old, lambda link: link.step_down(term + 1), _STEP_DOWN_TIMEOUT_S
        )
        if last is None or last.primary:
            self._log_not_promoted(
                group, None, f"primary {old.id} did not step down in time"
            )
            works = group.sync_replicas and old.is_responsive
            return _StepDown(False, successor if old.draining and not works else old)
        loop = asyncio.get_running_loop()
        until = loop.time() + _CATCH_UP_TIMEOUT_S
        while loop.time() < until:
            condition = await self._fetch_condition(successor)
            if condition is not None and condition.received >= last.received:
                return _StepDown(True, successor)
            await asyncio.sleep(_POLL_S)
        conditions = await self._fetch_conditions(group)
        conditions.pop(old.id, None)
        successor = choose_most_advanced(group, successor, conditions)
        condition = conditions.get(successor.id)
        if condition is not None and condition.received >= last.received:
            return _StepDown(True, successor)
        self._log_not_promoted(
            group,
            None,
            f"no replica received position {last.received} in time; {successor.id} "
            "received most",
        )
        is_behind = group.sync_replicas and silent_replicas(group, old.id, conditions)
        return _StepDown(True, successor if old.draining and not is_behind else old)

    async def _find_complete(self, group: Group, primary: Target) -> Target | None:
        """Return a replica that stays and has received the primary's log, if any."""
        loop = asyncio.get_running_loop()
        condition = await self._fetch_condition(primary)
        if condition is None:
            return None
        until = loop.time() + _CATCH_UP_TIMEOUT_S
        while loop.time() < until:
            conditions = await self._fetch_conditions(group)
            for name, other in conditions.items():
                target = group.targets.get(name)
                stays = target is not None and target.stays and target is not primary
                if stays and other.received >= condition.received:
                    return target
            await asyncio.sleep(_POLL_S)
        self._log_not_promoted(
            group, None, f"no replica that stays received position {condition.received}"
        )
        return None

    async def _conditions_if_dead(
        self, group: Group, before: dict[str, TargetCondition]
    ) -> dict[str, TargetCondition]:
        """Return the latest conditions if the primary is dead, else an empty dict.

        A replica that still receives commits shows that other proxies reach the
        primary.
        """
        primary = group.primary_target
        probes = [group.probe_primary(target) for target in group.targets.values()]
        await asyncio.gather(asyncio.sleep(_PROGRESS_CHECK_S), *probes)
        if (
            group.primary_target is not primary
            or primary
            and primary.unresponsive_since is None
        ):
            return {}
        after = await self._fetch_conditions(group)
        why = reason_to_wait(before, after)
        if why:
            self._log_not_promoted(group, None, why)
        return {} if why else after

    async def _fetch_conditions(self, group: Group) -> dict[str, TargetCondition]:
        others = [
            tgt for tgt in group.targets.values() if tgt is not group.primary_target
        ]
        return await self._fetch_conditions_of(others)

    async def _fetch_conditions_of(
        self, targets: t.Iterable[Target]
    ) -> dict[str, TargetCondition]:
        targets = list(targets)
        answers = await asyncio.gather(*map(self._fetch_condition, targets))
        return {
            target.id: answer
            for target, answer in zip(targets, answers, strict=True)
            if answer is not None
        }

    async def _fetch_condition(self, target: Target) -> TargetCondition | None:
        return await request_condition(
            target, lambda link: link.ask_condition(), 2 * PROBE_TIMEOUT_S
        )

    def _is_blocked_by(self, group: Group, claim: Claim, revision: int) -> bool:
        return self._claims.is_blocked_by(
            group.service, claim, revision, group.term, self._order_delay_s(group)
        )

    def _order_state(self, group: Group, claim: Claim, revision: int) -> OrderState:
        return self._claims.order_state(
            group.service,
            claim,
            revision,
            self._order_delay_s(group),
            group.sync_replicas > 0,
        )

    async def _promote(
        self,
        group: Group,
        target: Target,
        fence: int,
        may_send: t.Callable[[], bool],
    ) -> bool:
        if await self._send_order(group, target, fence, may_send) is False:
            return False
        return await self._wait_until_primary(group, target)

    async def _send_order(
        self,
        group: Group,
        target: Target,
        fence: int,
        may_send: t.Callable[[], bool],
    ) -> bool | None:
        """Order a promotion; return whether it was accepted, None if unknown."""
        try:
            await self._orders.promote(group.service, target.id, fence, may_send)
        except OrderExpired:
            self._claims.record_undone(group.service, fence)
            self._log_not_promoted(
                group,
                None,
                f"the claim with fence {fence} is too old, or of an earlier era, to "
                f"promote {target.id}",
            )
            return False
        except FenceRefused:
            self._claims.record_undone(group.service, fence)
            self._log_not_promoted(
                group,
                None,
                f"the platform refused to promote {target.id}: fence {fence} is "
                "outdated or the target is not running",
            )
            return False
        except StoreError as exc:
            self._log_not_promoted(
                group, None, f"promotion order for {target.id} failed: {exc}"
            )
            return None
        return True

    async def _wait_until_primary(self, group: Group, target: Target) -> bool:
        loop = asyncio.get_running_loop()
        until = loop.time() + _PROMOTION_TIMEOUT_S
        while loop.time() < until:
            if await group.probe_primary(target):
                return True
            await asyncio.sleep(_POLL_S)
        self._log_not_promoted(
            group, None, f"{target.id} did not become the primary in time"
        )
        return False

    def _log_not_promoted(self, group: Group, reason: Reason | None, text: str) -> None:
        self._log.write(
            "promotion_held",
            service=group.service,
            reason=reason.value if reason else None,
            primary=group.primary,
            term=group.term,
            why=text,
        )


def _interim_target(group: Group, plan: _Plan) -> str:
    """Return whom a claim names until its successor is chosen.

    The target of an earlier order that may still be carried out would lead with a
    lease, although another one is promoted afterwards: nobody is named then.
    """
    if group.sync_replicas and plan.last_order is OrderState.VOIDED_BY_NEXT:
        return UNDECIDED_TARGET
    return plan.successor.id


def _is_silent(target: Target | None) -> bool:
    """Return whether a target does not answer, though nothing refuses connections."""
    return (
        target is not None
        and target.unresponsive_since is not None
        and target.refused_at is None
    )


def _lags(conditions: t.Mapping[str, TargetCondition]) -> dict[str, float]:
    return {name: round(cond.lag_s, 2) for name, cond in conditions.items()}
