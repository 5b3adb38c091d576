"""Decide whether to replace a primary, and by which target."""

import dataclasses
import enum
import typing as t

from rosemaryridge.core._group import Group
from rosemaryridge.core._holders import last_leaders
from rosemaryridge.core._holders import more_advanced
from rosemaryridge.core._holders import reason_to_await_holders
from rosemaryridge.core._overload import MIN_PROMOTION_LAG_S
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._target import Target
from rosemaryridge.core.store import Claim


class Reason(enum.Enum):
    """List the reasons to replace a primary."""

    DRAINING = "leaving"
    REFUSED = "nothing listens"
    UNRESPONSIVE = "silent"
    OVERLOADED = "overloaded while its replicas lag"
    NONE = "no primary"
    UNSETTLED = "leads under a claim for another target"


class OrderState(enum.Enum):
    """List what may still become of the order of the last claim."""

    # Carried out, refused, never sent, or too old to be carried out.
    ENDED = "ended"
    # Refused if it arrives after a newer order.
    VOIDED_BY_NEXT = "voided by the next"
    # May be carried out after newer orders.
    PENDING = "pending"


# Reasons that a fault of this proxy's network routes may cause as well.
AMBIGUOUS_REASONS = (Reason.UNRESPONSIVE, Reason.NONE)
# Reasons that leave time to replicate the commits that only the primary has.
PLANNED_REASONS = (Reason.DRAINING, Reason.OVERLOADED)


def reason_to_wait(
    before: t.Mapping[str, TargetCondition], after: t.Mapping[str, TargetCondition]
) -> str:
    """Return why an unresponsive primary must not be replaced yet, "" if it may be.

    A target that is the primary, or a replica that still receives commits, shows that
    some primary works; if no replica answers, this proxy may be cut off.
    """
    if not after:
        return "no replica answers this proxy either"
    for name, condition in after.items():
        if condition.primary:
            return f"{name} is the primary of term {condition.term}"
        earlier = before.get(name)
        if earlier is not None and condition.received > earlier.received:
            return f"{name} still receives commits"
    return ""


def all_lag(conditions: t.Mapping[str, TargetCondition]) -> bool:
    """Return whether every target lags by `MIN_PROMOTION_LAG_S` or more."""
    return all(cond.lag_s >= MIN_PROMOTION_LAG_S for cond in conditions.values())


def reason_to_replace(group: Group, now: float) -> Reason | None:
    """Return why a group needs another primary, None if this proxy sees no reason."""
    primary = group.primary_target
    if primary is None:
        return Reason.NONE
    if primary.refused_at is not None:
        return Reason.REFUSED
    if primary.draining:
        return Reason.DRAINING
    if primary.unresponsive_since is not None:
        return Reason.UNRESPONSIVE
    if group.has_unsettled_claim():
        return Reason.UNSETTLED
    return Reason.OVERLOADED if group.is_primary_overloaded(now) else None


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionDecision:
    """Hold the target to promote, or the reason why there is none.

    `primary` is a target that probably is the primary already; `leads` is whether it
    says so itself.
    """

    target: Target | None = None
    why: str = ""
    primary: Target | None = None
    leads: bool = False


