"""Limit how often equal log lines are written."""

import dataclasses
import typing as t


@dataclasses.dataclass(slots=True)
class _Line:
    since: float
    written: int = 0
    left_out: int = 0


class RepeatLimiter:
    """Let `limit` equal lines through in each period and count the others."""

    def __init__(self, limit: int, period_s: float):
        self.limit = limit
        self.period_s = period_s
        self._lines: dict[t.Hashable, _Line] = {}

    def admit(self, key: t.Hashable, now: float) -> bool:
        """Return whether the line may be written now."""
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = _Line(now)
        if line.written >= self.limit:
            line.left_out += 1
            return False
        line.written += 1
        return True

    def sweep(self, now: float) -> tuple[tuple[t.Hashable, int], ...]:
        """Start new periods; return the lines left out in those that ended."""
        ended = [
            key
            for key, line in self._lines.items()
            if now - line.since >= self.period_s
        ]
        counts = [(key, self._lines.pop(key).left_out) for key in ended]
        return tuple((key, count) for key, count in counts if count)
