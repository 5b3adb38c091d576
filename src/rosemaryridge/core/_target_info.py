"""Define what a target reports of itself."""

import dataclasses

from rosemaryridge.model import Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """Hold a target's registration.

    `started_ms` is the Unix time of its start; a target that starts again under
    the same id holds nothing of before. `claims_primary` is its own view, which a
    deposed primary may still hold.
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
