"""Choose the target of a read."""

import dataclasses
import random
import typing as t

from rosemaryridge.core._target import Target
from rosemaryridge.model import Position

# A read by the primary takes a slot that only the primary can give to writes.
_PRIMARY_PENALTY_S = 0.02
# Bytes between regions cost more than a little waiting.
_REMOTE_PENALTY_S = 0.015
# A replica that may lack the position costs a round trip on top.
_LAGGING_PENALTY_S = 0.25
_SILENT_PENALTY_S = 1.0
_FULL_PENALTY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNeed:
    """Say what a read's target must hold; `age_s` is that of the position."""

    position: Position
    age_s: float


def choose_for_read(
    targets: t.Sequence[Target],
    primary: str | None,
    need: ReadNeed,
    failure_domain: str,
    tried: t.Collection[str],
    now: float,
    rng: random.Random,
) -> Target | None:
    """Return the target that should answer first, under mixed load and lag.

    A replica that lacked such a position a moment ago is left out: beside an
    overloaded primary, reads would otherwise go round among replicas that lag.
    """
    best: Target | None = None
    best_cost = float("inf")
    for target in targets:
        if target.id in tried or target.leaving and target.id != primary:
            continue
        if target.id != primary and _is_pointless(target, need, now):
            continue
        cost = _cost(target, primary, need, failure_domain, now)
        cost *= 1.0 + 0.1 * rng.random()
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _is_pointless(target: Target, need: ReadNeed, now: float) -> bool:
    return target.lags(need.position, need.age_s) and now < target.lag_probe_at


def _cost(
    target: Target,
    primary: str | None,
    need: ReadNeed,
    failure_domain: str,
    now: float,
) -> float:
    cost = target.expected_latency_s(now)
    if target.id == primary:
        cost += _PRIMARY_PENALTY_S
    elif target.lags(need.position, need.age_s):
        cost += _LAGGING_PENALTY_S
    if target.info.failure_domain != failure_domain:
        cost += _REMOTE_PENALTY_S
    if target.silent_since is not None:
        cost += _SILENT_PENALTY_S
    if target.pool.free == 0:
        cost += _FULL_PENALTY_S
    return cost
