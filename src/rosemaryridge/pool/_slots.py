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
from rosemaryridge.pool._queue import Waiter

_MIN_RETRY_AFTER_S = 0.05
_HOLD_WEIGHT = 0.1
_HOLD_MARGIN = 1.25
_FIRST_HOLD_S = 0.005
_PEAK_KEPT = 0.7
_LEAST_HOLD_WEIGHT = 0.002
_DEFAULT = BusinessConfig("")


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Give a slot to a waiting request."""

    waiter: Waiter


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request; it may come back after `retry_after_s`."""

    waiter: Waiter
    code: Code
    retry_after_s: float


Effect = Granted | Refused


@dataclasses.dataclass(slots=True)
class _Business:
    cfg: BusinessConfig
    queue: BusinessQueue
    busy: int = 0
    active_at: float = float("-inf")
    budget: SlotBudget = dataclasses.field(default_factory=SlotBudget)
    arrivals: int = 0


class SlotTable:
    """Decide who may use a target's slots at this proxy, and who waits or is refused.

    A business that was active within `active_s` keeps its guaranteed slots free;
    slots beyond those go to whoever waits, the one furthest below its share first.
    """

    def __init__(self, limit: int, active_s: float, rng: random.Random):
        self.limit = limit
        self.busy = 0
        self.peak = 0
        self.hold_s = _FIRST_HOLD_S
        self.least_hold_s = _FIRST_HOLD_S
        self._active_s = active_s
        self._rng = rng
        self._businesses: dict[str, _Business] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(one.queue) for one in self._businesses.values())

    @property
    def limited(self) -> bool:
        """Return whether any business's slot time is limited."""
        return any(one.budget.rate is not None for one in self._businesses.values())

    def configure(self, businesses: t.Iterable[BusinessConfig]) -> None:
        """Take over the businesses' shares and queue limits."""
        for cfg in businesses:
            business = self._business(cfg.name)
            business.cfg = cfg
            business.queue.limit = cfg.queue_limit

    def resize(self, limit: int, now: float) -> list[Effect]:
        """Change the number of slots; slots in use are never taken away."""
        self.limit = limit
        return self._grant(now)

    def arrive(self, entry: Entry, now: float) -> list[Effect]:
        """Grant a slot, queue the request, or refuse it or a less urgent one."""
        business = self._business(entry.business)
        business.active_at = now
        business.arrivals += 1
        if not business.queue and self._may_take(business, now):
            self._take(business)
            self.peak = max(self.peak, self.busy + self.waiting)
            return [Granted(entry.waiter)]
        if self._is_late(entry, now + self._wait_s(business, entry, now)):
            return [self._refused(entry, codes.limits.DEADLINE_IN_QUEUE)]
        effects = self._make_room(business, entry)
        if not any(effect.waiter == entry.waiter for effect in effects):
            business.queue.push(entry)
        effects += self._grant(now)
        self.peak = max(self.peak, self.busy + self.waiting)
        return effects

    def leave(self, business: str, hold_s: float | None, now: float) -> list[Effect]:
        """Give a slot back after `hold_s` of use, None where it was not used."""
        used = self._business(business)
        used.busy -= 1
        self.busy -= 1
        used.budget.spend((hold_s or 0.0) - self.hold_s)
        if hold_s is not None:
            self.hold_s += _HOLD_WEIGHT * (hold_s - self.hold_s)
            weight = 1.0 if hold_s < self.least_hold_s else _LEAST_HOLD_WEIGHT
            self.least_hold_s += weight * (hold_s - self.least_hold_s)
        return self._grant(now)

    def poll(self, now: float) -> list[Effect]:
        """Grant what budgets have come to allow."""
        return self._grant(now)

    def poll_in_s(self, now: float) -> float | None:
        """Return when to poll, in seconds; None where no budget holds anyone back."""
        if self.busy >= self.limit:
            return None
        waiting = (one for one in self._businesses.values() if one.queue)
        waits = [one.budget.opens_in_s(now) for one in waiting]
        return min((wait_s for wait_s in waits if wait_s > 0.0), default=None)

    def limit_business(self, name: str, rate: float | None, now: float) -> None:
        """Limit the slot time of a business, None for no limit."""
        self._business(name).budget.limit(rate, now)

    def take_demand(self, period_s: float) -> dict[str, float]:
        """Return the slots that each business asked for in a period.

        A request counts with the least time that one holds a slot, so that a
        crowded target does not make a business look larger than it is.
        """
        found = {}
        for name, one in self._businesses.items():
            found[name] = one.arrivals * self.least_hold_s / period_s
            one.arrivals = 0
        return found

    def expire(self, entry: Entry) -> list[Effect]:
        """Refuse a request whose deadline has passed, where it still waits."""
        if self._business(entry.business).queue.remove(entry.waiter) is None:
            return []
        return [self._refused(entry, codes.limits.DEADLINE_IN_QUEUE)]

    def withdraw(self, entry: Entry) -> bool:
        """Forget a waiting request; return whether it still waited."""
        return self._business(entry.business).queue.remove(entry.waiter) is not None

    def drain(self) -> list[Entry]:
        """Take out every waiting request."""
        taken = []
        for business in self._businesses.values():
            while (entry := business.queue.pop()) is not None:
                taken.append(entry)
        return taken

    def retry_after_s(self) -> float:
        """Return when a refused request should come back, spread at random."""
        drain_s = self.waiting * self.hold_s / max(1, self.limit)
        return max(_MIN_RETRY_AFTER_S, drain_s) * (1.0 + 0.5 * self._rng.random())

    def take_peak(self) -> int:
        """Return the most that ran and waited at once, recent peaks fading."""
        peak = max(self.peak, self.busy + self.waiting)
        self.peak = int(peak * _PEAK_KEPT)
        return peak

    def guaranteed(self, name: str) -> int:
        """Return how many slots a business can always have here."""
        business = self._business(name)
        total = sum(one.cfg.share for one in self._businesses.values())
        share = business.cfg.share / max(1.0, total)
        floor = 1 if self.limit >= len(self._businesses) else 0
        return max(floor, int(self.limit * share))

    def _business(self, name: str) -> _Business:
        found = self._businesses.get(name)
        if found is None:
            cfg = dataclasses.replace(_DEFAULT, name=name)
            found = _Business(cfg, BusinessQueue(cfg.queue_limit))
            self._businesses[name] = found
        return found

    def _may_take(self, business: _Business, now: float) -> bool:
        free = self.limit - self.busy
        if free <= 0 or not business.budget.is_open(now):
            return False
        if business.busy < self.guaranteed(business.cfg.name):
            return True
        return free > self._kept_for_others(business, now)

    def _kept_for_others(self, business: _Business, now: float) -> int:
        return sum(
            max(0, self.guaranteed(name) - other.busy)
            for name, other in self._businesses.items()
            if other is not business
            and now - other.active_at < self._active_s
            and other.budget.is_open(now)
        )

    def _take(self, business: _Business) -> None:
        business.busy += 1
        business.budget.spend(self.hold_s)
        self.busy += 1

    def _grant(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while (business := self._next_business(now)) is not None:
            entry = business.queue.pop()
            if self._is_late(entry, now):
                effects.append(self._refused(entry, codes.limits.DEADLINE_IN_QUEUE))
                continue
            self._take(business)
            effects.append(Granted(entry.waiter))
        return effects

    def _next_business(self, now: float) -> _Business | None:
        waiting = [
            one
            for one in self._businesses.values()
            if one.queue and self._may_take(one, now)
        ]
        return min(
            waiting, key=lambda one: one.busy / max(0.01, one.cfg.share), default=None
        )

    def _make_room(self, business: _Business, entry: Entry) -> list[Effect]:
        if len(business.queue) < business.queue.limit:
            return []
        worst = business.queue.worst()
        if worst is None or worst.priority <= entry.priority:
            return [self._refused(entry, codes.limits.QUEUE_FULL)]
        business.queue.remove(worst.waiter)
        return [self._refused(worst, codes.limits.SHED)]

    def _wait_s(self, business: _Business, entry: Entry, now: float) -> float:
        shared = self.limit - self._kept_for_others(business, now)
        slots = max(1.0, self.guaranteed(business.cfg.name), shared)
        if business.budget.rate is not None:
            slots = min(slots, max(1e-3, business.budget.rate))
        return business.queue.ahead_of(entry.priority) * self.hold_s / slots

    def _is_late(self, entry: Entry, start: float) -> bool:
        return start + _HOLD_MARGIN * self.hold_s >= entry.deadline

    def _refused(self, entry: Entry, code: Code) -> Refused:
        return Refused(entry.waiter, code, self.retry_after_s())
