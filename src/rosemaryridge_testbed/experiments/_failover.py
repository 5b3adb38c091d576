"""Measure the failover gap of real processes at the deployments' latencies."""

import asyncio
import concurrent.futures
import dataclasses
import itertools
import math
import random
import statistics
import typing as t

from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.fleet import Latencies
from rosemaryridge_testbed.fleet import eventually
from rosemaryridge_testbed.load import LoadOptions
from rosemaryridge_testbed.load import Trial
from rosemaryridge_testbed.load import now

# More concurrent fleets would compete for processor time.
_MAX_CONCURRENT_FLEETS = 2
_FAULTS_PER_FLEET = 5
_SETTLE_S = 1.0
_GAP_TIMEOUT_S = 20.0
_REPAIR_TIMEOUT_S = 45.0
_PROMOTION_LOG_LINE = "A target was promoted."
# Promotions are counted in the logs, so repeated lines must not be suppressed.
_SETTINGS = {"log": {"repeat_limit": 1000}}

DEPLOYMENTS = {
    "kandjimi": FleetOptions(
        latencies=Latencies(target_ms=1.5, replica_ms=1.5, caller_ms=3.0),
        slots=3,
        max_connections=45,
        connect_ms=10.0,
        settings=_SETTINGS,
    ),
    "suva": FleetOptions(
        latencies=Latencies(target_ms=1.5, replica_ms=1.5, caller_ms=1.0),
        slots=5,
        max_connections=140,
        connect_ms=30.0,
        settings=_SETTINGS,
    ),
}
STORES: dict[str, dict[str, t.Any]] = {
    "up": {},
    "slow": {"slow_ms": 1000.0},
    "down": {"outage": True},
}


class Fault(t.Protocol):
    """Inject a fault into a fleet's primary, then remove it."""

    async def begin(self, fleet: Fleet, primary: str) -> None:
        """Inject the fault."""

    async def end(self, fleet: Fleet, primary: str) -> None:
        """Remove the fault."""


class _KillPrimary:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        fleet.processes.kill(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        fleet.processes.restart(primary)


class _PausePrimary:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        fleet.pause(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        fleet.resume(primary)


class _CutOffPrimary:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        await fleet.cut_off(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        await fleet.cut_off(primary, cut=False)


FAULTS: dict[str, Fault] = {
    "killed": _KillPrimary(),
    "paused": _PausePrimary(),
    "cut off": _CutOffPrimary(),
}


@dataclasses.dataclass(frozen=True, slots=True)
class GapRow:
    """Hold one fleet's failover gaps in seconds, None if no gap ended.

    `false` counts promotions beyond one per fault.
    """

    deployment: str
    fault: str
    store: str
    runs: int
    median_s: float | None
    worst_s: float | None
    unfinished: int
    broken: int
    false: int


async def _measure_gap(trial: Trial, fault: Fault, rng: random.Random) -> float:
    """Inject a fault at a random time; return the gap in seconds or infinity."""
    fleet = trial.fleet
    await trial.run_for(_SETTLE_S + rng.random())
    primary = await eventually(fleet.primary, _REPAIR_TIMEOUT_S, "a primary")
    fault_started_at = now()
    await fault.begin(fleet, primary)
    # A write that began during the injection may have committed before the fault.
    fault_active_at = now()
    try:
        gap_s = await trial.until_writable(fault_active_at, _GAP_TIMEOUT_S)
    except TimeoutError:
        gap_s = math.inf
    await fault.end(fleet, primary)
    await eventually(fleet.writable_with_replicas, _REPAIR_TIMEOUT_S, "replicas")
    return gap_s + fault_active_at - fault_started_at


def _count_promotions(fleet: Fleet) -> int:
    logs = (fleet.processes.log(vm).read_text() for vm in fleet.proxies)
    return sum(log.count(_PROMOTION_LOG_LINE) for log in logs)


async def _measure_gaps(
    fleet: Fleet, trial: Trial, fault: Fault, store: str, rng: random.Random
) -> list[float]:
    await trial.start()
    await fleet.admin.set_platform(**STORES[store])
    gaps_s = [await _measure_gap(trial, fault, rng) for _ in range(_FAULTS_PER_FLEET)]
    await trial.finish()
    return gaps_s


async def _measure(deployment: str, fault: str, store: str, seed: int) -> GapRow:
    options = dataclasses.replace(DEPLOYMENTS[deployment], seed=seed)
    load = LoadOptions(callers=12, write_share=0.5, pace_s=0.03, seed=seed)
    rng = random.Random(f"{seed}/{deployment}/{fault}/{store}")
    async with Fleet(options) as fleet, Trial(fleet, load) as trial:
        gaps_s = await _measure_gaps(fleet, trial, FAULTS[fault], store, rng)
        ended_s = [gap_s for gap_s in gaps_s if gap_s < math.inf]
        return GapRow(
            deployment,
            fault,
            store,
            len(gaps_s),
            round(statistics.median(ended_s), 3) if ended_s else None,
            round(max(ended_s), 3) if ended_s else None,
            len(gaps_s) - len(ended_s),
            len(trial.findings),
            _count_promotions(fleet) - len(gaps_s),
        )


@experiment("failover")
def measure_failover(seed: int) -> list[Row]:
    """Return a row for each deployment, fault and store state."""
    cases = itertools.product(DEPLOYMENTS, FAULTS, STORES)

    def run(case: tuple[str, str, str]) -> Row:
        return dataclasses.asdict(asyncio.run(_measure(*case, seed)))

    # One thread per fleet: stopping a fleet must not block the other's callers.
    with concurrent.futures.ThreadPoolExecutor(_MAX_CONCURRENT_FLEETS) as executor:
        return list(executor.map(run, cases))
