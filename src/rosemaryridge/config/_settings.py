"""Define the settings of one proxy process, a data class for each section."""

import dataclasses

from rosemaryridge.fields import Count
from rosemaryridge.fields import Name
from rosemaryridge.fields import Positive
from rosemaryridge.fields import Seconds
from rosemaryridge.fields import Share
from rosemaryridge.fields import setting
from rosemaryridge.model import Endpoint
from rosemaryridge.objects import PlatformSettings
from rosemaryridge.peer import BusSettings
from rosemaryridge.telemetry import LogLevel

_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CallersSettings:
    """Serve callers."""

    listen: Endpoint = setting(Endpoint("127.0.0.1", 6432), "Address for callers.")
    max_callers: Positive = setting(
        12_000, "Caller connections served at once.", live=True
    )
    max_statement_bytes: Positive = setting(
        1024 * _KIB, "Largest statement, in bytes.", live=True
    )
    login_timeout_s: Seconds = setting(10.0, "Time for a caller to log in.")


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSettings:
    """Communicate with the other proxies."""

    listen: Endpoint = setting(
        Endpoint("127.0.0.1", 6433),
        "Address for other proxies, which is announced to them.",
    )
    seeds: tuple[Endpoint, ...] = setting(
        (), "Proxies to ask when the object API is down."
    )
    bus: BusSettings = BusSettings()
    ask_timeout_s: Seconds = setting(2.0, "Time for a peer to answer a request.")


