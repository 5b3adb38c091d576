"""Choose the target of a read by expected latency and penalties."""

import dataclasses
import random
import typing as t

from rosemaryridge.core._target import Target
from rosemaryridge.model import Position

# A read on the primary occupies a slot, and only the primary's slots serve writes.
_PRIMARY_PENALTY_S = 0.02
# Traffic between regions costs more than a short wait.
_REMOTE_PENALTY_S = 0.015
# A replica that may lack the position may cost an extra round trip.
_LAGGING_PENALTY_S = 0.25
_UNRESPONSIVE_PENALTY_S = 1.0
_FULL_PENALTY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequirement:
    """State the position that a read requires, and that position's age in seconds."""

    position: Position
    age_s: float


def choose_for_read(
    targets: t.Sequence[Target],
    primary: str | None,
    requirement: ReadRequirement,
    failure_domain: str,
    tried: t.Collection[str],
    now: float,
    rng: random.Random,
) -> Target | None:
    """Return the target with the lowest expected cost, None if no target is left.

    The choice holds under mixed load and replication lag.
    A replica that recently lacked a position of this age is skipped until its next
    probe: with an overloaded primary, reads would otherwise cycle among lagging
    replicas.
    """
    best: Target | None = None
    best_cost = float("inf")
    for target in targets:
        if target.id in tried or target.draining and target.id != primary:
            continue
        if target.id != primary and _is_known_to_lag(target, requirement, now):
            continue
        cost = _cost(target, primary, requirement, failure_domain, now)
        cost *= 1.0 + 0.1 * rng.random()
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _is_known_to_lag(target: Target, requirement: ReadRequirement, now: float) -> bool:
    return (
        target.probably_lacks(requirement.position, requirement.age_s)
        and now < target.lag_probe_at
    )


def _cost(
    target: Target,
    primary: str | None,
    requirement: ReadRequirement,
    failure_domain: str,
    now: float,
) -> float:
    cost = target.expected_latency_s(now)
    if target.id == primary:
        cost += _PRIMARY_PENALTY_S
    elif target.probably_lacks(requirement.position, requirement.age_s):
        cost += _LAGGING_PENALTY_S
    if target.info.failure_domain != failure_domain:
        cost += _REMOTE_PENALTY_S
    if target.unresponsive_since is not None:
        cost += _UNRESPONSIVE_PENALTY_S
    if target.pool.free == 0:
        cost += _FULL_PENALTY_S
    return cost
