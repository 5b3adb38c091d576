"""Collect events of all callers."""

import dataclasses
import time

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.history import History
from rosemaryridge_testbed.history import Promotion
from rosemaryridge_testbed.history import Read
from rosemaryridge_testbed.history import Row
from rosemaryridge_testbed.history import Stray
from rosemaryridge_testbed.history import Write


@dataclasses.dataclass(slots=True)
class Recorder:
    """Hold what callers have done so far."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    promotions: list[Promotion] = dataclasses.field(default_factory=list)
    strays: list[Stray] = dataclasses.field(default_factory=list)
    errors: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_error(self, exc: BaseException) -> None:
        """Count an error by its SQLSTATE or class and the proxy's code."""
        state = getattr(exc, "sqlstate", None) or type(exc).__name__
        detail = (getattr(exc, "detail", None) or "").partition(";")[0]
        key = f"{state} {detail.removeprefix('rosemaryridge ')}".strip()
        self.errors[key] = self.errors.get(key, 0) + 1

    def count(self, outcome: Outcome) -> int:
        """Return how many writes ended so."""
        return sum(write.outcome is outcome for write in self.writes)

    def saw_primary(self, term: int) -> None:
        """Note that a primary leads a term now."""
        if not any(promotion.term == term for promotion in self.promotions):
            self.promotions.append(Promotion(term, time.monotonic()))

    def write_gap_s(self, since: float) -> float | None:
        """Return the time from a fault to the first write begun after it and done."""
        ends = [
            write.ended - since
            for write in self.writes
            if write.outcome is Outcome.DONE and write.started >= since
        ]
        return min(ends, default=None)

    def history(self, final: tuple[Row, ...]) -> History:
        """Return the whole history."""
        return History(
            tuple(self.writes),
            tuple(self.reads),
            final,
            tuple(self.promotions),
            tuple(self.strays),
        )
