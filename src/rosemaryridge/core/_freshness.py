"""Bound the age of a replica's data."""

import bisect

from rosemaryridge.model import Position

_MAX_ENTRIES = 128
_MIN_GAP_S = 0.02


class PrimaryHistory:
    """Remember the primary's positions and when they were asked for.

    A replica that has applied the position asked for at time t holds everything
    that was committed before t.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._positions: list[Position] = []

    def observe(self, position: Position, seen_at: float) -> None:
        """Add the primary's position; older and repeated observations are ignored."""
        if self._times and seen_at <= self._times[-1]:
            return
        if self._positions and position < self._positions[-1]:
            return
        if self._positions and self._replaces_last(position, seen_at):
            self._times[-1] = seen_at
            self._positions[-1] = position
            return
        self._times.append(seen_at)
        self._positions.append(position)
        if len(self._times) > _MAX_ENTRIES:
            self._thin_out()

    def age_s(self, applied: Position, now: float) -> float:
        """Return the greatest age of data at an applied position, in seconds."""
        index = bisect.bisect_right(self._positions, applied) - 1
        if index < 0:
            return float("inf")
        return max(0.0, now - self._times[index])

    def newest_time(self) -> float:
        """Return when the newest position was asked for."""
        return self._times[-1] if self._times else float("-inf")

    def newest(self) -> tuple[Position, float] | None:
        """Return the newest position and when it was asked for, None without any."""
        return (self._positions[-1], self._times[-1]) if self._times else None

    def position_since(self, time: float) -> tuple[Position, float] | None:
        """Return the oldest position asked for at a time or later, with its time.

        A log that holds it holds every commit acknowledged before that time; None
        where nothing was observed since.
        """
        index = bisect.bisect_left(self._times, time)
        if index == len(self._times):
            return None
        return self._positions[index], self._times[index]

    def lag_s(self, applied: Position, now: float) -> float:
        """Return for how long at least a replica has been behind, in seconds."""
        index = bisect.bisect_right(self._positions, applied)
        if index == len(self._positions):
            return 0.0
        return max(0.0, now - self._times[index])

    def _replaces_last(self, position: Position, seen_at: float) -> bool:
        if position == self._positions[-1]:
            return True
        return len(self._times) > 1 and seen_at - self._times[-2] < _MIN_GAP_S

    def _thin_out(self) -> None:
        del self._times[1 : _MAX_ENTRIES // 2 : 2]
        del self._positions[1 : _MAX_ENTRIES // 2 : 2]
