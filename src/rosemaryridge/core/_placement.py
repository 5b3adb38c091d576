"""Choose the target of a read by expected latency and penalties."""

import dataclasses
import random
import typing as t

from rosemaryridge.core._target import Target
from rosemaryridge.core.zones import Distance
from rosemaryridge.core.zones import Spill
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import Position

# A read on the primary occupies a slot, and only the primary's slots serve writes.
_PRIMARY_PENALTY_S = 0.02
# Traffic between regions costs more than a short wait.
_REMOTE_PENALTY_S = 0.015
# A replica that may lack the position may cost an extra round trip.
_LAGGING_PENALTY_S = 0.25
_UNRESPONSIVE_PENALTY_S = 1.0
_FULL_PENALTY_S = 0.5
# What it is worth to stay near, in time: traffic within a region is a quarter as dear
# as traffic between regions.
_STAY_WORTH_S = {
    Distance.SAME_DOMAIN: 0.0,
    Distance.SAME_REGION: 0.004,
    Distance.OTHER_REGION: _REMOTE_PENALTY_S,
}


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
        if target.id in tried or _is_leaving(target, primary, now):
            continue
        if target.id != primary and _is_known_to_lag(target, requirement, now):
            continue
        cost = _cost(target, primary, requirement, failure_domain, now)
        cost *= 1.0 + 0.1 * rng.random()
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def choose_near_or_far(
    targets: t.Sequence[Target],
    primary: str | None,
    requirement: ReadRequirement,
    surroundings: Surroundings,
    spill: Spill,
    tried: t.Collection[str],
    now: float,
    rng: random.Random,
) -> Target | None:
    """Return a target among the nearest, or elsewhere for the share of reads that pays.

    Targets that lag, are full or do not respond are avoided as by `choose_for_read`.
    None if no target is left.
    """
    costs: dict[Distance, list[tuple[float, Target]]] = {}
    for target in targets:
        if target.id in tried or _is_leaving(target, primary, now):
            continue
        if target.id != primary and _is_known_to_lag(target, requirement, now):
            continue
        distance = surroundings.distance_to(target.info.failure_domain)
        cost = _STAY_WORTH_S[distance]
        cost += _local_cost(target, primary, requirement, now)
        cost *= 1.0 + 0.1 * rng.random()
        costs.setdefault(distance, []).append((cost, target))
    if not costs:
        return None
    near = min(costs.pop(min(costs)), key=_by_cost)
    far = [entry for entries in costs.values() for entry in entries]
    if not far:
        return near[1]
    nearest_far = min(far, key=_by_cost)
    if any(_is_avoided(tgt, primary, requirement) for _, tgt in (near, nearest_far)):
        return min(near, nearest_far, key=_by_cost)[1]
    if rng.random() >= spill.update(near[0], nearest_far[0], now):
        return near[1]
    # The others share by their room: the faster one answers, the more it gets.
    usable = [entry for entry in far if not _is_avoided(entry[1], primary, requirement)]
    weights = [1.0 / cost for cost, _ in usable]
    return rng.choices(usable, weights)[0][1]


def _is_avoided(
    target: Target, primary: str | None, requirement: ReadRequirement
) -> bool:
    """Return whether a target cannot be expected to answer soon."""
    return (
        target.unresponsive_since is not None
        or target.pool.free == 0
        or target.id != primary
        and target.probably_lacks(requirement.position, requirement.age_s)
    )


def _by_cost(entry: tuple[float, Target]) -> float:
    return entry[0]


def _is_leaving(target: Target, primary: str | None, now: float) -> bool:
    """Return whether a target gets no new work; a primary does while it may."""
    return not target.takes_work(now) or target.draining and target.id != primary


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
    cost = _local_cost(target, primary, requirement, now)
    if target.info.failure_domain != failure_domain:
        cost += _REMOTE_PENALTY_S
    return cost


def _local_cost(
    target: Target, primary: str | None, requirement: ReadRequirement, now: float
) -> float:
    """Return the cost regardless of where the target is."""
    cost = target.expected_latency_s(now)
    if target.id == primary:
        cost += _PRIMARY_PENALTY_S
    elif target.probably_lacks(requirement.position, requirement.age_s):
        cost += _LAGGING_PENALTY_S
    if target.unresponsive_since is not None:
        cost += _UNRESPONSIVE_PENALTY_S
    if target.pool.free == 0:
        cost += _FULL_PENALTY_S
    return cost
