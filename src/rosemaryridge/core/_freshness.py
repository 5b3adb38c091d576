"""Bound the age of a replica's data."""

import bisect

from rosemaryridge.model import Position

_MAX_ENTRIES = 128
_MIN_SPACING_S = 0.02


class PrimaryHistory:
    """Record the primary's positions and when they were requested.

    `requested_at` is the time at which the answered request was sent, on the clock of
    `boottime`.

    A replica that has applied the position requested at time t holds everything that
    was committed before t.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._positions: list[Position] = []

    def observe(self, position: Position, requested_at: float) -> None:
        """Record the primary's position; ignore older and repeated ones."""
        if self._times and requested_at < self._times[-1]:
            return
        if self._positions and position < self._positions[-1]:
            return
        if self._positions and self._replaces_last(position, requested_at):
            self._times[-1] = requested_at
            self._positions[-1] = position
            return
        self._times.append(requested_at)
        self._positions.append(position)
        if len(self._times) > _MAX_ENTRIES:
            self._thin_out()

    def age_s(self, applied: Position, now: float) -> float:
        """Return the maximum age of data at an applied position, in seconds."""
        index = bisect.bisect_right(self._positions, applied) - 1
        if index < 0:
            return float("inf")
        return max(0.0, now - self._times[index])

    def newest_time(self) -> float:
        """Return when the newest position was requested."""
        return self._times[-1] if self._times else float("-inf")

    def newest(self) -> tuple[Position, float] | None:
        """Return the newest position and when it was requested, None without any."""
        return (self._positions[-1], self._times[-1]) if self._times else None

    def position_since(self, time: float) -> tuple[Position, float] | None:
        """Return the oldest position requested at or after a time, and when.

        A log that holds the position has every commit acknowledged before that time.
        None if no position was requested since.
        """
        index = bisect.bisect_left(self._times, time)
        if index == len(self._times):
            return None
        return self._positions[index], self._times[index]

    def lag_s(self, applied: Position, now: float) -> float:
        """Return the minimum time that a replica has lagged, in seconds."""
        index = bisect.bisect_right(self._positions, applied)
        if index == len(self._positions):
            return 0.0
        return max(0.0, now - self._times[index])

    def _replaces_last(self, position: Position, requested_at: float) -> bool:
        if position == self._positions[-1] or requested_at == self._times[-1]:
            return True
        return len(self._times) > 1 and requested_at - self._times[-2] < _MIN_SPACING_S

    def _thin_out(self) -> None:
        del self._times[1 : _MAX_ENTRIES // 2 : 2]
        del self._positions[1 : _MAX_ENTRIES // 2 : 2]
