"""Estimate the state of a target from its answers."""

import dataclasses

from rosemaryridge.core._pool import Pool
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# Minimum weight of one answer in the moving average of the latency.
_MIN_LATENCY_WEIGHT = 0.15
# Half-life of an average latency to which no sample is added; a sample after this time
# replaces the average.
_HALF_LIFE_S = 4.0
# Latency assumed for a target without samples.
_DEFAULT_LATENCY_S = 0.03
# Added to the age of a position that a replica lacked, to estimate the replica's lag.
_LAG_MARGIN_S = 0.03
_LAG_MAX_S = 10.0
# Period of trying a replica that lags, to detect that it has caught up.
_LAG_PROBE_PERIOD_S = 0.25


@dataclasses.dataclass(slots=True)
class Target:
    """Hold a target's registration, its connections and what its answers showed."""

    info: TargetInfo
    pool: Pool
    outstanding: int = 0
    latency_s: float = _DEFAULT_LATENCY_S
    # Loop time of the last latency sample.
    sampled_at: float = 0.0
    # Newest position that the target is known to have applied.
    applied: Position = ORIGIN
    # Estimated lag of the replica behind the primary, in seconds.
    lag_s: float = 0.05
    # Loop time from which a replica that probably lacks a read's position may be tried
    # again.
    lag_probe_at: float = 0.0
    # Loop time of the last answer.
    last_response_at: float = 0.0
    # Loop time since which the target has been unresponsive, None while it answers.
    unresponsive_since: float | None = None
    # Loop time at which its address last refused a connection or was another target's,
    # None since the target answered or a connection was opened.
    refused_at: float | None = None
    draining: bool = False
    # Loop time from when a draining target gets no new work.
    drain_ends_at: float = float("inf")
    removed_at: float | None = None

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.info.id

    @property
    def stays(self) -> bool:
        """Return whether the target is registered and not about to leave."""
        return self.removed_at is None and not self.draining

    @property
    def is_responsive(self) -> bool:
        """Return whether the target answers and its address takes connections."""
        return self.unresponsive_since is None and self.refused_at is None

    def takes_work(self, now: float) -> bool:
        """Return whether a statement or transaction may still be sent to it."""
        return now < self.drain_ends_at

    def record_response(self, now: float) -> None:
        """Record any answer of the target."""
        self.last_response_at = now
        self.unresponsive_since = None
        self.refused_at = None

    def mark_unresponsive(self, now: float) -> None:
        """Record that the target did not answer in time."""
        if self.unresponsive_since is None:
            self.unresponsive_since = now

    def record_latency(self, latency_s: float, now: float) -> None:
        """Record the latency of a statement, in seconds."""
        weight = max(
            _MIN_LATENCY_WEIGHT, min(1.0, (now - self.sampled_at) / _HALF_LIFE_S)
        )
        self.latency_s += weight * (latency_s - self.latency_s)
        self.sampled_at = now
        self.pool.admission.record_answer(latency_s)

    def record_refusal(self, now: float) -> None:
        """Record that the target refused a statement: its slots and queue are full."""
        self.pool.admission.record_queue_full(now)

    def record_missing_position(self, age_s: float, now: float) -> None:
        """Record that the target's log lacked a position of an age in seconds."""
        self.lag_probe_at = now + _LAG_PROBE_PERIOD_S
        self.lag_s = min(_LAG_MAX_S, max(self.lag_s, age_s + _LAG_MARGIN_S))

    def record_held_position(self, age_s: float, position: Position) -> None:
        """Record that the target's log held a position of an age in seconds."""
        self.applied = max(self.applied, position)
        if age_s < self.lag_s:
            self.lag_s = max(age_s, 0.7 * self.lag_s)

    def probably_lacks(self, position: Position, age_s: float) -> bool:
        """Return whether the log probably lacks a position of an age in seconds."""
        return self.applied < position and self.lag_s > age_s

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency of one more statement, in seconds."""
        weight = 0.5 ** ((now - self.sampled_at) / _HALF_LIFE_S)
        latency_s = weight * self.latency_s + (1.0 - weight) * _DEFAULT_LATENCY_S
        limit = max(1, self.pool.limit)
        return latency_s * (1.0 + self.outstanding / limit)
