"""Know which members are live."""

import dataclasses

import msgspec

from rosemaryridge.membership._hash import hash64
from rosemaryridge.membership._messages import Doubt
from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MemberState

BUCKETS = 16


@dataclasses.dataclass(slots=True)
class _Known:
    record: MemberRecord
    doubted_at: float | None = None
    dead_at: float | None = None

    @property
    def is_doubted(self) -> bool:
        return self.doubted_at is not None or self.dead_at is not None


def _fingerprint(record: MemberRecord) -> int:
    text = f"{record.vm}/{record.incarnation}/{record.version}"
    return hash64(text)


def _bucket(vm: str) -> int:
    return hash64(vm) % BUCKETS


class MemberTable:
    """Merge records and doubts; the newest record of a VM counts.

    A member is dead once it was doubted and said nothing newer in time; whoever is
    heard directly is never taken for dead. A dead member that speaks again is live.
    """

    def __init__(self, own: MemberRecord, confirm_s: float, forget_s: float):
        self.own = own
        self._confirm_s = confirm_s
        self._forget_s = forget_s
        self._known: dict[str, _Known] = {own.vm: _Known(own)}
        self._hashes = [0] * BUCKETS
        self._hashes[_bucket(own.vm)] ^= _fingerprint(own)

    @property
    def digest(self) -> tuple[int, ...]:
        """Return one hash for each bucket of records."""
        return tuple(self._hashes)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record that is known."""
        return tuple(one.record for one in self._known.values())

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of the members that take work."""
        return tuple(
            one.record
            for one in self._known.values()
            if one.dead_at is None and one.record.state is MemberState.LIVE
        )

    def dead(self) -> tuple[MemberRecord, ...]:
        """Return the records of the members taken for dead."""
        return tuple(
            one.record
            for one in self._known.values()
            if one.dead_at is not None and one.record.state is not MemberState.LEFT
        )

    def is_dead(self, vm: str) -> bool:
        """Return whether a member is unknown or taken for dead."""
        known = self._known.get(vm)
        return known is None or known.dead_at is not None

    def get(self, vm: str) -> MemberRecord | None:
        """Return the record of a VM."""
        known = self._known.get(vm)
        return known.record if known else None

    def in_buckets(
        self, buckets: set[int]
    ) -> tuple[tuple[MemberRecord, ...], tuple[Doubt, ...]]:
        """Return the records of some buckets and the doubts about them."""
        found = [one for vm, one in self._known.items() if _bucket(vm) in buckets]
        doubted = (one.record for one in found if one.is_doubted)
        doubts = tuple(Doubt(r.vm, r.incarnation, r.version) for r in doubted)
        return tuple(one.record for one in found), doubts

    def differing(self, digest: tuple[int, ...]) -> set[int]:
        """Return the buckets whose records differ from a peer's."""
        pairs = enumerate(zip(self._hashes, digest, strict=True))
        return {index for index, (mine, theirs) in pairs if mine != theirs}

    def apply(self, record: MemberRecord) -> bool:
        """Take in a record; return whether it is news."""
        if record.vm == self.own.vm:
            return record.stamp > self.own.stamp and self._outbid(record.stamp)
        known = self._known.get(record.vm)
        if known is None:
            if record.state is MemberState.LEFT:
                return False
        elif record.stamp <= known.record.stamp:
            return False
        self._store(record)
        return True

    def change_own(self, state: MemberState) -> MemberRecord:
        """Say something new about this member."""
        self._say(self.own.version + 1, state)
        return self.own

    def doubt(self, doubt: Doubt, now: float) -> bool:
        """Take in a doubt; return whether it is news."""
        stamp = (doubt.incarnation, doubt.version)
        if doubt.vm == self.own.vm:
            return stamp >= self.own.stamp and self._outbid(stamp)
        known = self._known.get(doubt.vm)
        if known is None or known.record.stamp > stamp:
            return False
        if known.doubted_at is not None or known.dead_at is not None:
            return False
        known.doubted_at = now
        return True

    def heard(self, vm: str) -> bool:
        """Drop the doubt about a member that is heard; return whether it was dead."""
        known = self._known.get(vm)
        if known is None or known.record.state is MemberState.LEFT:
            return False
        known.doubted_at = None
        return self._set_dead(known, None)

    def expire(self, connected: frozenset[str], now: float) -> bool:
        """Take doubted members for dead; return whether any was."""
        changed = False
        for vm, known in list(self._known.items()):
            if vm in connected:
                known.doubted_at = None
            if known.dead_at is None and self._is_confirmed(known, now):
                changed |= self._set_dead(known, now)
            elif self._is_forgotten(known, now):
                del self._known[vm]
        return changed

    def _is_confirmed(self, known: _Known, now: float) -> bool:
        if known.record.state is MemberState.LEFT:
            return True
        doubted_at = known.doubted_at
        return doubted_at is not None and now - doubted_at >= self._confirm_s

    def _is_forgotten(self, known: _Known, now: float) -> bool:
        return known.dead_at is not None and now - known.dead_at >= self._forget_s

    def _store(self, record: MemberRecord) -> None:
        known = self._known.get(record.vm)
        if known is not None:
            self._set_dead(known, 0.0)
        self._known[record.vm] = _Known(record)
        self._hashes[_bucket(record.vm)] ^= _fingerprint(record)

    def _set_dead(self, known: _Known, dead_at: float | None) -> bool:
        changed = (known.dead_at is None) != (dead_at is None)
        known.dead_at = dead_at
        if changed:
            self._hashes[_bucket(known.record.vm)] ^= _fingerprint(known.record)
        return changed

    def _outbid(self, stamp: tuple[int, int]) -> bool:
        if stamp[0] != self.own.incarnation:
            return False
        self._say(stamp[1] + 1, self.own.state)
        return True

    def _say(self, version: int, state: MemberState) -> None:
        self.own = msgspec.structs.replace(self.own, version=version, state=state)
        self._store(self.own)
