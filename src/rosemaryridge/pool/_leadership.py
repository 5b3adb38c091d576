"""Decide from the stored record which proxy allocates connection leases."""

import dataclasses

import msgspec

# Largest assumed relative error of a clock's rate.
_MAX_CLOCK_DRIFT = 0.01


class AllocatorRecord(msgspec.Struct, frozen=True):
    """Identify in the store the process that allocates connection leases."""

    vm: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordWrite:
    """Request a write of the record if its store version is still `expected`.

    `sent_at` is a time before the write is sent, in monotonic seconds.
    """

    record: AllocatorRecord
    expected: int
    sent_at: float


class Leadership:
    """Acquire and renew leadership of lease allocation through the stored record.

    A proxy replaces another's record only if the record has not changed for longer
    than a leadership period. The leader counts the period from before it sent its last
    write, other proxies from after they read it, so two leaderships never overlap.
    """

    def __init__(self, own_record: AllocatorRecord, period_s: float):
        self.until = float("-inf")
        self.allocator_vm = ""
        self._own_record = own_record
        self._period_s = period_s
        self._version = -1
        self._version_seen_at = 0.0
        self._pending: RecordWrite | None = None

    def on_read(
        self, record: AllocatorRecord | None, version: int, now: float
    ) -> RecordWrite | None:
        """Handle the stored record; return the write to attempt, if any."""
        if version != self._version:
            self._version = version
            self._version_seen_at = now
        self.allocator_vm = record.vm if record else ""
        self._resolve_pending(record, version)
        if record is None or self._has_lapsed(now):
            return self._start_write(now)
        return self.renewal_write(now)

    def renewal_write(self, now: float) -> RecordWrite | None:
        """Return the write that renews this proxy's leadership without a prior read."""
        if now >= self.until or self._pending is not None:
            return None
        return self._start_write(now)

    def on_written(self, version: int, now: float) -> None:
        """Record that the pending write succeeded."""
        self._adopt_write(version, now)

    def on_conflict(self) -> None:
        """Discard the pending write, as another proxy wrote first."""
        self._pending = None

    def _start_write(self, now: float) -> RecordWrite:
        self._pending = RecordWrite(self._own_record, self._version, now)
        return self._pending

    def _resolve_pending(self, record: AllocatorRecord | None, version: int) -> None:
        pending = self._pending
        if (
            pending is not None
            and record == self._own_record
            and version > pending.expected
        ):
            self._adopt_write(version, self._version_seen_at)
        self._pending = None

    def _adopt_write(self, version: int, now: float) -> None:
        pending = self._pending
        if pending is None:
            return
        self.until = pending.sent_at + self._period_s * (1.0 - _MAX_CLOCK_DRIFT)
        self.allocator_vm = self._own_record.vm
        self._version = version
        self._version_seen_at = now
        self._pending = None

    def _has_lapsed(self, now: float) -> bool:
        return now - self._version_seen_at > self._period_s * (1.0 + _MAX_CLOCK_DRIFT)
