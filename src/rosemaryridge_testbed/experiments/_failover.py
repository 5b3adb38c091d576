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

# More fleets at once would take processor time from each other.
_FLEETS_AT_ONCE = 2
_FAULTS_PER_FLEET = 5
_SETTLE_S = 1.0
_LIMIT_S = 20.0
_REPAIR_S = 45.0
_PROMOTED = "A target was promoted."
# Promotions are counted in the logs, so no line may be left out as repeated.
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
    """Break a fleet's primary, then repair it."""

    async def begin(self, fleet: Fleet, primary: str) -> None:
        """Break the primary."""

    async def end(self, fleet: Fleet, primary: str) -> None:
        """Let it work again."""


class _Killed:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        fleet.processes.kill(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        fleet.processes.restart(primary)


class _Paused:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        fleet.pause(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        fleet.resume(primary)


class _CutOff:
    async def begin(self, fleet: Fleet, primary: str) -> None:
        await fleet.cut_off(primary)

    async def end(self, fleet: Fleet, primary: str) -> None:
        await fleet.cut_off(primary, cut=False)


FAULTS: dict[str, Fault] = {
    "killed": _Killed(),
    "paused": _Paused(),
    "cut off": _CutOff(),
}


@dataclasses.dataclass(frozen=True, slots=True)
class GapRow:
    """Hold the gaps of one fleet's faults, in seconds; None where none ended.

    `false` counts takeovers beyond one a fault.
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


async def _one_gap(trial: Trial, fault: Fault, rng: random.Random) -> float:
    """Break the primary at a random time; return the gap in seconds, or infinity."""
    fleet = trial.fleet
    await trial.run_for(_SETTLE_S + rng.random())
    primary = await eventually(fleet.primary, _REPAIR_S, "a primary")
    began_at = now()
    await fault.begin(fleet, primary)
    # A write that began while the fault was being made may have passed before it.
    broken_at = now()
    try:
        gap_s = await trial.until_writable(broken_at, _LIMIT_S)
    except TimeoutError:
        gap_s = math.inf
    await fault.end(fleet, primary)
    await eventually(fleet.writable_with_replicas, _REPAIR_S, "replicas")
    return gap_s + broken_at - began_at


def _takeovers(fleet: Fleet) -> int:
    logs = (fleet.processes.log(vm).read_text() for vm in fleet.proxies)
    return sum(log.count(_PROMOTED) for log in logs)


async def _gaps(
    fleet: Fleet, trial: Trial, fault: Fault, store: str, rng: random.Random
) -> list[float]:
    await trial.start()
    await fleet.admin.set_platform(**STORES[store])
    gaps_s = [await _one_gap(trial, fault, rng) for _ in range(_FAULTS_PER_FLEET)]
    await trial.finish()
    return gaps_s


async def _measure(deployment: str, fault: str, store: str, seed: int) -> GapRow:
    options = dataclasses.replace(DEPLOYMENTS[deployment], seed=seed)
    load = LoadOptions(callers=12, write_share=0.5, pace_s=0.03, seed=seed)
    rng = random.Random(f"{seed}/{deployment}/{fault}/{store}")
    async with Fleet(options) as fleet, Trial(fleet, load) as trial:
        gaps_s = await _gaps(fleet, trial, FAULTS[fault], store, rng)
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
            _takeovers(fleet) - len(gaps_s),
        )


@experiment("failover")
def measure_failover(seed: int) -> list[Row]:
    """Return a row for each deployment, fault and state of the store."""
    cases = itertools.product(DEPLOYMENTS, FAULTS, STORES)

    def run(case: tuple[str, str, str]) -> Row:
        return dataclasses.asdict(asyncio.run(_measure(*case, seed)))

    # A thread each: ending one fleet must not hold up the other's callers.
    with concurrent.futures.ThreadPoolExecutor(_FLEETS_AT_ONCE) as executor:
        return list(executor.map(run, cases))
