"""Judge one target by what its answers showed."""

import dataclasses

from rosemaryridge.core._pool import Pool
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# How much one answer moves the average latency.
_LATENCY_WEIGHT = 0.15
# An average nothing was added to for this long is half forgotten.
_FORGET_S = 4.0
# What a first statement is expected to take.
_FIRST_LATENCY_S = 0.03
# A replica that lacked a position is tried again for others of that age sooner
# than this much later.
_LAG_MARGIN_S = 0.03
_LAG_MAX_S = 10.0
# A replica that lags is tried this often, to notice that it has caught up.
_LAG_PROBE_S = 0.25


@dataclasses.dataclass(slots=True)
class Target:
    """Hold a target's registration, connections and the evidence about it."""

    info: TargetInfo
    pool: Pool
    outstanding: int = 0
    latency_s: float = _FIRST_LATENCY_S
    sampled_at: float = 0.0
    applied: Position = ORIGIN
    # How far behind the primary the replica seems to apply, in seconds.
    lag_s: float = 0.05
    # When a read that it probably lags behind may be tried again.
    lag_probe_at: float = 0.0
    heard_at: float = 0.0
    # Since when nothing has answered, None while it does.
    silent_since: float | None = None
    refused_at: float | None = None
    leaving: bool = False
    removed_at: float | None = None

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.info.id

    def heard(self, now: float) -> None:
        """Take in that the target answered anything."""
        self.heard_at = now
        self.silent_since = None
        self.refused_at = None

    def mark_unresponsive(self, now: float) -> None:
        """Take in that the target did not answer in time."""
        if self.silent_since is None:
            self.silent_since = now

    def answered(self, latency_s: float, now: float) -> None:
        """Take in how long a statement took."""
        weight = max(_LATENCY_WEIGHT, min(1.0, (now - self.sampled_at) / _FORGET_S))
        self.latency_s += weight * (latency_s - self.latency_s)
        self.sampled_at = now
        self.pool.admission.answered(latency_s)

    def full(self, now: float) -> None:
        """Take in that the target's slots and queue are taken."""
        self.pool.admission.full(now)

    def lacked(self, age_s: float, now: float) -> None:
        """Take in that the log lacked a position that old."""
        self.lag_probe_at = now + _LAG_PROBE_S
        self.lag_s = min(_LAG_MAX_S, max(self.lag_s, age_s + _LAG_MARGIN_S))

    def held(self, age_s: float, position: Position) -> None:
        """Take in that the log held a position that old."""
        self.applied = max(self.applied, position)
        if age_s < self.lag_s:
            self.lag_s = max(age_s, 0.7 * self.lag_s)

    def lags(self, position: Position, age_s: float) -> bool:
        """Return whether the log probably lacks a position that old."""
        return self.applied < position and self.lag_s > age_s

    def expected_latency_s(self, now: float) -> float:
        """Return what one more statement may take here."""
        kept = 0.5 ** ((now - self.sampled_at) / _FORGET_S)
        latency_s = kept * self.latency_s + (1.0 - kept) * _FIRST_LATENCY_S
        lanes = max(1, self.pool.limit)
        return latency_s * (1.0 + self.outstanding / lanes)
