"""Merge membership records and suspicions of failure."""

import dataclasses

import msgspec

from rosemaryridge.membership._hash import hash64
from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MemberState
from rosemaryridge.membership._messages import Suspicion

BUCKETS = 16


@dataclasses.dataclass(slots=True)
class _Entry:
    record: MemberRecord
    suspected_at: float | None = None
    dead_at: float | None = None

    @property
    def is_suspected(self) -> bool:
        return self.suspected_at is not None or self.dead_at is not None


def _fingerprint(record: MemberRecord) -> int:
    text = f"{record.vm}/{record.incarnation}/{record.version}"
    return hash64(text)


def _bucket(vm: str) -> int:
    return hash64(vm) % BUCKETS


class MemberTable:
    """Merge records and suspicions; the newest record of each VM wins.

    A suspected member is declared dead unless a newer record of it arrives within
    `confirm_s` seconds; a member with an open stream to this proxy is never declared
    dead. A dead member becomes live again with a newer record or a new stream.
    """

    def __init__(self, own_record: MemberRecord, confirm_s: float, forget_s: float):
        self.own_record = own_record
        self._confirm_s = confirm_s
        self._forget_s = forget_s
        self._entries: dict[str, _Entry] = {own_record.vm: _Entry(own_record)}
        self._hashes = [0] * BUCKETS
        self._hashes[_bucket(own_record.vm)] ^= _fingerprint(own_record)

    @property
    def digest(self) -> tuple[int, ...]:
        """Return one hash of the records in each bucket; dead members are left out."""
        return tuple(self._hashes)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the records of all members, dead ones included."""
        return tuple(entry.record for entry in self._entries.values())

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of the members that accept new work."""
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.dead_at is None and entry.record.state is MemberState.LIVE
        )

    def dead(self) -> tuple[MemberRecord, ...]:
        """Return the records of dead members, without those that left."""
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.dead_at is not None and entry.record.state is not MemberState.LEFT
        )

    def is_dead(self, vm: str) -> bool:
        """Return whether a member is unknown or was declared dead."""
        entry = self._entries.get(vm)
        return entry is None or entry.dead_at is not None

    def get(self, vm: str) -> MemberRecord | None:
        """Return the record of a VM."""
        entry = self._entries.get(vm)
        return entry.record if entry else None

    def in_buckets(
        self, buckets: set[int]
    ) -> tuple[tuple[MemberRecord, ...], tuple[Suspicion, ...]]:
        """Return the records in some buckets and the suspicions about them."""
        found = [entry for vm, entry in self._entries.items() if _bucket(vm) in buckets]
        suspected = (entry.record for entry in found if entry.is_suspected)
        suspicions = tuple(Suspicion(r.vm, r.incarnation, r.version) for r in suspected)
        return tuple(entry.record for entry in found), suspicions

    def differing_buckets(self, digest: tuple[int, ...]) -> set[int]:
        """Return the buckets whose hashes differ from those of a peer's digest."""
        pairs = enumerate(zip(self._hashes, digest, strict=True))
        return {index for index, (mine, theirs) in pairs if mine != theirs}

    def apply(self, record: MemberRecord) -> bool:
        """Merge a record; return whether the table changed."""
        if record.vm == self.own_record.vm:
            return record.stamp > self.own_record.stamp and self._refute(record.stamp)
        entry = self._entries.get(record.vm)
        if entry is None:
            if record.state is MemberState.LEFT:
                return False
        elif record.stamp <= entry.record.stamp:
            return False
        self._store(record)
        return True

    def set_own_state(self, state: MemberState) -> MemberRecord:
        """Store a new version of this member's record and return it."""
        self._store_own(self.own_record.version + 1, state)
        return self.own_record

    def suspect(self, suspicion: Suspicion, now: float) -> bool:
        """Merge a suspicion; return whether the table changed.

        A suspicion about this member is refuted by a new version of its record.
        """
        stamp = (suspicion.incarnation, suspicion.version)
        if suspicion.vm == self.own_record.vm:
            return stamp >= self.own_record.stamp and self._refute(stamp)
        entry = self._entries.get(suspicion.vm)
        if entry is None or entry.record.stamp > stamp:
            return False
        if entry.suspected_at is not None or entry.dead_at is not None:
            return False
        entry.suspected_at = now
        return True

    def mark_alive(self, vm: str) -> bool:
        """Clear the suspicion about a connected member; return whether it was dead."""
        entry = self._entries.get(vm)
        if entry is None or entry.record.state is MemberState.LEFT:
            return False
        entry.suspected_at = None
        return self._set_dead(entry, None)

    def expire(self, connected: frozenset[str], now: float) -> bool:
        """Declare members dead after `confirm_s`, remove dead ones after `forget_s`.

        Return whether any member was declared dead.
        """
        changed = False
        for vm, entry in list(self._entries.items()):
            if vm in connected:
                entry.suspected_at = None
            if entry.dead_at is None and self._is_confirmed(entry, now):
                changed |= self._set_dead(entry, now)
            elif self._is_expired(entry, now):
                del self._entries[vm]
        return changed

    def _is_confirmed(self, entry: _Entry, now: float) -> bool:
        if entry.record.state is MemberState.LEFT:
            return True
        suspected_at = entry.suspected_at
        return suspected_at is not None and now - suspected_at >= self._confirm_s

    def _is_expired(self, entry: _Entry, now: float) -> bool:
        return entry.dead_at is not None and now - entry.dead_at >= self._forget_s

    def _store(self, record: MemberRecord) -> None:
        entry = self._entries.get(record.vm)
        if entry is not None:
            # Removes the fingerprint of the old record from the digest.
            self._set_dead(entry, 0.0)
        self._entries[record.vm] = _Entry(record)
        self._hashes[_bucket(record.vm)] ^= _fingerprint(record)

    def _set_dead(self, entry: _Entry, dead_at: float | None) -> bool:
        changed = (entry.dead_at is None) != (dead_at is None)
        entry.dead_at = dead_at
        if changed:
            self._hashes[_bucket(entry.record.vm)] ^= _fingerprint(entry.record)
        return changed

    def _refute(self, stamp: tuple[int, int]) -> bool:
        if stamp[0] != self.own_record.incarnation:
            return False
        self._store_own(stamp[1] + 1, self.own_record.state)
        return True

    def _store_own(self, version: int, state: MemberState) -> None:
        self.own_record = msgspec.structs.replace(
            self.own_record, version=version, state=state
        )
        self._store(self.own_record)
