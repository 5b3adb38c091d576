"""Allocate leases of the connections beyond every proxy's base share."""

import dataclasses
import typing as t

from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units

Key = tuple[str, str]

# Largest assumed relative error of a clock's rate.
_MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    units: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HolderLeases:
    """List the unexpired grants of one holder.

    An answer may be lost, so the holder may use any of them; the largest is counted
    as leased.
    """

    wanted: int
    grants: tuple[_Grant, ...]

    @property
    def units(self) -> int:
        return max((grant.units for grant in self.grants), default=0)

    def in_force(self, now: float) -> "_HolderLeases":
        grants = tuple(grant for grant in self.grants if now < grant.until)
        return _HolderLeases(self.wanted, grants)

    def capped(self, wanted: int) -> "_HolderLeases":
        grants = tuple(
            _Grant(min(grant.units, wanted), grant.until) for grant in self.grants
        )
        return _HolderLeases(wanted, grants)


_NO_LEASES = _HolderLeases(0, ())


class LeaseAllocator:
    """Grant leases so that those in force never exceed the lendable connections.

    Leases are granted only while this proxy is the leader and end, at the holder, no
    later than its leadership.
    """

    def __init__(self, duration_s: float):
        self._duration_s = duration_s
        self._leader_until = float("-inf")
        self._lendable: dict[Key, int] = {}
        self._leases: dict[Key, dict[str, _HolderLeases]] = {}
        self._last_numbers: dict[str, int] = {}

    def is_leader(self, now: float) -> bool:
        """Return whether this proxy may grant leases."""
        return now < self._leader_until

    def set_leader_until(self, until: float) -> None:
        """Set the monotonic time in seconds until which this proxy leads."""
        self._leader_until = until

    def set_lendable(self, key: Key, units: int) -> None:
        """Set the number of connections to a target that can be leased."""
        self._lendable[key] = units

    def leased_units(self, key: Key, now: float) -> int:
        """Return the number of connections to a target leased to any proxy."""
        return sum(state.units for state in self._in_force(key, now).values())

    def handle_request(self, vm: str, req: LeaseRequest, now: float) -> LeaseAnswer:
        """Answer a holder's request.

        Without leadership, or if the request is not newer than the last one, the
        answer has a duration of 0 and grants nothing.
        """
        duration_s = min(self._duration_s, self._leader_until - now)
        holder = f"{vm}/{req.incarnation}"
        if duration_s <= 0.0 or req.number <= self._last_numbers.get(holder, 0):
            return LeaseAnswer(req.number, 0.0, ())
        self._last_numbers[holder] = req.number
        wanted = {item.key: item.units for item in req.wanted}
        self._drop_unwanted(holder, wanted)
        until = now + duration_s * (1.0 + _MAX_CLOCK_DRIFT)
        granted = tuple(
            Units(*key, self._grant(holder, key, units, until, now))
            for key, units in wanted.items()
        )
        return LeaseAnswer(req.number, duration_s, granted)

    def _drop_unwanted(self, holder: str, wanted: t.Mapping[Key, int]) -> None:
        for key, leases in self._leases.items():
            if key not in wanted:
                leases.pop(holder, None)

    def _grant(
        self, holder: str, key: Key, wanted: int, until: float, now: float
    ) -> int:
        leases = self._in_force(key, now)
        earlier = leases.pop(holder, _NO_LEASES).capped(wanted)
        lendable = self._lendable.get(key, 0)
        free = max(0, lendable - sum(state.units for state in leases.values()))
        demands = {name: state.wanted for name, state in leases.items()}
        demands[holder] = wanted
        units = min(wanted, free, fair_share(lendable, demands, holder))
        leases[holder] = _HolderLeases(wanted, (*earlier.grants, _Grant(units, until)))
        self._leases[key] = leases
        return units

    def _in_force(self, key: Key, now: float) -> dict[str, _HolderLeases]:
        leases = {
            name: state.in_force(now)
            for name, state in self._leases.get(key, {}).items()
        }
        return {name: state for name, state in leases.items() if state.grants}


def fair_share(total: int, demands: t.Mapping[str, int], name: str) -> int:
    """Return the max-min fair share of one demand: small demands are met first."""
    remaining = total
    for index, (other, demand) in enumerate(
        sorted(demands.items(), key=lambda item: (item[1], item[0]))
    ):
        share = min(demand, -(-remaining // (len(demands) - index)))
        if other == name:
            return share
        remaining -= share
    return 0
