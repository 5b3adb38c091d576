"""Allocate a target's slot time to businesses and proxies."""

import typing as t

Demands = t.Mapping[tuple[str, str], float]

# Measured demand includes network time, so a business counts as over its share only
# above this factor.
_OVER_SHARE_FACTOR = 1.3
_CONTENDED_FRACTION = 0.35
_MIN_FRACTION = 0.05
_MIN_RATE = 0.02


def allocate(
    slots: int, shares: t.Mapping[str, float], demands: Demands
) -> dict[tuple[str, str], float]:
    """Return the average number of slots each limited (VM, business) pair may use.

    `demands` is in slots.
    Nothing is limited while only a single business has demand. Otherwise businesses
    within their share stay unlimited, and the others divide what remains of
    `_CONTENDED_FRACTION` of the slots, but at least `_MIN_FRACTION` of them. The
    fraction is below a half, so a slot is usually free.
    """
    totals: dict[str, float] = {}
    for (_, business), demand in demands.items():
        totals[business] = totals.get(business, 0.0) + demand
    active = {name: total for name, total in totals.items() if total > 0.0}
    if len(active) < 2:
        return {}
    weight = sum(shares.get(name, 1.0) for name in active)
    fair_slots = {
        name: slots * shares.get(name, 1.0) / max(weight, 1e-9) for name in active
    }
    over_share = {
        name for name in active if active[name] > _OVER_SHARE_FACTOR * fair_slots[name]
    }
    within_share_total = sum(
        total for name, total in active.items() if name not in over_share
    )
    available = max(
        _MIN_FRACTION * slots, slots * _CONTENDED_FRACTION - within_share_total
    )
    return _split_by_share(available, over_share, shares, demands, active)


def _split_by_share(
    available: float,
    over_share: t.Collection[str],
    shares: t.Mapping[str, float],
    demands: Demands,
    totals: t.Mapping[str, float],
) -> dict[tuple[str, str], float]:
    weight = sum(shares.get(name, 1.0) for name in over_share)
    rates = {}
    for (vm, business), demand in demands.items():
        if business in over_share:
            business_rate = available * shares.get(business, 1.0) / max(weight, 1e-9)
            rate = business_rate * demand / totals[business]
            rates[vm, business] = max(_MIN_RATE, rate)
    return rates
