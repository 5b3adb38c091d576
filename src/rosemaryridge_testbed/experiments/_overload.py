"""Measure retry amplification and goodput under overload."""

import random

from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.pool import RetryBudget
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._proxies import RequestStats
from rosemaryridge_testbed.experiments._proxies import SimProxy
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._sim import Arrivals
from rosemaryridge_testbed.experiments._sim import SimTarget
from rosemaryridge_testbed.experiments._sim import TargetBehaviour

_PROXIES = 18
_LIMIT = 2
_DEADLINE_S = 0.3
_RUN_S = 10.0
_MAX_ATTEMPTS = 3
_BACKOFF_S = 0.05
_BUSINESS = BusinessConfig("claims", 1.0)
_SERVICE = ServiceConfig("exchange", 1, "exchange", (), businesses=(_BUSINESS,))


class _Fleet:
    def __init__(self, seed: int, behaviour: TargetBehaviour):
        self.timer = ManualTimer()
        self.rng = random.Random(seed)
        self.behaviour = behaviour
        target = SimTarget(self.timer, self.rng, behaviour)
        self.proxies = [
            SimProxy(self.timer, self.rng, target, _LIMIT, [_BUSINESS])
            for _ in range(_PROXIES)
        ]
        self.budgets = [RetryBudget() for _ in self.proxies]
        for budget in self.budgets:
            budget.adopt(_SERVICE)
        self.result = RequestStats()

    def run(self, load: float) -> RequestStats:
        capacity = self.behaviour.slots / self.behaviour.service_s
        Arrivals(self.timer, self.rng, load * capacity, self._send_request)
        self.timer.advance(_RUN_S)
        return self.result

    def _send_request(self) -> None:
        self.result.requests += 1
        proxy_index = self.rng.randrange(_PROXIES)
        self._attempt(proxy_index, self.timer.now() + _DEADLINE_S, 1)

    def _attempt(self, proxy_index: int, deadline: float, attempt: int) -> None:
        self.result.attempts += 1

        def on_end(outcome: str) -> None:
            if outcome == "done" and self.timer.now() <= deadline:
                self.result.done += 1
                self.budgets[proxy_index].on_success(_BUSINESS.name)
            elif outcome == "failed":
                self._retry(proxy_index, deadline, attempt)
            else:
                self.result.refused += 1

        proxy = self.proxies[proxy_index]
        proxy.request(_BUSINESS.name, Priority.NORMAL, deadline, on_end)

    def _retry(self, proxy_index: int, deadline: float, attempt: int) -> None:
        exhausted = attempt >= _MAX_ATTEMPTS
        if exhausted or not self.budgets[proxy_index].try_consume(_BUSINESS.name):
            self.result.failed += 1
            return
        wait_s = self.rng.uniform(0.0, _BACKOFF_S * 2**attempt)
        if self.timer.now() + wait_s >= deadline:
            self.result.failed += 1
            return
        self.timer.after(
            wait_s, lambda: self._attempt(proxy_index, deadline, attempt + 1)
        )


def amplification(seed: int, refusal: float, load: float) -> Row:
    """Return attempts per request when a target refuses a share of them."""
    result = _Fleet(seed, TargetBehaviour(refusal=refusal)).run(load)
    return {
        "refused by target": refusal,
        "load": load,
        "attempts/requests": round(result.attempts / result.requests, 4),
        "done": round(result.done / result.requests, 4),
    }


def goodput(seed: int, load: float) -> float:
    """Return the requests a second that finished before their deadline."""
    return _Fleet(seed, TargetBehaviour()).run(load).done / _RUN_S


@experiment("retries")
def run_retries(seed: int) -> list[Row]:
    """Measure amplification at several refusal rates."""
    rates = (0.0, 0.1, 0.5, 0.9)
    return [
        amplification(seed, refusal, load) for refusal in rates for load in (0.5, 2)
    ]


@experiment("goodput")
def run_goodput(seed: int) -> list[Row]:
    """Measure goodput from half to five times the capacity."""
    loads = (0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0)
    done = {load: goodput(seed, load) for load in loads}
    peak = max(done.values())
    return [
        {"load": load, "done/s": round(rate, 1), "of peak": round(rate / peak, 3)}
        for load, rate in done.items()
    ]
