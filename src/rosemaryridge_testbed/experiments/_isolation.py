"""Measure the effect of one business's overload on another on the same target."""

import random

from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import Priority
from rosemaryridge.pool._allocation import allocate
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._proxies import RequestStats
from rosemaryridge_testbed.experiments._proxies import SimProxy
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._sim import Arrivals
from rosemaryridge_testbed.experiments._sim import SimTarget
from rosemaryridge_testbed.experiments._sim import TargetBehaviour
from rosemaryridge_testbed.experiments._sim import percentile

_PROXIES = 18
_LIMIT = 2
_SLOTS = 3
_SERVICE_S = 0.005
_DEADLINE_S = 1.0
_PERIOD_S = 0.5
_WARMUP_S = 3.0
_RUN_S = 80.0
_FLOOD_LOAD = 3.0
_SHARES = {"victim": 0.5, "flood": 0.5}


class _Fleet:
    def __init__(self, seed: int):
        self.timer = ManualTimer()
        self.rng = random.Random(seed)
        target = SimTarget(self.timer, self.rng, TargetBehaviour(_SLOTS, _SERVICE_S))
        businesses = [BusinessConfig(name, share) for name, share in _SHARES.items()]
        self.proxies = [
            SimProxy(self.timer, self.rng, target, _LIMIT, businesses)
            for _ in range(_PROXIES)
        ]
        self.results = {name: RequestStats() for name in _SHARES}
        self.timer.every(_PERIOD_S, self._allocate)

    def run(self, loads: dict[str, float]) -> None:
        capacity = _SLOTS / _SERVICE_S
        for name, load in loads.items():
            rate = load * capacity
            Arrivals(
                self.timer, self.rng, rate, lambda name=name: self._send_request(name)
            )
        self.timer.advance(_RUN_S)

    def _send_request(self, business: str) -> None:
        result, sent_at = self.results[business], self.timer.now()
        result.requests += 1

        def on_end(outcome: str) -> None:
            result.done += outcome == "done"
            result.refused += outcome == "refused"
            if outcome == "done" and sent_at > _WARMUP_S:
                result.latencies_s.append(self.timer.now() - sent_at)

        proxy = self.rng.choice(self.proxies)
        proxy.request(business, Priority.NORMAL, sent_at + _DEADLINE_S, on_end)

    def _allocate(self) -> None:
        demands = {
            (str(index), name): slots
            for index, proxy in enumerate(self.proxies)
            for name, slots in proxy.slots.collect_demand(_PERIOD_S).items()
            if slots > 0.0
        }
        rates = allocate(_SLOTS, _SHARES, demands)
        for index, proxy in enumerate(self.proxies):
            for name in _SHARES:
                rate = rates.get((str(index), name))
                proxy.slots.limit_business(name, rate, self.timer.now())


def victim_ratio(seed: int, victim: float) -> Row:
    """Return the victim's figures alone and with a flood of three times capacity."""
    undisturbed, flooded = _Fleet(seed), _Fleet(seed)
    undisturbed.run({"victim": victim})
    flooded.run({"victim": victim, "flood": _FLOOD_LOAD})
    alone, flooded_stats = undisturbed.results["victim"], flooded.results["victim"]
    p99_s = percentile(alone.latencies_s, 0.99)
    flooded_s = percentile(flooded_stats.latencies_s, 0.99)
    return {
        "victim load": victim,
        "p99 alone ms": round(1000 * p99_s, 2),
        "p99 flooded ms": round(1000 * flooded_s, 2),
        "ratio": round(flooded_s / p99_s, 3),
        "done alone": round(alone.done / alone.requests, 4),
        "done flooded": round(flooded_stats.done / flooded_stats.requests, 4),
        "flood done/s": round(flooded.results["flood"].done / _RUN_S, 1),
    }


@experiment("isolation")
def run(seed: int) -> list[Row]:
    """Measure victims of different load."""
    return [victim_ratio(seed, load) for load in (0.1, 0.2, 0.3)]
