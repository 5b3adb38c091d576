"""Hold this proxy's leases of connections."""

import dataclasses

from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units

Key = tuple[str, str]

_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    units: int
    until: float


_NONE = _Lease(0, float("-inf"))


class LeaseHolder:
    """Count the leased connections that may be used now.

    A lease lasts from the time its request was sent, by this proxy's own clock. A
    request for fewer connections gives the rest back before it is sent.
    """

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._number = 0
        self._sent_at = 0.0
        self._leases: dict[Key, _Lease] = {}

    def units(self, key: Key, now: float) -> int:
        """Return the leased connections to a target."""
        lease = self._leases.get(key, _NONE)
        return lease.units if now < lease.until else 0

    def until(self, key: Key) -> float:
        """Return when the lease of a target ends."""
        return self._leases.get(key, _NONE).until

    def held(self) -> tuple[Key, ...]:
        """Return the targets with a lease that was not given back."""
        return tuple(key for key, lease in self._leases.items() if lease.units)

    def forget(self, key: Key) -> None:
        """Drop a lease that has ended."""
        self._leases.pop(key, None)

    def request(self, wanted: dict[Key, int], now: float) -> LeaseRequest:
        """Return the next request; what is not wanted any more is given back."""
        self._number += 1
        self._sent_at = now
        for key, lease in list(self._leases.items()):
            kept = min(lease.units, wanted.get(key, 0))
            self._leases[key] = _Lease(kept, lease.until)
        units = tuple(Units(*key, count) for key, count in sorted(wanted.items()))
        return LeaseRequest(self._incarnation, self._number, units)

    def answer(self, answer: LeaseAnswer) -> bool:
        """Take in an answer; only that to the newest request counts."""
        if answer.number != self._number or answer.duration_s <= 0.0:
            return False
        until = self._sent_at + answer.duration_s * (1.0 - _CLOCK_DRIFT)
        self._leases = {one.key: _Lease(one.units, until) for one in answer.granted}
        return True
