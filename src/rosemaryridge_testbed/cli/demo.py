"""Demonstrate a failover under load and check the consistency promises."""

import asyncio
import collections
import sys

import click

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.fleet import Latencies
from rosemaryridge_testbed.history import Promise
from rosemaryridge_testbed.load import LoadOptions
from rosemaryridge_testbed.load import Trial
from rosemaryridge_testbed.load import now

_LAG_MS = 100.0
_PHASE_S = 8.0
_CALLERS = 40
_PACE_S = 0.2
_LATENCIES = Latencies(target_ms=1.5, replica_ms=1.5, caller_ms=1.0)


def _print_line(text: str) -> None:
    print(text, flush=True)


async def _run_failover(fleet: Fleet, trial: Trial) -> float:
    old_primary = await fleet.primary()
    _print_line(
        f"demo: {_CALLERS} callers write and read; replicas lag {_LAG_MS:.0f} ms"
    )
    await trial.run_for(_PHASE_S)
    _print_line(f"demo: primary {old_primary} is cut off; it still acts as the primary")
    fault_at = now()
    await fleet.cut_off(old_primary)
    gap_s = await trial.until_writable(fault_at)
    _print_line(f"demo: {await fleet.primary()} is the new primary")
    await trial.run_for(_PHASE_S)
    _print_line(f"demo: {old_primary} is reachable again and joins as a replica")
    await fleet.cut_off(old_primary, cut=False)
    await trial.run_for(2.0)
    return gap_s


def _summary_rows(
    trial: Trial, gap_s: float, replica_share: float
) -> list[tuple[str, str]]:
    recorder = trial.recorder
    violations = collections.Counter(finding.promise for finding in trial.findings)
    return [
        ("reads answered", f"{len(recorder.reads)}"),
        ("reads by replicas", f"{replica_share:.1%}"),
        ("failover gap", f"{gap_s:.2f} s"),
        ("writes acknowledged", f"{recorder.count(Outcome.DONE)}"),
        ("writes not run", f"{recorder.count(Outcome.NOT_RUN)}"),
        ("writes unknown", f"{recorder.count(Outcome.UNKNOWN)}"),
        ("writes lost", f"{violations[Promise.DURABLE]}"),
        ("writes doubled", f"{violations[Promise.ONCE]}"),
        ("reads without own writes", f"{violations[Promise.OWN_WRITES]}"),
        ("all broken promises", f"{len(trial.findings)}"),
    ]


async def run_demo(seed: int) -> bool:
    """Run the demonstration; return whether no promise was broken."""
    options = FleetOptions(seed=seed, latencies=_LATENCIES)
    _print_line("demo: starting a platform, three targets and three proxies")
    load = LoadOptions(callers=_CALLERS, pace_s=_PACE_S, seed=seed)
    async with Fleet(options) as fleet, Trial(fleet, load) as trial:
        await trial.start(_LAG_MS)
        gap_s = await _run_failover(fleet, trial)
        replica_share = await trial.replica_share()
        await trial.finish()
    for name, value in _summary_rows(trial, gap_s, replica_share):
        _print_line(f"  {name:<26}{value:>10}")
    for finding in trial.findings[:20]:
        _print_line(f"broken: {finding.promise.value}: {finding.key} {finding.detail}")
    for error, count in sorted(trial.recorder.errors.items()):
        _print_line(f"  refused or failed: {error}: {count}")
    return not trial.findings


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Run the demonstration; exit with status 1 if a promise was broken."""
    sys.exit(0 if asyncio.run(run_demo(seed)) else 1)


if __name__ == "__main__":
    main()
