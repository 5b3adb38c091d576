"""Share a target's slot time among businesses and proxies."""

import typing as t

Demands = t.Mapping[tuple[str, str], float]

# Requests hold a slot for their time on the network as well.
_GREEDY_MARGIN = 1.3
_CONTENDED_SHARE = 0.35
_LEAST_SHARE = 0.05
_LEAST_RATE = 0.02


def allocate(
    slots: int, shares: t.Mapping[str, float], demands: Demands
) -> dict[tuple[str, str], float]:
    """Return rates for the (VM, business) pairs that must be limited.

    Nothing is limited while one business alone has demand. Otherwise businesses
    within their share are left alone, and the others get what is left of a part
    of the slots, so that a slot is free more often than not.
    """
    totals: dict[str, float] = {}
    for (_, business), demand in demands.items():
        totals[business] = totals.get(business, 0.0) + demand
    active = {name: total for name, total in totals.items() if total > 0.0}
    if len(active) < 2:
        return {}
    weight = sum(shares.get(name, 1.0) for name in active)
    entitled = {n: slots * shares.get(n, 1.0) / max(weight, 1e-9) for n in active}
    greedy = {name for name in active if active[name] > _GREEDY_MARGIN * entitled[name]}
    modest = sum(total for name, total in active.items() if name not in greedy)
    left = max(_LEAST_SHARE * slots, slots * _CONTENDED_SHARE - modest)
    return _split(left, greedy, shares, demands, active)


def _split(
    left: float,
    greedy: t.Collection[str],
    shares: t.Mapping[str, float],
    demands: Demands,
    totals: t.Mapping[str, float],
) -> dict[tuple[str, str], float]:
    weight = sum(shares.get(name, 1.0) for name in greedy)
    rates = {}
    for (vm, business), demand in demands.items():
        if business in greedy:
            part = left * shares.get(business, 1.0) / max(weight, 1e-9)
            rate = part * demand / totals[business]
            rates[vm, business] = max(_LEAST_RATE, rate)
    return rates
