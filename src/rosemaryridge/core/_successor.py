"""Decide whether a primary is to be replaced, and by which target."""

import dataclasses
import enum
import typing as t

from rosemaryridge.core._group import Group
from rosemaryridge.core._overload import RELIEF_LAG_S
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._target import Target


class Reason(enum.Enum):
    """Name why a primary is to be replaced."""

    LEAVING = "leaving"
    REFUSED = "nothing listens"
    SILENT = "silent"
    OVERLOADED = "overloaded while its replicas lag"
    NONE = "no primary"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Record in the store which proxy replaces the primary of which term.

    `deposed` is the primary that was replaced; what it alone holds is not part of
    the log any more.
    """

    fence: int
    holder: str
    term: int
    target: str
    deposed: str = ""

    @classmethod
    def decode(cls, spec: t.Any) -> "Claim":
        """Return a stored claim; one that cannot be read counts as none."""
        try:
            return cls(
                int(spec["fence"]),
                spec["holder"],
                int(spec["term"]),
                spec["target"],
                spec.get("deposed", ""),
            )
        except (KeyError, TypeError, ValueError):
            return NO_CLAIM


NO_CLAIM = Claim(0, "", -1, "")


# Evidence of one proxy that may be due to its own paths.
UNCERTAIN = (Reason.SILENT, Reason.NONE)
# Reasons that leave time to keep what the primary alone has.
PLANNED = (Reason.LEAVING, Reason.OVERLOADED)


def progress(
    before: t.Mapping[str, TargetCondition], after: t.Mapping[str, TargetCondition]
) -> str:
    """Return what shows that some primary works, nothing if nothing does."""
    if not after:
        return "no replica answers either"
    for name, condition in after.items():
        if condition.primary:
            return f"{name} leads term {condition.term}"
        earlier = before.get(name)
        if earlier is not None and condition.received > earlier.received:
            return f"{name} still receives"
    return ""


def all_lag(conditions: t.Mapping[str, TargetCondition]) -> bool:
    """Return whether no target will serve recent data for a while."""
    return all(one.lag_s >= RELIEF_LAG_S for one in conditions.values())


def reason_to_replace(group: Group, now: float) -> Reason | None:
    """Return why a group needs another primary, from this proxy's evidence."""
    lead = group.lead
    if lead is None:
        return Reason.NONE
    if lead.refused_at is not None:
        return Reason.REFUSED
    if lead.leaving:
        return Reason.LEAVING
    if lead.silent_since is not None:
        return Reason.SILENT
    return Reason.OVERLOADED if group.needs_replicas(now) else None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Name the next primary, or say why none is named.

    `leader` is a target that leads already, as it seems.
    """

    target: Target | None = None
    why: str = ""
    leader: Target | None = None


def choose_successor(
    group: Group,
    claim: Claim,
    conditions: t.Mapping[str, TargetCondition],
    alone: bool = False,
) -> Verdict:
    """Decide which target should lead next.

    It answers a primary that is lost, and proxies whose view is old or partial: all
    targets but one must have told their conditions, unless `alone` says that this
    has lasted, and no log that was left behind by a promotion may come back.
    """
    for name, condition in conditions.items():
        if condition.primary and name in group.targets:
            return Verdict(why=f"{name} leads", leader=group.targets[name])
    claimed = group.targets.get(claim.target)
    if claimed is not None and _leads_since(group, claim, claimed, conditions):
        return Verdict(why=f"{claimed.id} was promoted", leader=claimed)
    if not alone and len(conditions) < len(group.targets) - 1:
        answered = f"{len(conditions)} of {len(group.targets)}"
        return Verdict(why=f"only {answered} targets tell their condition")
    fit = [one for one in group.targets.values() if _is_fit(one, group, conditions)]
    fit = [one for one in fit if not _is_left_behind(one.id, claim, conditions)]
    target = max(
        fit, key=lambda one: (conditions[one.id].received, one.id), default=None
    )
    return Verdict(target, "" if target else "no replica can take over")


def _leads_since(
    group: Group,
    claim: Claim,
    claimed: Target,
    conditions: t.Mapping[str, TargetCondition],
) -> bool:
    newest = max((one.term for one in conditions.values()), default=0)
    lost = claimed.leaving or claimed.silent_since is not None
    return claimed.id != group.primary and newest > claim.term and not lost


def _is_fit(
    target: Target, group: Group, conditions: t.Mapping[str, TargetCondition]
) -> bool:
    present = target.id in conditions and target.removed_at is None
    return present and target.id != group.primary and not target.leaving


def _is_left_behind(
    name: str, claim: Claim, conditions: t.Mapping[str, TargetCondition]
) -> bool:
    """Return whether a deposed primary has received nothing of a newer term."""
    return name == claim.deposed and conditions[name].received.term <= claim.term
