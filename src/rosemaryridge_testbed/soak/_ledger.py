"""Hold what callers were told, and compare it with the log."""

import collections
import dataclasses
import enum
import typing as t

from rosemaryridge.model import Outcome


class Rule(enum.Enum):
    """Name a promise."""

    LOST = "an acknowledged write is in the log"
    TWICE = "a write takes effect once"
    REFUSED = "a write that was said not to run did not"
    STALE = "a read covers what was acknowledged before"
    RECOVER = "all proxies serve soon after the last fault"
    UNSIGNED = "a success carries its target's signature"


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Record a read; `least` is the newest write that it had to cover."""

    data: str
    least: str
    kind: str
    at: float


class Ledger:
    """Take in outcomes as they are told, and judge them in the end."""

    def __init__(self) -> None:
        self.reads: list[Read] = []
        self.stale: list[Read] = []
        self.unsigned = 0
        self._acknowledged: dict[str, list[tuple[float, str]]] = {}
        self._refused: set[str] = set()

    @property
    def writes(self) -> int:
        """Return how many writes were acknowledged."""
        return sum(map(len, self._acknowledged.values()))

    def wrote(self, item: str, data: str, outcome: Outcome, now: float) -> None:
        """Take in a write's outcome."""
        if outcome is Outcome.DONE:
            self._acknowledged.setdefault(item, []).append((now, data))
        elif outcome is Outcome.NOT_RUN:
            self._refused.add(data)

    def newest(self, item: str, before: float, rolled_back: t.Container[str]) -> str:
        """Return an item's newest write that was acknowledged by then."""
        kept = [
            data
            for at, data in self._acknowledged.get(item, ())
            if at <= before and data not in rolled_back
        ]
        return kept[-1] if kept else ""

    def judge(
        self, log: t.Sequence[str], rolled_back: t.Container[str]
    ) -> collections.Counter[Rule]:
        """Return how often each promise was broken, given the writes in the log."""
        index = {data: number for number, data in enumerate(log)}
        times = collections.Counter(log)
        broken: collections.Counter[Rule] = collections.Counter()
        broken[Rule.TWICE] = sum(count > 1 for count in times.values())
        broken[Rule.REFUSED] = sum(data in index for data in self._refused)
        broken[Rule.UNSIGNED] = self.unsigned
        for writes in self._acknowledged.values():
            lost = (d for _, d in writes if d not in index and d not in rolled_back)
            broken[Rule.LOST] += sum(1 for _ in lost)
        for read in self.reads:
            # A write in doubt may take effect after later ones: the log's order
            # counts, and what a promotion took back is owed to nobody.
            if read.least not in index or read.data in rolled_back:
                continue
            if index.get(read.data, -1) < index[read.least]:
                self.stale.append(read)
        broken[Rule.STALE] = len(self.stale)
        return +broken
