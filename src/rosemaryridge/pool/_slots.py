"""Share one target's slots at this proxy among businesses."""

import dataclasses
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.config import BusinessConfig
from rosemaryridge.pool._budget import SlotBudget
from rosemaryridge.pool._queue import BusinessQueue
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._queue import WaiterId

_MIN_RETRY_AFTER_S = 0.05
_HOLD_EWMA_WEIGHT = 0.1
_HOLD_SAFETY_FACTOR = 1.25
_INITIAL_HOLD_S = 0.005
_PEAK_DECAY = 0.7
# `min_hold_s` follows a shorter hold time at once and a longer one slowly.
_MIN_HOLD_RISE_WEIGHT = 0.002
_DEFAULT_BUSINESS = BusinessConfig("")


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Report that a waiting request was granted a slot."""

    waiter: WaiterId


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that a request was refused.

    The client may retry after `retry_after_s` seconds.
    """

    waiter: WaiterId
    code: Code
    retry_after_s: float


Effect = Granted | Refused


@dataclasses.dataclass(slots=True)
class _BusinessState:
    cfg: BusinessConfig
    queue: BusinessQueue
    busy: int = 0
    active_at: float = float("-inf")
    budget: SlotBudget = dataclasses.field(default_factory=SlotBudget)
    arrivals: int = 0


