"""Limit how often equal log lines are written."""

import dataclasses
import typing as t


@dataclasses.dataclass(slots=True)
class _LineCount:
    since: float
    written: int = 0
    suppressed: int = 0


class RepeatLimiter:
    """Admit `limit` equal lines in each period and count the suppressed ones."""

    def __init__(self, limit: int, period_s: float):
        self.limit = limit
        self.period_s = period_s
        self._lines: dict[t.Hashable, _LineCount] = {}

    def admit(self, key: t.Hashable, now: float) -> bool:
        """Return whether the line may be written; count the line if not."""
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = _LineCount(now)
        if line.written >= self.limit:
            line.suppressed += 1
            return False
        line.written += 1
        return True

    def end_periods(self, now: float) -> tuple[tuple[t.Hashable, int], ...]:
        """End the periods that are over; return their suppressed lines and counts."""
        ended_keys = [
            key
            for key, line in self._lines.items()
            if now - line.since >= self.period_s
        ]
        counts = [(key, self._lines.pop(key).suppressed) for key in ended_keys]
        return tuple((key, count) for key, count in counts if count)
