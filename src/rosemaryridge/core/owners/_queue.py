"""Order the statements that wait for a target's slots.

The load: more statements at a moment than a target has slots, from all proxies. The
owner alone sees all of them, so that the most urgent one is sent first, one whose turn
comes too late is refused at once, and what has been accepted keeps its turn: with the
least deadline first and without a check, an overloaded queue would let each newcomer
with little time push another past its deadline. What cannot meet its aim any more waits
behind what can, so that an overload does not make all answers late.
"""

import bisect
import itertools
import typing as t

from rosemaryridge.core.commands import Urgency

# Statements that are sent beyond the slots, so that a slot does not stay empty for the
# round trip between owner and target: one, and what is in transit on a longer way.
_SENT_AHEAD = 1
_WEIGHT = 0.1
# The shortest answer counts less with each further one.
_SHORTEST_GROWTH = 1.02
_INITIAL_HOLD_S = 0.015
_MIN_HOLD_S = 0.0001
_MAX_WAITING = 512
# After one that was late has been given up, late ones are refused for this long: the
# overload lasts, and what meets its aim takes all turns.
_LATE_PAUSE_S = 0.5

T = t.TypeVar("T")


class Refused(Exception):
    """Report that a statement's turn would come after its deadline.

    `wait_s` is the expected wait in seconds.
    """

    def __init__(self, wait_s: float):
        super().__init__(f"the expected wait for a slot is {wait_s:.2f} s")
        self.wait_s = wait_s


class TurnQueue(t.Generic[T]):
    """Hold what runs on a target's slots and what waits for them.

    Times are seconds of one clock.
    """

    def __init__(self, slots: int):
        self._slots = max(1, slots)
        self.running = 0
        self._hold_s = _INITIAL_HOLD_S
        # The shortest time of an answer: mostly the round trip.
        self._shortest_s = 0.0
        # Mean time between two turns while statements wait: transactions that are under
        # way, and other proxies, take slots too.
        self._interval_s = _INITIAL_HOLD_S / self._slots
        self._turn_at: float | None = None
        self._numbers = itertools.count()
        self._waiting: list[_Entry[T]] = []
        self._late_refused_until = float("-inf")
        self._shed: list[T] = []

    @property
    def limit(self) -> int:
        """Return how many statements are sent to the target at a time."""
        # What takes a constant time looks like a round trip, hence at most a half.
        transit_s = min(self._shortest_s, self._hold_s / 2.0)
        in_transit = round(self._slots * transit_s / (self._hold_s - transit_s))
        return self._slots + _SENT_AHEAD + in_transit

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait."""
        return len(self._waiting)

    def expected_wait_s(self, ahead: int) -> float:
        """Return the expected wait behind `ahead` waiting statements, in seconds."""
        if self.running < self.limit and not ahead:
            return 0.0
        return (ahead + 1) * self._interval_s

    def enter(self) -> None:
        """Record a statement that takes its slot without waiting."""
        self.running += 1

    def offer(self, item: T, urgency: Urgency, now: float) -> bool:
        """Return whether a statement may run now; else it waits. Raises Refused.

        Of what waits, it delays beyond its aim only what is less urgent.
        """
        if self.running < self.limit and not self._waiting:
            self.running += 1
            return True
        number = next(self._numbers)
        entry = _Entry((False, urgency.priority, urgency.aim, number), item, urgency)
        place, wait_s = self._place(entry)
        if len(self._waiting) >= _MAX_WAITING:
            raise Refused(wait_s)
        if self._is_in_time(entry, place, now) and self._leaves_aims(entry, place, now):
            self._insert(entry, place, now)
            return False
        late = _Entry((True, urgency.priority, urgency.deadline, number), item, urgency)
        place, _ = self._place(late)
        accepts_late = urgency.accepts_late and now >= self._late_refused_until
        if not accepts_late or not self._is_in_time(late, place, now):
            raise Refused(wait_s)
        self._insert(late, place, now)
        return False

    def _place(self, entry: "_Entry[T]") -> tuple[int, float]:
        """Return the place of an entry and the expected wait there."""
        place = bisect.bisect(self._waiting, entry.key, key=_key)
        return place, self.expected_wait_s(place)

    def _leaves_aims(self, entry: "_Entry[T]", place: int, now: float) -> bool:
        """Return whether an entry delays nothing as urgent beyond its aim."""
        return all(
            other.key[:2] > entry.key[:2] or self._is_in_time(other, number, now)
            for number, other in enumerate(self._waiting[place:], place + 1)
        )

    def _insert(self, entry: "_Entry[T]", place: int, now: float) -> None:
        """Insert an entry; what it makes late goes behind, or is shed."""
        behind, self._waiting[place:] = self._waiting[place:], [entry]
        late: list[_Entry[T]] = []
        for other in behind:
            if self._is_in_time(other, len(self._waiting), now):
                self._waiting.append(other)
            else:
                late.append(other)
        for other in late:
            key = (True, other.urgency.priority, other.urgency.deadline, other.key[3])
            demoted = _Entry(key, other.item, other.urgency)
            place, _ = self._place(demoted)
            if other.urgency.accepts_late and self._is_in_time(demoted, place, now):
                self._waiting.insert(place, demoted)
            else:
                self._late_refused_until = now + _LATE_PAUSE_S
                self._shed.append(other.item)

    def take_shed(self) -> list[T]:
        """Return the statements that were shed since the last call."""
        shed, self._shed = self._shed, []
        return shed

    def leave(self, hold_s: float | None) -> None:
        """Record that a statement has left its slot, after `hold_s` if it ran."""
        if hold_s is not None:
            hold_s = max(_MIN_HOLD_S, hold_s)
            self._hold_s += _WEIGHT * (hold_s - self._hold_s)
            grown_s = self._shortest_s * _SHORTEST_GROWTH
            self._shortest_s = min(hold_s, grown_s or hold_s)
            if not self._waiting:
                # Beyond the slots, a statement waits in the target for others.
                share = min(1.0, self._slots / max(1, self.running))
                self._record_interval(hold_s * share / self._slots)
        self.running -= 1

    def withdraw(self, item: T) -> None:
        """Remove a statement that waits, if it does."""
        self._waiting = [entry for entry in self._waiting if entry.item is not item]

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """Return the statements that run now and those whose time does not suffice."""
        granted: list[T] = []
        expired: list[T] = []
        while self._waiting and self.running < self.limit:
            entry = self._waiting.pop(0)
            if entry.urgency.deadline <= now + self._shortest_s:
                self._late_refused_until = now + _LATE_PAUSE_S
                expired.append(entry.item)
                continue
            self.running += 1
            granted.append(entry.item)
            if self._turn_at is not None:
                self._record_interval(now - self._turn_at)
            self._turn_at = now
        if not self._waiting:
            self._turn_at = None
        return granted, expired

    def _is_in_time(self, entry: "_Entry[T]", ahead: int, now: float) -> bool:
        """Return whether a statement is answered in time behind others."""
        turn_at = now + (ahead + 1) * self._interval_s
        return turn_at + self._hold_s <= entry.key[2]

    def _record_interval(self, interval_s: float) -> None:
        self._interval_s += _WEIGHT * (interval_s - self._interval_s)


class _Entry(t.NamedTuple, t.Generic[T]):
    # Whether it is behind those that are in time for their aim; priority; time until
    # which its answer must come; number.
    key: tuple[bool, int, float, int]
    item: T
    urgency: Urgency


def _key(entry: "_Entry[t.Any]") -> tuple[bool, int, float, int]:
    return entry.key