class SlotTable:
    """Grant a target's slots at this proxy to requests; queue or refuse the others.

    The guaranteed slots of a business that was active within the last `active_s`
    seconds are reserved for it. The other slots go to waiting requests, those of
    the business with the fewest busy slots per share first. Methods return the
    requests that were granted or refused, for the pool to complete.
    """

    def __init__(self, limit: int, active_s: float, rng: random.Random):
        self.limit = limit
        self.busy = 0
        self.peak = 0
        self.mean_hold_s = _INITIAL_HOLD_S
        self.min_hold_s = _INITIAL_HOLD_S
        self._active_s = active_s
        self._rng = rng
        self._businesses: dict[str, _BusinessState] = {}

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(business.queue) for business in self._businesses.values())

    @property
    def has_limited_business(self) -> bool:
        """Return whether the slot time of any business is limited."""
        return any(
            business.budget.rate is not None for business in self._businesses.values()
        )

    def configure(self, businesses: t.Iterable[BusinessConfig]) -> None:
        """Apply the shares and queue limits of the businesses."""
        for cfg in businesses:
            business = self._business(cfg.name)
            business.cfg = cfg
            business.queue.limit = cfg.queue_limit

    def resize(self, limit: int, now: float) -> list[Effect]:
        """Change the number of slots; slots in use are not revoked."""
        self.limit = limit
        return self._grant_waiting(now)

    def request_slot(self, entry: Entry, now: float) -> list[Effect]:
        """Grant a slot, queue the request, or refuse it or a less urgent request."""
        business = self._business(entry.business)
        business.active_at = now
        business.arrivals += 1
        if not business.queue and self._may_grant(business, now):
            self._occupy(business)
            self.peak = max(self.peak, self.busy + self.waiting)
            return [Granted(entry.waiter)]
        if self._misses_deadline(
            entry, now + self._estimated_wait_s(business, entry, now)
        ):
            return [self._refuse(entry, codes.limits.DEADLINE_IN_QUEUE)]
        effects = self._shed_if_full(business, entry)
        if not any(effect.waiter == entry.waiter for effect in effects):
            business.queue.push(entry)
        effects += self._grant_waiting(now)
        self.peak = max(self.peak, self.busy + self.waiting)
        return effects

    def release_slot(
        self, business: str, hold_s: float | None, now: float
    ) -> list[Effect]:
        """Free a slot after `hold_s` seconds of use; None if it was not used."""
        state = self._business(business)
        state.busy -= 1
        self.busy -= 1
        state.budget.spend((hold_s or 0.0) - self.mean_hold_s)
        if hold_s is not None:
            self.mean_hold_s += _HOLD_EWMA_WEIGHT * (hold_s - self.mean_hold_s)
            weight = 1.0 if hold_s < self.min_hold_s else _MIN_HOLD_RISE_WEIGHT
            self.min_hold_s += weight * (hold_s - self.min_hold_s)
        return self._grant_waiting(now)

    def grant_waiting(self, now: float) -> list[Effect]:
        """Grant slots to waiting requests whose budget allows it by now."""
        return self._grant_waiting(now)

    def next_grant_in_s(self, now: float) -> float | None:
        """Return the seconds until a budget allows a grant; None if none delays any."""
        if self.busy >= self.limit:
            return None
        waiting = (state for state in self._businesses.values() if state.queue)
        waits = [state.budget.wait_s(now) for state in waiting]
        return min((wait_s for wait_s in waits if wait_s > 0.0), default=None)

    def limit_business(self, name: str, rate: float | None, now: float) -> None:
        """Limit a business to `rate` slots on average; None removes the limit."""
        self._business(name).budget.set_rate(rate, now)

    def collect_demand(self, period_s: float) -> dict[str, float]:
        """Return the slots each business demanded in a period and reset the counts.

        Each request counts with the minimum hold time, so that an overloaded target
        does not inflate the demand of a business.
        """
        demand = {}
        for name, business in self._businesses.items():
            demand[name] = business.arrivals * self.min_hold_s / period_s
            business.arrivals = 0
        return demand

    def expire(self, entry: Entry) -> list[Effect]:
        """Refuse a request whose deadline has passed, if it still waits."""
        if self._business(entry.business).queue.remove(entry.waiter) is None:
            return []
        return [self._refuse(entry, codes.limits.DEADLINE_IN_QUEUE)]

    def withdraw(self, entry: Entry) -> bool:
        """Remove a request from its queue; return whether it still waited."""
        return self._business(entry.business).queue.remove(entry.waiter) is not None

    def remove_all_waiting(self) -> list[Entry]:
        """Remove and return every waiting request."""
        removed = []
        for business in self._businesses.values():
            while (entry := business.queue.pop()) is not None:
                removed.append(entry)
        return removed

    def retry_after_s(self) -> float:
        """Return the delay before a refused request is retried, with jitter."""
        drain_s = self.waiting * self.mean_hold_s / max(1, self.limit)
        return max(_MIN_RETRY_AFTER_S, drain_s) * (1.0 + 0.5 * self._rng.random())

    def collect_peak(self) -> int:
        """Return the peak of busy slots plus waiting requests, then decay it.

        It becomes the start of the next peak, multiplied by `_PEAK_DECAY`.
        """
        peak = max(self.peak, self.busy + self.waiting)
        self.peak = int(peak * _PEAK_DECAY)
        return peak

    def guaranteed(self, name: str) -> int:
        """Return the number of slots that are guaranteed to a business here."""
        business = self._business(name)
        total = sum(other.cfg.share for other in self._businesses.values())
        share = business.cfg.share / max(1.0, total)
        minimum = 1 if self.limit >= len(self._businesses) else 0
        return max(minimum, int(self.limit * share))

    def _business(self, name: str) -> _BusinessState:
        business = self._businesses.get(name)
        if business is None:
            cfg = dataclasses.replace(_DEFAULT_BUSINESS, name=name)
            business = _BusinessState(cfg, BusinessQueue(cfg.queue_limit))
            self._businesses[name] = business
        return business

    def _may_grant(self, business: _BusinessState, now: float) -> bool:
        free = self.limit - self.busy
        if free <= 0 or not business.budget.has_tokens(now):
            return False
        if business.busy < self.guaranteed(business.cfg.name):
            return True
        return free > self._reserved_for_others(business, now)

    def _reserved_for_others(self, business: _BusinessState, now: float) -> int:
        return sum(
            max(0, self.guaranteed(name) - other.busy)
            for name, other in self._businesses.items()
            if other is not business
            and now - other.active_at < self._active_s
            and other.budget.has_tokens(now)
        )

    def _occupy(self, business: _BusinessState) -> None:
        business.busy += 1
        business.budget.spend(self.mean_hold_s)
        self.busy += 1

    def _grant_waiting(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while (business := self._next_business(now)) is not None:
            entry = business.queue.pop()
            if self._misses_deadline(entry, now):
                effects.append(self._refuse(entry, codes.limits.DEADLINE_IN_QUEUE))
                continue
            self._occupy(business)
            effects.append(Granted(entry.waiter))
        return effects

    def _next_business(self, now: float) -> _BusinessState | None:
        waiting = [
            business
            for business in self._businesses.values()
            if business.queue and self._may_grant(business, now)
        ]
        return min(
            waiting,
            key=lambda business: business.busy / max(0.01, business.cfg.share),
            default=None,
        )

    def _shed_if_full(self, business: _BusinessState, entry: Entry) -> list[Effect]:
        if len(business.queue) < business.queue.limit:
            return []
        victim = business.queue.least_urgent()
        if victim is None or victim.priority <= entry.priority:
            return [self._refuse(entry, codes.limits.QUEUE_FULL)]
        business.queue.remove(victim.waiter)
        return [self._refuse(victim, codes.limits.SHED)]

    def _estimated_wait_s(
        self, business: _BusinessState, entry: Entry, now: float
    ) -> float:
        shared = self.limit - self._reserved_for_others(business, now)
        slots = max(1.0, self.guaranteed(business.cfg.name), shared)
        if business.budget.rate is not None:
            slots = min(slots, max(1e-3, business.budget.rate))
        return business.queue.ahead_of(entry.priority) * self.mean_hold_s / slots

    def _misses_deadline(self, entry: Entry, start: float) -> bool:
        return start + _HOLD_SAFETY_FACTOR * self.mean_hold_s >= entry.deadline

    def _refuse(self, entry: Entry, code: Code) -> Refused:
        return Refused(entry.waiter, code, self.retry_after_s())
