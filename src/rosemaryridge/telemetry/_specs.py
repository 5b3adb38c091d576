"""Define the name, meaning and labels of each metric."""

import dataclasses
import enum

NAMESPACE = "rosemaryridge"
STAGE_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class MetricKind(enum.Enum):
    """Kinds of metrics."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class MetricSpec:
    """Describe one metric; label values are passed in the order of `labels`.

    Specs are compared by identity, which makes them cheap dictionary keys in the path
    of every statement.
    """

    kind: MetricKind
    name: str
    doc: str
    labels: tuple[str, ...]
    buckets: tuple[float, ...] = ()


_SPECS: dict[str, MetricSpec] = {}


def counter(name: str, doc: str, *labels: str) -> MetricSpec:
    """Register a counter; raise ValueError unless its name ends in `_total`."""
    if not name.endswith("_total"):
        raise ValueError(f"name of counter {name!r} must end in '_total'")
    return _register(MetricSpec(MetricKind.COUNTER, name, doc, labels))


def gauge(name: str, doc: str, *labels: str) -> MetricSpec:
    """Register a gauge; its name should end in its unit, if it has one."""
    return _register(MetricSpec(MetricKind.GAUGE, name, doc, labels))


def histogram(
    name: str, doc: str, *labels: str, buckets: tuple[float, ...] = STAGE_BUCKETS_S
) -> MetricSpec:
    """Register a histogram of seconds.

    Raise ValueError unless its name ends in `_seconds`.
    """
    if not name.endswith("_seconds"):
        raise ValueError(f"name of histogram {name!r} must end in '_seconds'")
    return _register(MetricSpec(MetricKind.HISTOGRAM, name, doc, labels, buckets))


def all_metrics() -> tuple[MetricSpec, ...]:
    """Return the registered metrics, sorted by name."""
    return tuple(_SPECS[name] for name in sorted(_SPECS))


def _register(spec: MetricSpec) -> MetricSpec:
    full_name = f"{NAMESPACE}_{spec.name}"
    if full_name in _SPECS:
        raise ValueError(f"metric {full_name!r} is already registered")
    spec = dataclasses.replace(spec, name=full_name)
    _SPECS[full_name] = spec
    return spec


REFUSALS = counter("refusals_total", "Count refusals by code.", "code", "service")
RETRIES = counter("retries_total", "Count retries by reason.", "reason", "service")
STATEMENTS = counter(
    "statements_total",
    "Count statements by class, the role that ran them and outcome.",
    "class",
    "role",
    "outcome",
)
STAGE_SECONDS = histogram(
    "stage_seconds",
    "Time of one stage of a request: queue, target or acknowledge.",
    "stage",
    "service",
)
STORE_CALLS = counter(
    "store_calls_total", "Count calls to the object API.", "call", "result"
)
STORE_SECONDS = histogram(
    "store_call_seconds", "Time of one call to the object API.", "call"
)
GROUP_TERM = gauge("group_term", "Term of the group's primary.", "service")
TARGET_LAG = gauge(
    "target_lag_seconds",
    "Greatest age of the data that a target has applied.",
    "service",
    "target",
)
POOL_CONNECTIONS = gauge(
    "pool_connections",
    "Connections to a target: limit, open and busy, and requests waiting for one.",
    "service",
    "target",
    "state",
)
SERVICE_REVISION = gauge(
    "service_revision", "Revision of a service that is in force.", "service"
)
REVISIONS = counter(
    "revisions_total",
    "Count revisions received by source and verdict.",
    "from",
    "verdict",
)
LOG_SUPPRESSED = counter(
    "log_suppressed_total", "Count log lines suppressed as repeats.", "part"
)
CALLERS = gauge("callers", "Callers that are logged in.")
LIVE_PROXIES = gauge("live_proxies", "Live proxies, as seen by this proxy.")
CONNECTED_PEERS = gauge("connected_peers", "Proxies with an open stream to this proxy.")
