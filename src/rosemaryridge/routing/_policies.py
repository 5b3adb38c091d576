"""Register policies that select among eligible targets."""

import random
import typing as t

from rosemaryridge.routing._health import TargetHealth

Candidates = t.Sequence[tuple[str, TargetHealth]]
Policy = t.Callable[[Candidates, random.Random, float], str]

_POLICIES: dict[str, Policy] = {}


def policy(name: str) -> t.Callable[[Policy], Policy]:
    """Register a policy by name; raise ValueError if the name is taken."""

    def register(function: Policy) -> Policy:
        if name in _POLICIES:
            raise ValueError(
                f"routing policy {name!r} is already registered; use another name"
            )
        _POLICIES[name] = function
        return function

    return register


def find_policy(name: str) -> Policy:
    """Return a policy by name; raise KeyError if the name is unknown."""
    return _POLICIES[name]


def policy_names() -> tuple[str, ...]:
    """Return the sorted names of all policies."""
    return tuple(sorted(_POLICIES))


@policy("power_of_two")
def _power_of_two(candidates: Candidates, rng: random.Random, now: float) -> str:
    pair = candidates if len(candidates) < 3 else rng.sample(candidates, 2)
    first = pair[0]
    second = pair[-1]
    cost, other_cost = first[1].cost(now), second[1].cost(now)
    if cost == other_cost:
        return rng.choice((first, second))[0]
    return first[0] if cost < other_cost else second[0]


@policy("least_outstanding")
def _least_outstanding(candidates: Candidates, rng: random.Random, now: float) -> str:
    fewest = min(health.outstanding for _, health in candidates)
    return rng.choice(
        [name for name, health in candidates if health.outstanding == fewest]
    )


@policy("round_robin")
def _round_robin(candidates: Candidates, rng: random.Random, now: float) -> str:
    return min(candidates, key=lambda pair: pair[1].samples + pair[1].outstanding)[0]


@policy("weighted_random")
def _weighted_random(candidates: Candidates, rng: random.Random, now: float) -> str:
    weights = [1.0 / health.cost(now) for _, health in candidates]
    return rng.choices([name for name, _ in candidates], weights)[0]
