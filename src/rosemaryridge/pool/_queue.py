"""Order the requests that wait for one target."""

import dataclasses
import heapq
import itertools
import typing as t

from rosemaryridge.config import Priority

Waiter = t.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe one request that waits; `deadline` is monotonic time in seconds."""

    waiter: Waiter
    business: str
    priority: Priority
    deadline: float


class BusinessQueue:
    """Hold one business's waiting requests, most urgent and then earliest due first."""

    def __init__(self, limit: int):
        self.limit = limit
        self._order = itertools.count()
        self._heap: list[tuple[int, float, int, Entry]] = []
        self._live: dict[Waiter, Entry] = {}
        self._by_priority = dict.fromkeys(Priority, 0)

    def __len__(self) -> int:
        return len(self._live)

    def ahead_of(self, priority: Priority) -> int:
        """Count the requests that go before a new one of this priority."""
        return sum(n for level, n in self._by_priority.items() if level <= priority)

    def push(self, entry: Entry) -> None:
        """Add a request."""
        rank = (int(entry.priority), entry.deadline, next(self._order), entry)
        heapq.heappush(self._heap, rank)
        self._live[entry.waiter] = entry
        self._by_priority[entry.priority] += 1

    def remove(self, waiter: Waiter) -> Entry | None:
        """Take a request out; return None where it does not wait."""
        entry = self._live.pop(waiter, None)
        if entry is not None:
            self._by_priority[entry.priority] -= 1
            self._compact()
        return entry

    def pop(self) -> Entry | None:
        """Take out the request that goes first."""
        while self._heap:
            entry = heapq.heappop(self._heap)[3]
            if self._live.get(entry.waiter) is entry:
                return self.remove(entry.waiter)
        return None

    def worst(self) -> Entry | None:
        """Return the least urgent request, the latest due among equals."""
        lowest = max(
            (level for level, n in self._by_priority.items() if n), default=None
        )
        if lowest is None:
            return None
        entries = (e for e in self._live.values() if e.priority == lowest)
        return max(entries, key=lambda entry: entry.deadline)

    def _compact(self) -> None:
        if len(self._heap) > 2 * len(self._live) + 16:
            live = self._live
            self._heap = [r for r in self._heap if live.get(r[3].waiter) is r[3]]
            heapq.heapify(self._heap)
