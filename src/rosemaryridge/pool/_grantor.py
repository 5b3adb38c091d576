"""Lend the connections that are no proxy's base share."""

import dataclasses
import typing as t

from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units

Key = tuple[str, str]

_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    units: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Lent:
    """Hold what a holder may still use: the most of all grants not yet lapsed."""

    wanted: int
    parts: tuple[_Part, ...]

    @property
    def units(self) -> int:
        return max((part.units for part in self.parts), default=0)

    def at(self, now: float) -> "_Lent":
        parts = tuple(part for part in self.parts if now < part.until)
        return _Lent(self.wanted, parts)

    def asked(self, wanted: int) -> "_Lent":
        parts = tuple(_Part(min(p.units, wanted), p.until) for p in self.parts)
        return _Lent(wanted, parts)


_NOTHING = _Lent(0, ())


class Grantor:
    """Lend connections so that leases in force never pass what can be lent.

    It lends only while it is the grantor, and no lease outlasts that time.
    """

    def __init__(self, duration_s: float):
        self._duration_s = duration_s
        self._reign_until = float("-inf")
        self._lendable: dict[Key, int] = {}
        self._lent: dict[Key, dict[str, _Lent]] = {}
        self._numbers: dict[str, int] = {}

    def is_grantor(self, now: float) -> bool:
        """Return whether it may lend."""
        return now < self._reign_until

    def reign(self, until: float) -> None:
        """Be the grantor until a time."""
        self._reign_until = until

    def set_lendable(self, key: Key, units: int) -> None:
        """Set how many connections to a target can be lent."""
        self._lendable[key] = units

    def lent(self, key: Key, now: float) -> int:
        """Return how many connections to a target may be in use by leases."""
        return sum(one.units for one in self._in_force(key, now).values())

    def request(self, vm: str, req: LeaseRequest, now: float) -> LeaseAnswer:
        """Answer a holder; an outdated request changes nothing."""
        duration_s = min(self._duration_s, self._reign_until - now)
        holder = f"{vm}/{req.incarnation}"
        if duration_s <= 0.0 or req.number <= self._numbers.get(holder, 0):
            return LeaseAnswer(req.number, 0.0, ())
        self._numbers[holder] = req.number
        wanted = {one.key: one.units for one in req.wanted}
        self._give_back(holder, wanted)
        until = now + duration_s * (1.0 + _CLOCK_DRIFT)
        granted = tuple(
            Units(*key, self._grant(holder, key, units, until, now))
            for key, units in wanted.items()
        )
        return LeaseAnswer(req.number, duration_s, granted)

    def _give_back(self, holder: str, wanted: t.Mapping[Key, int]) -> None:
        for key, lent in self._lent.items():
            if key not in wanted:
                lent.pop(holder, None)

    def _grant(
        self, holder: str, key: Key, wanted: int, until: float, now: float
    ) -> int:
        lent = self._in_force(key, now)
        kept = lent.pop(holder, _NOTHING).asked(wanted)
        lendable = self._lendable.get(key, 0)
        free = max(0, lendable - sum(one.units for one in lent.values()))
        demands = {name: one.wanted for name, one in lent.items()}
        demands[holder] = wanted
        units = min(wanted, free, fair_share(lendable, demands, holder))
        lent[holder] = _Lent(wanted, (*kept.parts, _Part(units, until)))
        self._lent[key] = lent
        return units

    def _in_force(self, key: Key, now: float) -> dict[str, _Lent]:
        lent = {name: one.at(now) for name, one in self._lent.get(key, {}).items()}
        return {name: one for name, one in lent.items() if one.parts}


def fair_share(total: int, demands: t.Mapping[str, int], name: str) -> int:
    """Return one demand's part when small demands are met first."""
    left = total
    for rank, (one, demand) in enumerate(
        sorted(demands.items(), key=lambda item: (item[1], item[0]))
    ):
        part = min(demand, -(-left // (len(demands) - rank)))
        if one == name:
            return part
        left -= part
    return 0
