"""Limit the concurrent statements and the idle connections of a target."""

import random

# The concurrency limit grows by one after about this many answers per statement that it
# allows.
_ANSWERS_PER_GROWTH = 8.0
# A refusal for a full queue multiplies the concurrency limit by this factor.
_CONCURRENCY_DECREASE = 0.7
# A queue of 24 statements for 3 slots empties by half in about 100 ms. Each further
# refusal doubles the spacing, up to one statement per second.
_SPACING_MIN_S = 0.05
_SPACING_MAX_S = 1.0
# Refusals within this time belong to statements sent together and count once.
_REFUSAL_BURST_S = 0.02
# Each answer multiplies the spacing by this factor. One refusal per twenty statements
# leaves the spacing unchanged: that is half of the 10% by which attempts may exceed
# requests.
_SPACING_DECAY = 0.965
# A full queue of 24 for 6 slots makes a statement take five times its own work. A
# statement faster than this ratio of the mean shows that the queue has emptied.
_EMPTY_QUEUE_HOLD_RATIO = 0.5
_SPACING_DECAY_EMPTY_QUEUE = 0.5
# Weight of one statement in the mean time that statements occupy a slot.
_HOLD_WEIGHT = 0.1
# Initial value of that mean.
_INITIAL_HOLD_S = 0.05
# Targets close connections that have been idle for 60 s.
_IDLE_MAX_S = 50.0
_IDLE_MAX_AFTER_FULL_S = 4.0
_IDLE_MIN_S = 0.25
# Each opened connection multiplies the idle timeout by this factor.
_IDLE_GROWTH = 1.05
# Idle timeout of connections beyond the first, which serve bursts: after all proxies
# lose power at once, targets count the lost connections for another 3 s, so room must
# remain for new ones.
_IDLE_SPARE_S = 2.0
# Idle timeout if there are fewer connections than proxies: with one statement per proxy
# every 1.4 s, it lets a third of the proxies hold a connection at any time. The other
# proxies then find room to connect after a power loss.
_IDLE_SCARCE_S = 0.5


class Admission:
    """Share a target's slots among proxies without coordination per request.

    It handles a burst of more statements than the target has slots: a refusal for a
    full queue lowers this proxy's concurrency limit and increases the spacing between
    its statements; answers reverse both. The expected wait lets the pool reject a
    statement that would get its connection only after its deadline. The spacing allows
    less than one concurrent statement per proxy, which many proxies with few slots
    require.
    """

    __slots__ = (
        "_concurrency",
        "_last_full_at",
        "_max_concurrency",
        "_mean_hold_s",
        "_next_send_at",
        "_rng",
        "_spacing_s",
    )

    def __init__(self, limit: int, rng: random.Random):
        self._max_concurrency = max(1, limit)
        self._rng = rng
        self._concurrency = float(self._max_concurrency)
        self._mean_hold_s = _INITIAL_HOLD_S
        self._spacing_s = 0.0
        self._next_send_at = float("-inf")
        self._last_full_at = float("-inf")

    @property
    def concurrency_limit(self) -> int:
        """Return the maximum number of concurrent statements."""
        return max(1, int(self._concurrency))

    def resize(self, limit: int) -> None:
        """Set the upper bound of the concurrency limit: the number of connections."""
        grown = limit > self._max_concurrency
        self._max_concurrency = max(1, limit)
        self._concurrency = (
            float(limit) if grown else min(self._concurrency, self._max_concurrency)
        )

    def paused_s(self, now: float) -> float:
        """Return the seconds until the next statement may be sent, 0 if it may now."""
        return max(0.0, self._next_send_at - now)

    def record_sent(self, now: float) -> None:
        """Record that a statement is sent."""
        self._schedule_next_send(now)

    def record_queue_full(self, now: float) -> None:
        """Record that the target refused a statement because its queue is full."""
        if now - self._last_full_at < max(_REFUSAL_BURST_S, 0.5 * self._spacing_s):
            return
        self._last_full_at = now
        self._concurrency = max(1.0, _CONCURRENCY_DECREASE * self._concurrency)
        spacing_s = max(_SPACING_MIN_S, 2.0 * self._spacing_s)
        self._spacing_s = min(_SPACING_MAX_S, spacing_s)
        self._schedule_next_send(now)

    def record_answer(self, hold_s: float) -> None:
        """Record that a statement ran and occupied a slot for `hold_s` seconds."""
        queue_empty = hold_s < _EMPTY_QUEUE_HOLD_RATIO * self._mean_hold_s
        self._spacing_s *= _SPACING_DECAY_EMPTY_QUEUE if queue_empty else _SPACING_DECAY
        self._mean_hold_s += _HOLD_WEIGHT * (hold_s - self._mean_hold_s)
        if self._spacing_s < _SPACING_MIN_S / 2.0:
            self._spacing_s = 0.0
        grown = self._concurrency + 1.0 / (_ANSWERS_PER_GROWTH * self._concurrency)
        self._concurrency = min(float(self._max_concurrency), grown)

    def expected_wait_s(self, ahead: int, now: float) -> float:
        """Return the expected wait in seconds behind `ahead` waiting statements."""
        interval_s = max(self._spacing_s, self._mean_hold_s / self.concurrency_limit)
        return self.paused_s(now) + (ahead + 1) * interval_s

    def _schedule_next_send(self, now: float) -> None:
        if self._spacing_s:
            self._next_send_at = now + self._spacing_s * self._rng.uniform(0.5, 1.5)


class IdlePolicy:
    """Adapt the idle timeout of connections to how scarce they are.

    A target may have fewer connections than there are proxies. Each refusal by a
    full target shortens the timeout, each opened connection lengthens it.
    """

    __slots__ = ("scarce", "spare_s", "timeout_s")

    def __init__(self) -> None:
        self.timeout_s = _IDLE_MAX_S
        # Idle timeout of connections beyond the first.
        self.spare_s = _IDLE_SPARE_S
        # Whether there are fewer connections than proxies.
        self.scarce = False

    def timeout_for(self, idle: int) -> float:
        """Return the idle timeout in seconds of the oldest of `idle` connections."""
        if self.scarce:
            return min(self.timeout_s, _IDLE_SCARCE_S)
        return min(self.timeout_s, self.spare_s) if idle > 1 else self.timeout_s

    def record_refusal(self) -> None:
        """Record that the target refused a connection because it is full."""
        shorter = min(self.timeout_s, _IDLE_MAX_AFTER_FULL_S) / 2.0
        self.timeout_s = max(_IDLE_MIN_S, shorter)

    def record_opened(self) -> None:
        """Record that a connection was opened."""
        self.timeout_s = min(_IDLE_MAX_S, _IDLE_GROWTH * self.timeout_s)
