"""Hold this proxy's connection leases."""

import dataclasses

from rosemaryridge.pool._lease_messages import LeaseAnswer
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units

Key = tuple[str, str]

# Largest assumed relative error of a clock's rate.
_MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    units: int
    until: float


_NO_LEASE = _Lease(0, float("-inf"))


class LeaseHolder:
    """Track the leased connections that this proxy may use.

    A lease starts when its request is sent, by this proxy's clock. A request for
    fewer connections returns the others before it is sent.
    """

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._number = 0
        self._sent_at = 0.0
        self._leases: dict[Key, _Lease] = {}

    def units(self, key: Key, now: float) -> int:
        """Return the number of connections to a target that are leased now."""
        lease = self._leases.get(key, _NO_LEASE)
        return lease.units if now < lease.until else 0

    def until(self, key: Key) -> float:
        """Return the monotonic time in seconds when the lease of a target ends."""
        return self._leases.get(key, _NO_LEASE).until

    def held_keys(self) -> tuple[Key, ...]:
        """Return the keys of the targets with leased connections."""
        return tuple(key for key, lease in self._leases.items() if lease.units)

    def drop(self, key: Key) -> None:
        """Forget the lease of a target."""
        self._leases.pop(key, None)

    def next_request(self, wanted: dict[Key, int], now: float) -> LeaseRequest:
        """Return the next request; connections no longer wanted are returned."""
        self._number += 1
        self._sent_at = now
        for key, lease in list(self._leases.items()):
            kept = min(lease.units, wanted.get(key, 0))
            self._leases[key] = _Lease(kept, lease.until)
        units = tuple(Units(*key, count) for key, count in sorted(wanted.items()))
        return LeaseRequest(self._incarnation, self._number, units)

    def on_answer(self, msg: LeaseAnswer) -> bool:
        """Apply a grant for the newest request; return whether it was applied."""
        if msg.number != self._number or msg.duration_s <= 0.0:
            return False
        until = self._sent_at + msg.duration_s * (1.0 - _MAX_CLOCK_DRIFT)
        self._leases = {item.key: _Lease(item.units, until) for item in msg.granted}
        return True