def choose_successor(
    group: Group,
    claim: Claim,
    conditions: t.Mapping[str, TargetCondition],
    accept_partial: bool = False,
    last_order: OrderState = OrderState.PENDING,
) -> PromotionDecision:
    """Choose the target to promote.

    Guards against a proxy whose view is outdated or partial. All targets but one must
    have reported their conditions, unless `accept_partial` is set after a wait; with
    synchronous replicas that one must be the former primary, and a draining target that
    has received most is chosen. The target of an order that may still be carried out
    goes before one that has received more, as it would depose that one, unless an order
    for another voids it. Without synchronous replicas a deposed primary whose
    log was left behind by a promotion is never chosen, or commits of the current log
    would be rolled back.
    """
    newest_term = max((cond.term for cond in conditions.values()), default=0)
    for name, condition in conditions.items():
        # A deposed primary that goes on reports a lower term than the targets that
        # follow its successor.
        leads = condition.primary and condition.term == newest_term
        if leads and name in group.targets:
            return PromotionDecision(
                why=f"{name} is the primary already",
                primary=group.targets[name],
                leads=True,
            )
    promoted = group.targets.get(claim.target)
    if promoted is not None and _was_promoted(group, claim, promoted, conditions):
        return PromotionDecision(
            why=f"{promoted.id} has been promoted already", primary=promoted
        )
    why = "" if accept_partial else _reason_to_await(group, claim, conditions)
    if why:
        return PromotionDecision(why=why)
    if newest_term > claim.term:
        last_order = OrderState.ENDED
    # The target of the claim tells that it was not promoted.
    was_not_done = (
        last_order is OrderState.ENDED
        and claim.target in conditions
        and newest_term <= claim.term
    )
    # A former primary of synchronous replicas has all that it acknowledged; what was
    # acknowledged since is on a replica with a newer term.
    keeps_deposed = was_not_done or group.sync_replicas > 0
    current = {
        name: cond
        for name, cond in conditions.items()
        if keeps_deposed or not _is_left_behind(name, claim, conditions)
    }
    eligible = [
        tgt
        for tgt in group.targets.values()
        if _is_eligible(tgt, group, current) and not current[tgt.id].primary
    ]
    target = max(
        eligible,
        key=lambda tgt: (
            conditions[tgt.id].received,
            not tgt.draining,
            tgt is promoted and last_order is not OrderState.ENDED,
            tgt.id,
        ),
        default=None,
    )
    if target is None:
        return PromotionDecision(why="no replica is eligible for promotion")
    if last_order is OrderState.PENDING and promoted in eligible:
        has_less = conditions[promoted.id].received < conditions[target.id].received
        if not has_less or not group.sync_replicas:
            return PromotionDecision(promoted)
        return PromotionDecision(
            why=f"{target.id} received more than {promoted.id}, whose promotion may "
            "still take place"
        )
    if group.sync_replicas and not accept_partial:
        ahead = more_advanced(conditions[target.id], current)
        if ahead:
            return PromotionDecision(
                why=f"{', '.join(ahead)} received more and cannot be promoted"
            )
    return PromotionDecision(target)


def _reason_to_await(
    group: Group, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> str:
    """Return why more targets must report their conditions, "" if none must."""
    if group.sync_replicas:
        return reason_to_await_holders(group, claim, conditions)
    if len(conditions) >= len(group.targets) - 1:
        return ""
    answered = f"{len(conditions)} of {len(group.targets)}"
    return f"only {answered} targets reported their condition"


def _was_promoted(
    group: Group,
    claim: Claim,
    promoted: Target,
    conditions: t.Mapping[str, TargetCondition],
) -> bool:
    newest_term = max((cond.term for cond in conditions.values()), default=0)
    is_unusable = promoted.draining or promoted.unresponsive_since is not None
    return promoted.id != group.primary and newest_term > claim.term and not is_unusable


def _is_eligible(
    target: Target, group: Group, conditions: t.Mapping[str, TargetCondition]
) -> bool:
    if target.id not in conditions or target.removed_at is not None:
        return False
    # A draining target may be the only one that has received the last commits.
    may_lead = not target.draining or group.sync_replicas > 0
    return target.id != group.primary and may_lead


def choose_most_advanced(
    group: Group, successor: Target, conditions: t.Mapping[str, TargetCondition]
) -> Target:
    """Return the target that has received most once a primary has stepped down.

    The chosen successor goes before others that have received as much. What the primary
    acknowledged last may be on one replica only.
    """
    candidates = [
        tgt
        for tgt in group.targets.values()
        if _is_eligible(tgt, group, conditions) and not conditions[tgt.id].primary
    ]
    return max(
        candidates,
        key=lambda tgt: (
            conditions[tgt.id].received,
            not tgt.draining,
            tgt is successor,
        ),
        default=successor,
    )


def nobody_leads(group: Group, conditions: t.Mapping[str, TargetCondition]) -> bool:
    """Return whether every target of a group answered that it does not lead."""
    return conditions.keys() >= group.targets.keys() and not any(
        cond.primary for cond in conditions.values()
    )


def leader_has_denied(
    group: Group, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> bool:
    """Return whether the target that led last is shown not to lead any more.

    Other proxies may hold leases on a primary that this one's list lacks, as its entry
    has gone.
    """
    if not nobody_leads(group, conditions):
        return False
    leaders = last_leaders(group, claim, conditions)
    return bool(leaders) and leaders <= conditions.keys()


def _is_left_behind(
    name: str, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> bool:
    """Return whether a target is the deposed primary and lacks the newer term."""
    return name == claim.deposed and conditions[name].received.term <= claim.term
