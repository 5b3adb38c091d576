"""Decide how many statements run at a target at once, and who need not wait."""

import random

# A window grows by one after about this many answers a lane.
_GROWTH_ANSWERS = 8.0
# A window shrinks to this share when the target is full.
_SHRINK = 0.7
# A queue of 24 before 3 slots drains by a half in about 100 ms. A target that stays
# full is sent statements half as often each time, at least one a second.
_SPACING_MIN_S = 0.05
_SPACING_MAX_S = 1.0
# Refusals this close together are of statements sent together, and count once.
_TOGETHER_S = 0.02
# Each answer shortens the spacing to this share: one refusal in twenty statements
# keeps it as it is, half of the tenth that attempts may exceed requests by.
_SPACING_DECAY = 0.965
# A full queue of 24 before 6 slots makes a statement take five times its work: one that
# takes less than this share of the usual time shows that the queue has drained.
_DRAINED_SHARE = 0.5
_DRAINED_DECAY = 0.5
# How much one statement moves the average time that a lane is held.
_HELD_WEIGHT = 0.1
# What a first statement is expected to take.
_FIRST_HELD_S = 0.05


class Admission:
    """Share a target's slots among proxies without a call a request.

    It answers a burst beyond the slots: a target that refuses for a full queue
    narrows the window of each proxy and spaces its statements, answers undo that,
    and a statement whose turn would come after its deadline is refused at once. The
    spacing makes less than one statement a proxy at a time possible, as many
    proxies before few slots need.
    """

    __slots__ = (
        "_full_at",
        "_held_s",
        "_most",
        "_next_at",
        "_rng",
        "_spacing_s",
        "_window",
    )

    def __init__(self, most: int, rng: random.Random):
        self._most = max(1, most)
        self._rng = rng
        self._window = float(self._most)
        self._held_s = _FIRST_HELD_S
        self._spacing_s = 0.0
        self._next_at = float("-inf")
        self._full_at = float("-inf")

    @property
    def lanes(self) -> int:
        """Return how many statements may run at once."""
        return max(1, int(self._window))

    def resize(self, most: int) -> None:
        """Change how many connections there may be."""
        grown = most > self._most
        self._most = max(1, most)
        self._window = float(most) if grown else min(self._window, self._most)

    def paused_s(self, now: float) -> float:
        """Return for how long no statement is sent."""
        return max(0.0, self._next_at - now)

    def sent(self, now: float) -> None:
        """Take in that a statement is sent."""
        self._space(now)

    def full(self, now: float) -> None:
        """Take in that the target refused a statement for a full queue."""
        if now - self._full_at < max(_TOGETHER_S, 0.5 * self._spacing_s):
            return
        self._full_at = now
        self._window = max(1.0, _SHRINK * self._window)
        longer = max(_SPACING_MIN_S, 2.0 * self._spacing_s)
        self._spacing_s = min(_SPACING_MAX_S, longer)
        self._space(now)

    def answered(self, held_s: float) -> None:
        """Take in that a statement ran, and for how long it held its lane."""
        drained = held_s < _DRAINED_SHARE * self._held_s
        self._spacing_s *= _DRAINED_DECAY if drained else _SPACING_DECAY
        self._held_s += _HELD_WEIGHT * (held_s - self._held_s)
        if self._spacing_s < _SPACING_MIN_S / 2.0:
            self._spacing_s = 0.0
        grown = self._window + 1.0 / (_GROWTH_ANSWERS * self._window)
        self._window = min(float(self._most), grown)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return when a lane comes free for a statement with some ahead of it."""
        each_s = max(self._spacing_s, self._held_s / self.lanes)
        return self.paused_s(now) + (ahead + 1) * each_s

    def _space(self, now: float) -> None:
        if self._spacing_s:
            self._next_at = now + self._spacing_s * self._rng.uniform(0.5, 1.5)


# Targets close connections that were idle for 60 s by themselves.
_KEEP_MOST_S = 50.0
_KEEP_FIRST_FULL_S = 4.0
_KEEP_LEAST_S = 0.25
# After a refusal, idle connections are kept longer again at this rate.
_KEEP_GROWTH = 1.05


# Connections beyond the first are for bursts. When all proxies lose power at once,
# targets count their connections for 3 s more, and room must be left beside them.
_KEEP_SPARE_S = 2.0
# Where there are fewer connections than proxies, a third of the proxies that send one
# statement in 1.4 s holds one at this time; the others have room after a loss of power.
_KEEP_SCARCE_S = 0.5


class Keeping:
    """Decide how long an idle connection is kept while connections are scarce.

    It answers more proxies than a target has connections: each refusal for a full
    target shortens the time, each connection opened lengthens it.
    """

    __slots__ = ("keep_s", "scarce")

    def __init__(self) -> None:
        self.keep_s = _KEEP_MOST_S
        # Whether there is less than one connection for each proxy.
        self.scarce = False

    def idle_s(self, idle: int) -> float:
        """Return how long the oldest of some idle connections is kept."""
        if self.scarce:
            return min(self.keep_s, _KEEP_SCARCE_S)
        return min(self.keep_s, _KEEP_SPARE_S) if idle > 1 else self.keep_s

    def refused(self) -> None:
        """Take in that the target has no connection to spare."""
        shorter = min(self.keep_s, _KEEP_FIRST_FULL_S) / 2.0
        self.keep_s = max(_KEEP_LEAST_S, shorter)

    def opened(self) -> None:
        """Take in that the target had a connection to spare."""
        self.keep_s = min(_KEEP_MOST_S, _KEEP_GROWTH * self.keep_s)
