"""Track the era of the store.

The store may come back from a copy some seconds old. Each time its era, which all its
answers name, rises by one: what proxies wrote since the copy is lost, and revisions
are given out again.
"""

import typing as t

from rosemaryridge.core._event_log import EventLog

# Fences of an era start above this multiple of it, and so above those of earlier eras.
FENCES_PER_ERA = 1_000_000

# Called with the new era; returns what the subscriber dropped, for the log.
EraCallback = t.Callable[[int], str]


class StoreEra:
    """Hold the newest known era; None until an answer names one."""

    def __init__(self, log: EventLog):
        self.current: int | None = None
        self._log = log
        self._callbacks: list[EraCallback] = []

    def subscribe(self, callback: EraCallback) -> None:
        """Call back when the store has come back from a copy."""
        self._callbacks.append(callback)

    def issued(self, fence: int) -> bool:
        """Return whether a fence belongs to the newest known era."""
        return fence > FENCES_PER_ERA * (self.current or 0)

    def observe(self, era: int | None) -> bool:
        """Record an answer's era; return whether the answer is of the newest era.

        An answer without an era is of the newest one, as a store without restored
        copies names none.
        """
        if era is None or era == self.current:
            return True
        if self.current is not None and era < self.current:
            self._log.write("store_era_outdated", era=era, current=self.current)
            return False
        before, self.current = self.current, era
        if before is not None:
            dropped = [callback(era) for callback in self._callbacks]
            self._log.write(
                "store_era_changed",
                era=era,
                before=before,
                dropped=[text for text in dropped if text],
            )
        return True


def next_fence(last: int, era: int | None) -> int:
    """Return a fence above the last known one and above those of earlier eras."""
    return max(last, FENCES_PER_ERA * (era or 0)) + 1
