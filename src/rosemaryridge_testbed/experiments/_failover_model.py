"""Measure failover gaps and false failovers in virtual time against a baseline."""

import collections.abc
import dataclasses
import random
import statistics
import typing as t

from rosemaryridge_testbed.experiments._baseline import baseline_type
from rosemaryridge_testbed.experiments._cluster import Cluster
from rosemaryridge_testbed.experiments._network import Latency
from rosemaryridge_testbed.experiments._proxy import ModelProxy
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment

_SETTLE_S = 1.0
_GAP_TIMEOUT_S = 6.0
_STEP_S = 0.25
_WRITE_PERIOD_S = 0.02
_HOUR_S = 3600.0
_GAP_SEEDS = 10
_FALSE_SEEDS = 3
_FALSE_RUN_S = 60.0
# The baseline never replaces a primary that still renews its lease.
_BASELINE_FAULTS = ("primary dead", "failure domain lost")


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Configure the network and client delays of one deployment."""

    latency: Latency
    client_s: float


DEPLOYMENTS = {
    "kandjimi": Deployment(Latency(connect_s=0.010), 0.003),
    "suva": Deployment(Latency(connect_s=0.030), 0.001),
}
STORES = {"up": (0.004, False), "slow": (1.0, False), "down": (0.0, True)}

Fault = t.Callable[[Cluster], None]
FAULTS: dict[str, Fault] = {}


def _fault(name: str) -> t.Callable[[Fault], Fault]:
    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@_fault("primary dead")
def _primary_dead(cluster: Cluster) -> None:
    cluster.network.dead.add("a")


@_fault("primary paused")
def _primary_paused(cluster: Cluster) -> None:
    cluster.network.pause("a")


@_fault("cut off from proxies")
def _cut_from_proxies(cluster: Cluster) -> None:
    for vm in cluster.proxies:
        cluster.network.cut("a", vm)


@_fault("cut off from replicas")
def _cut_from_replicas(cluster: Cluster) -> None:
    cluster.network.cut("a", "b")
    cluster.network.cut("a", "c")


@_fault("failure domain lost")
def _domain_lost(cluster: Cluster) -> None:
    cluster.network.dead |= {"a", "p0"}


@dataclasses.dataclass(frozen=True, slots=True)
class GapRow:
    """Hold one fault's gaps over its seeds in seconds, None if no gap ended."""

    deployment: str
    way: str
    store: str
    fault: str
    seeds: int
    median_s: float | None
    worst_s: float | None
    unfinished: int
    violations: int


@dataclasses.dataclass(frozen=True, slots=True)
class FalseRow:
    """Count the takeovers in a group whose targets never failed."""

    condition: str
    way: str
    seeds: int
    hours: float
    takeovers: int


def measure_gap(
    deployment: Deployment, fault: Fault, seed: int, proxy_type: type[ModelProxy]
) -> tuple[float, int]:
    """Return a fault's gap in seconds and the number of violated guarantees."""
    cluster = Cluster(seed, deployment.latency, proxy_type=proxy_type)
    # A random offset places the fault anywhere between two polls.
    cluster.run(_SETTLE_S + random.Random(seed).random())
    at = cluster.timer.now()
    fault(cluster)
    gap_s = float("inf")
    while gap_s == float("inf") and cluster.timer.now() - at < _GAP_TIMEOUT_S:
        cluster.run(_STEP_S, _WRITE_PERIOD_S)
        gap_s = cluster.gap_s(at)
    return gap_s + 2 * deployment.client_s, len(cluster.violations())


def _gap_row(
    names: tuple[str, str, str, str], seeds: range, proxies: t.Callable[[], type]
) -> GapRow:
    deployment, fault = DEPLOYMENTS[names[0]], FAULTS[names[3]]
    results = [measure_gap(deployment, fault, seed, proxies()) for seed in seeds]
    gaps = [gap for gap, _ in results if gap < float("inf")]
    return GapRow(
        *names,
        len(seeds),
        round(statistics.median(gaps), 3) if gaps else None,
        round(max(gaps), 3) if gaps else None,
        len(results) - len(gaps),
        sum(broken for _, broken in results),
    )


def gap_rows(
    deployments: t.Iterable[str], seeds: range
) -> collections.abc.Iterator[GapRow]:
    """Measure each deployment, store state and fault."""
    for deployment in deployments:
        for fault in FAULTS:
            # The failover logic does not use the store, so its state has no effect.
            names = (deployment, "rosemaryridge", "any", fault)
            yield _gap_row(names, seeds, lambda: ModelProxy)
            for store, store_args in (
                STORES.items() if fault in _BASELINE_FAULTS else ()
            ):
                names = (deployment, "timeout and lease", store, fault)
                yield _gap_row(
                    names,
                    seeds,
                    lambda store_args=store_args: baseline_type(*store_args),
                )


CONDITIONS = {
    "quiet": Latency(),
    "jitter 100 ms": Latency(jitter_s=0.1),
    "loss 1%": Latency(loss=0.01),
    "loss 5%": Latency(loss=0.05),
    "jitter 100 ms, loss 1%": Latency(jitter_s=0.1, loss=0.01),
    "pauses to 300 ms": Latency(),
}


def _count_false(
    condition: str, seed: int, duration_s: float, proxy_type: type[ModelProxy]
) -> int:
    cluster = Cluster(seed, CONDITIONS[condition], proxy_type=proxy_type)
    rng = random.Random(seed)
    while cluster.timer.now() < duration_s:
        node = rng.choice([*cluster.targets, *cluster.proxies])
        if condition.startswith("pauses"):
            cluster.network.pause(node)
            cluster.run(rng.uniform(0.05, 0.3), 0.1)
            cluster.network.resume(node)
        cluster.run(1.0, 0.1)
    return len(cluster.history.takeovers)


def false_rows(seeds: range, duration_s: float) -> collections.abc.Iterator[FalseRow]:
    """Count the takeovers under each condition, without failed targets."""
    ways = {
        "rosemaryridge": lambda: ModelProxy,
        "timeout and lease": lambda: baseline_type(0.004, False),
    }
    for condition in CONDITIONS:
        for way, proxies in ways.items():
            takeovers = sum(
                _count_false(condition, seed, duration_s, proxies()) for seed in seeds
            )
            hours = round(len(seeds) * duration_s / _HOUR_S, 2)
            yield FalseRow(condition, way, len(seeds), hours, takeovers)


def _seeds(seed: int, count: int) -> range:
    return range(seed * count, (seed + 1) * count)


@experiment("failover_model")
def measure_gaps(seed: int) -> list[Row]:
    """Return the gaps of each fault, over ten seeds."""
    rows = gap_rows(DEPLOYMENTS, _seeds(seed, _GAP_SEEDS))
    return [dataclasses.asdict(row) for row in rows]


@experiment("false_failover_model")
def measure_false(seed: int) -> list[Row]:
    """Return the takeovers in groups without failed targets, over three seeds."""
    rows = false_rows(_seeds(seed, _FALSE_SEEDS), _FALSE_RUN_S)
    return [dataclasses.asdict(row) for row in rows]
