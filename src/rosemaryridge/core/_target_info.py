"""Define the registration of a target."""

import dataclasses

from rosemaryridge.model import Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """Hold a target's registration.

    `started_ms` is the Unix time of its start in milliseconds; a target that restarts
    under the same id has lost its data. `slots` is the number of statements that it
    runs concurrently. `claims_primary` is the target's own view; a deposed primary may
    still claim the role. `warmup_s` is the rest of its warm-up in seconds. `sequence`
    counts the reports of the process.
    """

    id: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    started_ms: int
    draining: bool = False
    claims_primary: bool = False
    warmup_s: float = 0.0
    sequence: int = 0

    def is_same_process(self, other: "TargetInfo") -> bool:
        """Return whether both are registrations of one process."""
        return self.started_ms == other.started_ms and self.endpoint == other.endpoint

    def is_older_than(self, other: "TargetInfo") -> bool:
        """Return whether this is an earlier registration of the same target."""
        mine, theirs = (
            (self.started_ms, self.sequence),
            (
                other.started_ms,
                other.sequence,
            ),
        )
        return mine < theirs
