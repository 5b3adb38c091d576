"""Order the requests that wait for a slot of one target."""

import dataclasses
import heapq
import itertools
import typing as t

from rosemaryridge.config import Priority

WaiterId = t.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe a waiting request; `deadline` is monotonic time in seconds."""

    waiter: WaiterId
    business: str
    priority: Priority
    deadline: float


class BusinessQueue:
    """Queue one business's requests by priority, then by earliest deadline."""

    def __init__(self, limit: int):
        self.limit = limit
        self._arrivals = itertools.count()
        self._heap: list[tuple[int, float, int, Entry]] = []
        self._live: dict[WaiterId, Entry] = {}
        self._by_priority = dict.fromkeys(Priority, 0)

    def __len__(self) -> int:
        return len(self._live)

    def ahead_of(self, priority: Priority) -> int:
        """Return the number of requests served before a new request of a priority."""
        return sum(
            count for level, count in self._by_priority.items() if level <= priority
        )

    def push(self, entry: Entry) -> None:
        """Add a request to the queue."""
        item = (int(entry.priority), entry.deadline, next(self._arrivals), entry)
        heapq.heappush(self._heap, item)
        self._live[entry.waiter] = entry
        self._by_priority[entry.priority] += 1

    def remove(self, waiter: WaiterId) -> Entry | None:
        """Remove and return a request; return None if it is not queued."""
        entry = self._live.pop(waiter, None)
        if entry is not None:
            self._by_priority[entry.priority] -= 1
            self._compact()
        return entry

    def pop(self) -> Entry | None:
        """Remove and return the first request; return None if the queue is empty."""
        while self._heap:
            entry = heapq.heappop(self._heap)[3]
            if self._live.get(entry.waiter) is entry:
                return self.remove(entry.waiter)
        return None

    def least_urgent(self) -> Entry | None:
        """Return the latest due among the requests of the lowest priority."""
        lowest = max(
            (level for level, count in self._by_priority.items() if count), default=None
        )
        if lowest is None:
            return None
        entries = (entry for entry in self._live.values() if entry.priority == lowest)
        return max(entries, key=lambda entry: entry.deadline)

    def _compact(self) -> None:
        # Removed entries stay in the heap until they make up most of it.
        if len(self._heap) > 2 * len(self._live) + 16:
            live = self._live
            self._heap = [
                item for item in self._heap if live.get(item[3].waiter) is item[3]
            ]
            heapq.heapify(self._heap)
