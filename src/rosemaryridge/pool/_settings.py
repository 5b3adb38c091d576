"""Define what the pools can be tuned by."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Tune queues and connections of one proxy.

    `fleet_size` is the largest number of proxies that the operator runs; each may
    always use that part of a target's connections. `reserved_connections` are kept
    free on each target for control. `idle_check_s` is the idle time after which a
    connection is tested before it is used.
    """

    fleet_size: int = 21
    reserved_connections: int = 3
    max_opening: int = 2
    open_gap_s: float = 0.02
    open_timeout_s: float = 2.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 2.0
    idle_check_s: float = 1.0
    idle_check_timeout_s: float = 0.5
    idle_close_s: float = 60.0
    business_active_s: float = 5.0
