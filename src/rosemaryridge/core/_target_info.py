"""Define the registration of a target."""

import dataclasses

from rosemaryridge.model import Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """Hold a target's registration.

    `started_ms` is the Unix time of its start in milliseconds; a target that restarts
    under the same id has lost its data. `claims_primary` is the target's own view;
    a deposed primary may still claim the role.
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
