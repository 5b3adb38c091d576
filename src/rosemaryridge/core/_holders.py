"""Decide which targets may alone hold acknowledged commits.

A service with synchronous replicas acknowledges a commit once one of them has received
it. If the primary is lost, that replica may be any of the others.
"""

import typing as t

from rosemaryridge.core._group import Group
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core.store import Claim


def last_leaders(
    group: Group, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> set[str]:
    """Return the targets one of which led last by the claims, none if unknown.

    Without a claim, the first primary leads.
    """
    newest_term = max((cond.term for cond in conditions.values()), default=0)
    if claim.fence == 0:
        return {group.last_primary}
    if newest_term <= claim.term:
        # The order of the claim may have been lost.
        return {claim.target, claim.deposed}
    return {claim.target} if newest_term == claim.term + 1 else set()


def reason_to_await_holders(
    group: Group, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> str:
    """Return why a replica that has not answered must be awaited, "" if none must.

    The former primary need not answer: what it acknowledged, a replica has received.
    """
    known = group.targets.keys() | group.departed
    leaders = last_leaders(group, claim, conditions) | {
        group.primary or group.last_primary
    }
    if not leaders & known:
        return "the former primary is not listed, and other targets may not be either"
    silent = known - conditions.keys()
    if len(silent) <= 1 and silent <= leaders:
        return ""
    names = ", ".join(sorted(silent - {group.primary}))
    return f"{names} may hold acknowledged commits and does not answer"


def silent_replicas(
    group: Group, primary: str, conditions: t.Mapping[str, TargetCondition]
) -> set[str]:
    """Return the targets that may alone hold what a primary acknowledged."""
    return (group.targets.keys() | group.departed) - conditions.keys() - {primary}


def more_advanced(
    received: TargetCondition, conditions: t.Mapping[str, TargetCondition]
) -> list[str]:
    """Return the replicas that have received more than another one."""
    return [
        name
        for name, cond in conditions.items()
        if cond.received > received.received and not cond.primary
    ]
