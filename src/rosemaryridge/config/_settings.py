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
        12_000, "Callers' connections served at once.", live=True
    )
    max_statement_bytes: Positive = setting(
        1024 * _KIB, "Largest statement, in bytes.", live=True
    )
    login_timeout_s: Seconds = setting(10.0, "Time for a caller to log in.")


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSettings:
    """Talk to the other proxies."""

    listen: Endpoint = setting(
        Endpoint("127.0.0.1", 6433), "Address for other proxies, told to them as well."
    )
    seeds: tuple[Endpoint, ...] = setting(
        (), "Proxies to ask when the object API is down."
    )
    bus: BusSettings = BusSettings()
    ask_timeout_s: Seconds = setting(2.0, "Time for a peer to answer.")


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
        6, "Proxies that watch the object API for all, spread over failure domains."
    )
    watch_wait_s: Seconds = setting(30.0, "Longest wait of one watch.")
    rearm_s: Seconds = setting(
        0.5, "Pause after changes, so that one watch takes up several."
    )
    jitter: Share = setting(0.3, "Share by which waits and pauses vary.")
    backstop_s: Seconds = setting(
        60.0, "Time between two reads by a proxy that does not watch."
    )
    peers_first_s: Seconds = setting(
        1.0, "Time that a starting proxy gives its peers before it reads by itself."
    )
    retry_min_s: Seconds = setting(0.5, "First pause after a failed call.")
    retry_max_s: Seconds = setting(10.0, "Longest pause after failed calls.")
    exchange_s: Seconds = setting(2.0, "Time between two comparisons with a peer.")
    ask_timeout_s: Seconds = setting(2.0, "Time for a peer to give revisions.")


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
    retry_period_s: Seconds = setting(0.1, "Time between polls of a silent target.")
    status_timeout_s: Seconds = setting(0.3, "Time for a target to answer a verb.")
    jitter: Share = setting(0.1, "Share by which periods vary.")
    suspicion_s: Seconds = setting(0.4, "Silence after which a primary is suspected.")
    report_ttl_s: Seconds = setting(1.0, "Time that another proxy's report counts.")
    isolation_s: Seconds = setting(
        0.5, "Time without replicas after which a reachable primary is replaced."
    )
    takeover_step_s: Seconds = setting(
        0.15, "Pause that each rank of watchers waits before it takes over."
    )
    takeover_timeout_s: Seconds = setting(
        0.6, "Time for one takeover, after which another watcher begins."
    )
    repair_s: Seconds = setting(
        2.0, "Time that a target may stay out of the current term."
    )
    pause_s: Seconds = setting(
        0.5, "Lateness of a timer that tells of a pause of this process."
    )
    delta_period_s: Seconds = setting(
        0.25, "Time between two messages about a group to proxies that do not watch."
    )
    interest_s: Seconds = setting(
        5.0, "Time that a group is polled after its last use by a proxy."
    )
    acknowledge_pace_s: Seconds = setting(
        0.003, "Pause between two polls for the same waiting write."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Share connections to targets."""

    fleet_size: Positive = setting(
        21, "Largest number of proxies; each may always use that part of a target."
    )
    reserved_connections: Count = setting(
        3, "Connections that stay free on each target for control."
    )
    max_opening: Positive = setting(2, "Connections opened to a target at once.")
    open_gap_s: Seconds = setting(0.02, "Least time between two openings.")
    open_timeout_s: Seconds = setting(2.0, "Time to open a connection.")
    backoff_min_s: Seconds = setting(0.05, "First pause after a failed opening.")
    backoff_max_s: Seconds = setting(2.0, "Longest pause after failed openings.")
    idle_check_s: Seconds = setting(
        1.0, "Idle time after which a connection is tested before it is used."
    )
    idle_check_timeout_s: Seconds = setting(0.5, "Time for that test.")
    idle_close_s: Seconds = setting(60.0, "Idle time after which it is closed.")
    business_active_s: Seconds = setting(
        5.0, "Time for which a business counts as active after a request."
    )
    base_ratio: Share = setting(
        0.5, "Part of the connections that is shared out for good; the rest is lent."
    )
    lease_s: Seconds = setting(10.0, "Time for which connections are lent.")
    lease_renew_s: Seconds = setting(3.0, "Time between two renewals of a lease.")
    lease_hurry_s: Seconds = setting(0.25, "That time while requests wait.")
    lease_linger_s: Seconds = setting(
        4.0, "Time before a lease ends from which it takes no new work."
    )
    reign_s: Seconds = setting(20.0, "Time for which one proxy is the grantor.")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Know which proxies and targets are live or leaving."""

    full_mesh: Positive = setting(24, "Members up to which every pair keeps a stream.")
    neighbours: Positive = setting(4, "Streams that each member chooses beyond that.")
    tick_s: Seconds = setting(0.25, "Time between two checks of doubts.")
    doubt_s: Seconds = setting(1.0, "Time without a stream to doubt a neighbour.")
    confirm_s: Seconds = setting(
        3.0, "Time after which a doubted member that says nothing is taken for dead."
    )
    redoubt_s: Seconds = setting(10.0, "Time between two doubts of one member.")
    digest_s: Seconds = setting(10.0, "Time between two comparisons with a peer.")
    rejoin_s: Seconds = setting(1.0, "Time between two contacts while alone.")
    forget_s: Seconds = setting(7200.0, "Time for which a dead member is kept.")
    vms_period_s: Seconds = setting(2.0, "Least time between two reads of the list.")
    vms_calls_per_s: Positive = setting(
        8, "Reads of the VM list that the whole fleet may make in a second."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """Shut down without cutting a request."""

    deadline_s: Seconds = setting(30.0, "Time for open transactions to end.", live=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Write log lines."""

    level: LogLevel = setting(LogLevel.INFO, "Least level that is written.", live=True)
    repeat_limit: Positive = setting(5, "Equal lines written in one period.", live=True)
    repeat_period_s: Seconds = setting(
        10.0, "Period after which suppressed lines are counted.", live=True
    )
    actions: bool = setting(
        False, "Whether each request writes its action tree.", live=True
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FaultSettings:
    """Break promises on purpose, so that tests can show that they notice."""

    enabled: bool = setting(False, "Whether the switches below are allowed.")
    acknowledge_early: bool = setting(False, "Acknowledge before a majority holds.")
    skip_fencing: bool = setting(False, "Promote without fencing.")
    retry_unknown: bool = setting(False, "Repeat writes whose outcome is unknown.")
    ignore_token: bool = setting(False, "Route reads without the session's position.")
    reuse_abandoned: bool = setting(False, "Pool connections with answers outstanding.")


@dataclasses.dataclass(frozen=True, slots=True)
class ProxySettings:
    """Hold the settings of one proxy process."""

    vm: Name = setting(doc="Name of the VM that the process runs on.")
    failure_domain: Name = setting(doc="Failure domain of the VM.")
    platform: PlatformSettings = setting(doc="Call the platform's object API.")
    region: str = setting("", "Region of the VM.")
    seed: Count = setting(0, "Seed of all random choices; 0 draws one at the start.")
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
