"""Record the outcomes that callers saw and check them against the log."""

import collections
import dataclasses
import enum
import typing as t

from rosemaryridge.model import Outcome


class Rule(enum.Enum):
    """Name a guarantee that the soak checks."""

    LOST = "an acknowledged write is in the log"
    TWICE = "a write takes effect once"
    REFUSED = "a write that was said not to run did not"
    STALE = "a read covers what was acknowledged before"
    ONE = "no write is acknowledged by a deposed primary"
    RECOVER = "all proxies serve soon after the last fault"
    CONFIG = "a published configuration is in force soon after the last fault"
    OWNER = "a statement runs as the business of its caller"
    QUOTA = "a business stays within its quota over all proxies"
    REVOKED = "a key that was taken away is refused soon after the last fault"
    PINNED = "a write runs with the session value of its caller"
    UNSIGNED = "a success carries its target's signature"
    CUT = "planned work ends no connection with a statement at a target"
    UNKNOWN = "stopped proxies leave no outcome unknown"
    DRAIN = "a leaving target gets no new work after its time"


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Record a read; `least` is the newest write that the read had to cover."""

    data: str
    least: str
    kind: str
    at: float


class Ledger:
    """Record outcomes during a run and count the violations at its end."""

    def __init__(self) -> None:
        self.reads: list[Read] = []
        self.stale: list[Read] = []
        self.unsigned = 0
        # Ids of statements whose connection ended before the answer.
        self.cut: set[str] = set()
        # Answers that promise nothing.
        self.unknown = 0
        self._acknowledged: dict[str, list[tuple[float, str]]] = {}
        self._not_run: set[str] = set()

    @property
    def writes(self) -> int:
        """Return how many writes were acknowledged."""
        return sum(map(len, self._acknowledged.values()))

    def record_write(self, item: str, data: str, outcome: Outcome, now: float) -> None:
        """Record the outcome of a write."""
        if outcome is Outcome.DONE:
            self._acknowledged.setdefault(item, []).append((now, data))
        elif outcome is Outcome.NOT_RUN:
            self._not_run.add(data)

    def newest_write(
        self, item: str, before: float, rolled_back: t.Container[str]
    ) -> str:
        """Return an item's newest write acknowledged by `before`, empty if none."""
        found = [
            data
            for at, data in self._acknowledged.get(item, ())
            if at <= before and data not in rolled_back
        ]
        return found[-1] if found else ""

    def count_violations(
        self,
        log: t.Sequence[str],
        rolled_back: t.Container[str],
        split: t.Container[str] = (),
        may_lose: bool = True,
    ) -> collections.Counter[Rule]:
        """Return how often each guarantee was violated, given the writes in the log.

        `split` holds the writes that deposed primaries committed. With synchronous
        replicas, no acknowledged write may be rolled back: `may_lose` is false.
        """
        index = {data: number for number, data in enumerate(log)}
        times = collections.Counter(log)
        violations: collections.Counter[Rule] = collections.Counter()
        violations[Rule.TWICE] = sum(count > 1 for count in times.values())
        violations[Rule.REFUSED] = sum(data in index for data in self._not_run)
        violations[Rule.UNSIGNED] = self.unsigned
        for writes in self._acknowledged.values():
            lost = [data for _, data in writes if data not in index]
            violations[Rule.LOST] += sum(
                not may_lose or data not in rolled_back for data in lost
            )
            violations[Rule.ONE] += sum(data in split for _, data in writes)
        for read in self.reads:
            # A write of unknown outcome may take effect after later writes, so the
            # order in the log decides. Reads need not cover rolled-back writes, also if
            # a later promotion brings them back.
            lapsed = read.least in rolled_back or read.data in rolled_back
            if read.least not in index or lapsed:
                continue
            if index.get(read.data, -1) < index[read.least]:
                self.stale.append(read)
        violations[Rule.STALE] = len(self.stale)
        return +violations
