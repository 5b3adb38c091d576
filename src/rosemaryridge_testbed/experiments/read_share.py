"""Measure the share of reads that replicas serve, over a range of lag."""

import asyncio
import collections
import dataclasses
import json
import statistics

import click

from rosemaryridge.config import RequestRule
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.history import History
from rosemaryridge_testbed.load import LoadOptions
from rosemaryridge_testbed.load import Recorder
from rosemaryridge_testbed.load import Trial

_LAGS_MS = (0.0, 20.0, 100.0, 300.0)
_WAITS_S = (0.0, 0.2)
_RUN_S = 8.0
_STICKY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRow:
    """Hold one run's result; `baseline` is what primary-after-write would serve."""

    lag_ms: float
    wait_s: float
    reads: int
    share: float
    baseline: float
    median_ms: float
    p99_ms: float
    broken: int


def baseline_share(history: Recorder | History) -> float:
    """Return the share of reads that did not follow a write of their session closely.

    The baseline sends a session to the primary for a fixed time after its write.
    """
    writes = collections.defaultdict(list)
    for write in history.writes:
        writes[write.session].append((write.started, write.ended + _STICKY_S))
    free = [
        read
        for read in history.reads
        if not any(a <= read.started < b for a, b in writes[read.session])
    ]
    return len(free) / max(1, len(history.reads))


async def _run(lag_ms: float, wait_s: float, seed: int) -> ShareRow:
    rule = RequestRule("browse", "select", replica_wait_s=wait_s)
    options = FleetOptions(proxies=2, seed=seed, rules=(rule,))
    async with Fleet(options) as fleet, Trial(fleet, LoadOptions(seed=seed)) as trial:
        await trial.start(lag_ms)
        await trial.run_for(_RUN_S)
        await trial.finish()
        reads = trial.recorder.reads
        took = sorted((read.ended - read.started) * 1e3 for read in reads)
        return ShareRow(
            lag_ms,
            wait_s,
            len(reads),
            await trial.replica_share(),
            baseline_share(trial.recorder),
            statistics.median(took),
            took[int(len(took) * 0.99)],
            len(trial.findings),
        )


async def measure(seed: int) -> list[ShareRow]:
    """Run every lag with and without the wait for a replica, one after another."""
    return [await _run(lag, wait, seed) for lag in _LAGS_MS for wait in _WAITS_S]


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(seed: int, as_json: bool) -> None:
    """Print one row for each lag and wait; fail where a promise broke."""
    rows = asyncio.run(measure(seed))
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(row) for row in rows]))
    else:
        click.echo(
            "lag ms  wait s   reads   share  baseline  median ms  p99 ms  broken"
        )
        for row in rows:
            click.echo(
                f"{row.lag_ms:6.0f} {row.wait_s:7.2f} {row.reads:7d} {row.share:7.1%}"
                f" {row.baseline:9.1%} {row.median_ms:10.1f} {row.p99_ms:7.1f}"
                f" {row.broken:7d}"
            )
    raise SystemExit(1 if any(row.broken for row in rows) else 0)


if __name__ == "__main__":
    main()
