"""Collect the events of all callers."""

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
    """Collect the events and the error counts of callers."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    promotions: list[Promotion] = dataclasses.field(default_factory=list)
    strays: list[Stray] = dataclasses.field(default_factory=list)
    errors: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_error(self, exc: BaseException) -> None:
        """Count an error by its SQLSTATE, or its class, and the proxy's code."""
        state = getattr(exc, "sqlstate", None) or type(exc).__name__
        detail = (getattr(exc, "detail", None) or "").partition(";")[0]
        key = f"{state} {detail.removeprefix('rosemaryridge ')}".strip()
        self.errors[key] = self.errors.get(key, 0) + 1

    def count(self, outcome: Outcome) -> int:
        """Return the number of writes with this outcome."""
        return sum(write.outcome is outcome for write in self.writes)

    def record_promotion(self, term: int) -> None:
        """Record the time of the first call for a term."""
        if not any(promotion.term == term for promotion in self.promotions):
            self.promotions.append(Promotion(term, time.monotonic()))

    def write_gap_s(self, since: float) -> float | None:
        """Return the seconds from `since` to the end of the first successful write.

        Only writes that started after `since` count; None if there is none yet.
        """
        ends = [
            write.ended - since
            for write in self.writes
            if write.outcome is Outcome.DONE and write.started >= since
        ]
        return min(ends, default=None)

    def history(self, final: tuple[Row, ...]) -> History:
        """Return the recorded history with the final rows of the table."""
        return History(
            tuple(self.writes),
            tuple(self.reads),
            final,
            tuple(self.promotions),
            tuple(self.strays),
        )
