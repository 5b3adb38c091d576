"""Measure the share of reads that replicas serve at several replication lags."""

import asyncio
import collections
import dataclasses
import statistics

from rosemaryridge.config import RequestRule
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._sim import percentile
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.history import History
from rosemaryridge_testbed.load import LoadOptions
from rosemaryridge_testbed.load import Recorder
from rosemaryridge_testbed.load import Trial

_LAGS_MS = (0.0, 20.0, 100.0, 300.0)
_WAITS_S = (0.0, 0.2)
_RUN_S = 8.0
_PRIMARY_AFTER_WRITE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRow:
    """Hold one run's result; `baseline` is the share under primary-after-write."""

    lag_ms: float
    wait_s: float
    reads: int
    share: float
    baseline: float
    median_ms: float
    p99_ms: float
    broken: int


def baseline_share(history: Recorder | History) -> float:
    """Return the share of reads that the baseline would send to replicas.

    The baseline sends a session to the primary for a fixed time after its write.
    """
    writes = collections.defaultdict(list)
    for write in history.writes:
        writes[write.session].append(
            (write.started, write.ended + _PRIMARY_AFTER_WRITE_S)
        )
    replica_reads = [
        read
        for read in history.reads
        if not any(a <= read.started < b for a, b in writes[read.session])
    ]
    return len(replica_reads) / max(1, len(history.reads))


async def _run(lag_ms: float, wait_s: float, seed: int) -> ShareRow:
    rule = RequestRule("browse", "select", replica_wait_s=wait_s)
    options = FleetOptions(proxies=2, seed=seed, rules=(rule,))
    async with Fleet(options) as fleet, Trial(fleet, LoadOptions(seed=seed)) as trial:
        await trial.start(lag_ms)
        await trial.run_for(_RUN_S)
        await trial.finish()
        reads = trial.recorder.reads
        latencies_ms = [(read.ended - read.started) * 1e3 for read in reads]
        return ShareRow(
            lag_ms,
            wait_s,
            len(reads),
            round(await trial.replica_share(), 4),
            round(baseline_share(trial.recorder), 4),
            round(statistics.median(latencies_ms), 2),
            round(percentile(latencies_ms, 0.99), 2),
            len(trial.findings),
        )


async def _measure(seed: int) -> list[ShareRow]:
    return [await _run(lag, wait, seed) for lag in _LAGS_MS for wait in _WAITS_S]


@experiment("read_share")
def measure_read_share(seed: int) -> list[Row]:
    """Return a row for each lag and wait; `broken` counts violated guarantees."""
    return [dataclasses.asdict(row) for row in asyncio.run(_measure(seed))]
