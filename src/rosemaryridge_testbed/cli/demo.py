"""Demonstrate a failover under load and judge the promises."""

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


def _say(text: str) -> None:
    print(text, flush=True)


async def _play(fleet: Fleet, trial: Trial) -> float:
    first = await fleet.primary()
    _say(f"demo: {_CALLERS} callers write and read; replicas lag {_LAG_MS:.0f} ms")
    await trial.run_for(_PHASE_S)
    _say(f"demo: primary {first} is cut off; it still believes that it leads")
    fault_at = now()
    await fleet.cut_off(first)
    gap_s = await trial.until_writable(fault_at)
    _say(f"demo: {await fleet.primary()} has taken over")
    await trial.run_for(_PHASE_S)
    _say(f"demo: {first} is reachable again and joins as a replica")
    await fleet.cut_off(first, cut=False)
    await trial.run_for(2.0)
    return gap_s


def _table(trial: Trial, gap_s: float, share: float) -> list[tuple[str, str]]:
    recorder = trial.recorder
    broken = collections.Counter(finding.promise for finding in trial.findings)
    return [
        ("reads answered", f"{len(recorder.reads)}"),
        ("reads by replicas", f"{share:.1%}"),
        ("failover gap", f"{gap_s:.2f} s"),
        ("writes acknowledged", f"{recorder.count(Outcome.DONE)}"),
        ("writes not run", f"{recorder.count(Outcome.NOT_RUN)}"),
        ("writes unknown", f"{recorder.count(Outcome.UNKNOWN)}"),
        ("writes lost", f"{broken[Promise.DURABLE]}"),
        ("writes doubled", f"{broken[Promise.ONCE]}"),
        ("reads without own writes", f"{broken[Promise.OWN_WRITES]}"),
        ("all broken promises", f"{len(trial.findings)}"),
    ]


async def run_demo(seed: int) -> bool:
    """Run the demonstration; return whether every promise held."""
    options = FleetOptions(seed=seed, latencies=_LATENCIES)
    _say("demo: starts a platform, three targets and three proxies")
    load = LoadOptions(callers=_CALLERS, pace_s=_PACE_S, seed=seed)
    async with Fleet(options) as fleet, Trial(fleet, load) as trial:
        await trial.start(_LAG_MS)
        gap_s = await _play(fleet, trial)
        share = await trial.replica_share()
        await trial.finish()
    for name, value in _table(trial, gap_s, share):
        _say(f"  {name:<26}{value:>10}")
    for finding in trial.findings[:20]:
        _say(f"broken: {finding.promise.value}: {finding.key} {finding.detail}")
    for error, count in sorted(trial.recorder.errors.items()):
        _say(f"  refused or failed: {error}: {count}")
    return not trial.findings


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Run the demonstration; exit with 1 where a promise broke."""
    sys.exit(0 if asyncio.run(run_demo(seed)) else 1)


if __name__ == "__main__":
    main()
