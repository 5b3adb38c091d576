"""Decide from the store's object which proxy lends connections."""

import dataclasses

import msgspec

_CLOCK_DRIFT = 0.01


class GrantorRecord(msgspec.Struct, frozen=True):
    """Name the process that lends connections, in the store."""

    vm: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Ask for the record to be written where its version is still `expected`."""

    record: GrantorRecord
    expected: int
    sent_at: float


class Reign:
    """Take the record over only after it stood unchanged for longer than a term.

    The grantor's time counts from before its last write was sent; another counts
    from after it saw that write. So two times never overlap.
    """

    def __init__(self, own: GrantorRecord, term_s: float):
        self.until = float("-inf")
        self.grantor = ""
        self._own = own
        self._term_s = term_s
        self._version = -1
        self._seen_at = 0.0
        self._pending: Write | None = None

    def read(
        self, record: GrantorRecord | None, version: int, now: float
    ) -> Write | None:
        """Take in the stored record; return the write to try."""
        if version != self._version:
            self._version = version
            self._seen_at = now
        self.grantor = record.vm if record else ""
        self._settle(record, version)
        if record is None or self._has_lapsed(now):
            return self._write(now)
        return self.renew(now)

    def renew(self, now: float) -> Write | None:
        """Return the write that prolongs the own time, without a read."""
        if now >= self.until or self._pending is not None:
            return None
        return self._write(now)

    def written(self, version: int, now: float) -> None:
        """Take in that the pending write was made."""
        self._take(version, now)

    def refused(self) -> None:
        """Take in that another wrote first."""
        self._pending = None

    def _write(self, now: float) -> Write:
        self._pending = Write(self._own, self._version, now)
        return self._pending

    def _settle(self, record: GrantorRecord | None, version: int) -> None:
        pending = self._pending
        if pending is not None and record == self._own and version > pending.expected:
            self._take(version, self._seen_at)
        self._pending = None

    def _take(self, version: int, now: float) -> None:
        pending = self._pending
        if pending is None:
            return
        self.until = pending.sent_at + self._term_s * (1.0 - _CLOCK_DRIFT)
        self.grantor = self._own.vm
        self._version = version
        self._seen_at = now
        self._pending = None

    def _has_lapsed(self, now: float) -> bool:
        return now - self._seen_at > self._term_s * (1.0 + _CLOCK_DRIFT)