@dataclasses.dataclass(frozen=True, slots=True)
class AdminSettings:
    """Serve health, metrics and status pages."""

    listen: Endpoint = setting(
        Endpoint("127.0.0.1", 6434), "Address for /healthz, /metrics and /status."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ServicesSettings:
    """Follow the published services."""

    watchers: Positive = setting(
        6,
        "Proxies that watch the object API for the fleet, spread over failure domains.",
    )
    watch_wait_s: Seconds = setting(
        3.0,
        "Longest wait of one watch; its answer shows that the connection still works.",
    )
    rearm_s: Seconds = setting(
        0.5, "Pause after changes, so that the next watch returns several at once."
    )
    jitter: Share = setting(0.3, "Share by which waits and pauses vary at random.")
    backstop_s: Seconds = setting(
        60.0, "Time between two reads by a proxy that is not a watcher."
    )
    peers_first_s: Seconds = setting(
        1.0, "Time that a starting proxy waits for its peers before it reads by itself."
    )
    retry_min_s: Seconds = setting(0.5, "First pause after a failed call.")
    retry_max_s: Seconds = setting(10.0, "Longest pause after failed calls.")
    exchange_s: Seconds = setting(2.0, "Time between two comparisons with a peer.")
    ask_timeout_s: Seconds = setting(2.0, "Time for a peer to send revisions.")


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsSettings:
    """Log in to targets."""

    user: Name = setting("rosemaryridge", "Role that the proxy logs in with.")
    password: str = setting("", "Password of the role.", secret=True)
    password_file: str = setting("", "File that holds the password instead.")
    connect_timeout_s: Seconds = setting(2.0, "Time to open a connection.")
    silent_timeout_s: Seconds = setting(
        2.0, "Time without an answer after which a connection is suspected."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSettings:
    """Watch database groups and replace a failed primary."""

    poll_period_s: Seconds = setting(0.25, "Time between two status polls.")
    retry_period_s: Seconds = setting(
        0.1, "Time between polls of an unresponsive target."
    )
    status_timeout_s: Seconds = setting(
        0.3, "Time for a target to answer a control command."
    )
    jitter: Share = setting(0.1, "Share by which periods vary at random.")
    suspicion_s: Seconds = setting(
        0.4, "Time without an answer after which a primary is suspected."
    )
    report_ttl_s: Seconds = setting(
        1.0, "Time for which another proxy's report is used."
    )
    isolation_s: Seconds = setting(
        0.5, "Time without replicas after which a reachable primary is replaced."
    )
    takeover_step_s: Seconds = setting(
        0.15, "Delay before a takeover, multiplied by the rank of the watcher."
    )
    takeover_timeout_s: Seconds = setting(
        0.6, "Time for one takeover, after which another watcher may start one."
    )
    repair_s: Seconds = setting(
        2.0, "Time for which a target may be fenced at a higher term than its group's."
    )
    pause_s: Seconds = setting(
        0.5, "Delay of a timer from which a pause of this process is assumed."
    )
    delta_period_s: Seconds = setting(
        0.25, "Time between two messages about a group to proxies that do not watch."
    )
    interest_s: Seconds = setting(
        5.0, "Time for which a group is polled after its last use by a proxy."
    )
    acknowledge_pace_s: Seconds = setting(
        0.003, "Pause between two polls for the same waiting write."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limit and share connections to targets."""

    fleet_size: Positive = setting(
        21,
        "Largest number of proxies; each gets an equal part of a target's guaranteed "
        "connections.",
    )
    reserved_connections: Count = setting(
        3, "Connections of each target that are reserved for control."
    )
    max_opening: Positive = setting(2, "Connections opened to a target at once.")
    open_gap_s: Seconds = setting(0.02, "Minimum time between two openings.")
    open_timeout_s: Seconds = setting(2.0, "Time to open a connection.")
    backoff_min_s: Seconds = setting(0.05, "First pause after a failed opening.")
    backoff_max_s: Seconds = setting(2.0, "Longest pause after failed openings.")
    idle_check_s: Seconds = setting(
        1.0, "Idle time after which a connection is tested before it is used."
    )
    idle_check_timeout_s: Seconds = setting(
        0.5, "Time for the test of an idle connection."
    )
    idle_close_s: Seconds = setting(
        60.0, "Idle time after which a connection is closed."
    )
    business_active_s: Seconds = setting(
        5.0, "Time for which a business counts as active after a request."
    )
    base_ratio: Share = setting(
        0.5,
        "Share of the connections that is guaranteed to proxies; the rest is leased.",
    )
    lease_s: Seconds = setting(10.0, "Time for which connections are leased.")
    lease_renew_s: Seconds = setting(3.0, "Time between two renewals of a lease.")
    lease_hurry_s: Seconds = setting(
        0.25, "Time between two renewals while requests wait."
    )
    lease_linger_s: Seconds = setting(
        4.0, "Time before a lease ends from which no new work uses it."
    )
    reign_s: Seconds = setting(20.0, "Time for which a proxy is the lease allocator.")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Track which proxies and targets are live or leaving."""

    full_mesh: Positive = setting(
        24, "Largest number of members at which every pair keeps a stream."
    )
    neighbours: Positive = setting(
        4, "Streams that each member chooses in a larger fleet."
    )
    tick_s: Seconds = setting(0.25, "Time between two checks of suspicions.")
    doubt_s: Seconds = setting(
        1.0, "Time without a stream after which a neighbour is suspected."
    )
    confirm_s: Seconds = setting(
        3.0,
        "Time after which a suspected member that does not respond is declared dead.",
    )
    redoubt_s: Seconds = setting(10.0, "Time between two suspicions of one member.")
    digest_s: Seconds = setting(10.0, "Time between two comparisons with a peer.")
    rejoin_s: Seconds = setting(
        1.0, "Time between two contacts while no peer is connected."
    )
    forget_s: Seconds = setting(
        7200.0, "Time for which the record of a dead member is stored."
    )
    vms_period_s: Seconds = setting(
        2.0, "Minimum time between two reads of the VM list."
    )
    vms_calls_per_s: Positive = setting(
        8, "Reads of the VM list that the whole fleet may make in a second."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """Shut down without interrupting requests."""

    deadline_s: Seconds = setting(30.0, "Time for open transactions to end.", live=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Write log lines."""

    level: LogLevel = setting(LogLevel.INFO, "Lowest level that is written.", live=True)
    repeat_limit: Positive = setting(
        5, "Equal lines that are written in one period.", live=True
    )
    repeat_period_s: Seconds = setting(
        10.0, "Period after which the number of suppressed lines is written.", live=True
    )
    actions: bool = setting(
        False, "Whether each request writes its action tree.", live=True
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FaultSettings:
    """Violate guarantees on purpose, to prove that the tests detect it."""

    enabled: bool = setting(False, "Whether the other fault switches may be set.")
    acknowledge_early: bool = setting(
        False, "Acknowledge writes before a majority holds them."
    )
    skip_fencing: bool = setting(False, "Promote without fencing.")
    retry_unknown: bool = setting(False, "Repeat writes whose outcome is unknown.")
    ignore_token: bool = setting(False, "Route reads without the session's position.")
    reuse_abandoned: bool = setting(
        False, "Reuse connections with outstanding answers."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ProxySettings:
    """Hold the settings of one proxy process."""

    vm: Name = setting(doc="Name of the VM that the process runs on.")
    failure_domain: Name = setting(doc="Failure domain of the VM.")
    platform: PlatformSettings = setting(
        doc="Settings of calls to the platform's object API."
    )
    region: str = setting("", "Region of the VM.")
    seed: Count = setting(0, "Seed of all random choices; 0 draws a seed at the start.")
    callers: CallersSettings = CallersSettings()
    peers: PeersSettings = PeersSettings()
    admin: AdminSettings = AdminSettings()
    services: ServicesSettings = ServicesSettings()
    targets: TargetsSettings = TargetsSettings()
    group: GroupSettings = GroupSettings()
    pool: PoolSettings = PoolSettings()
    membership: MembershipSettings = MembershipSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
    faults: FaultSettings = FaultSettings()
