"""Explore many schedules and print the seeds that broke a promise."""

import collections
import dataclasses
import typing as t

import click

from rosemaryridge_testbed.schedules._explore import OWNED_OPTIONS
from rosemaryridge_testbed.schedules._explore import Result
from rosemaryridge_testbed.schedules._explore import explore
from rosemaryridge_testbed.schedules._proxy import Options
from rosemaryridge_testbed.schedules._step_faults import FAULTS
from rosemaryridge_testbed.schedules._step_faults import coverage
from rosemaryridge_testbed.schedules._step_faults import draw_faults
from rosemaryridge_testbed.schedules._step_faults import draw_options
from rosemaryridge_testbed.schedules._step_faults import explore_steps
from rosemaryridge_testbed.schedules._step_faults import shrink


@click.command(help=__doc__)
@click.option("--schedules", default=1000, show_default=True, help="How many seeds.")
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--late-orders", default=0.0, help="Share of orders carried out late.")
@click.option("--owned", is_flag=True, help="Reach targets through owners.")
@click.option("--sync", is_flag=True, help="A replica has each acknowledged commit.")
@click.option("--fenced", is_flag=True, help="Outdated orders are refused.")
@click.option("--steps", is_flag=True, help="Strike faults at steps; draw settings.")
@click.option("--keep", help="With --steps, the places of the faults to strike.")
@click.option("--coverage", "shows_coverage", is_flag=True, help="Print what was met.")
@click.option("--trace", is_flag=True, help="Print the log lines and the faults.")
def main(
    schedules: int,
    seed: int,
    late_orders: float,
    owned: bool,
    sync: bool,
    fenced: bool,
    steps: bool,
    keep: str | None,
    shows_coverage: bool,
    trace: bool,
) -> None:
    """Explore schedules; exit with status 1 if a promise was broken."""
    options = dataclasses.replace(
        OWNED_OPTIONS if owned else Options(),
        late_orders=late_orders,
        sync_replicas=int(sync),
        fenced=fenced,
    )
    kept = None if keep is None else [int(place) for place in keep.split(",") if place]

    def play(number: int) -> Result:
        if steps:
            return explore_steps(number, kept, trace)
        return explore(number, options, trace)

    totals: collections.Counter[str] = collections.Counter()
    broken, results = 0, []
    for number in range(seed, seed + schedules):
        result = play(number)
        results.append(result)
        counts = dataclasses.asdict(result)
        totals.update({k: v for k, v in counts.items() if isinstance(v, int)})
        if result.violations:
            broken += 1
            click.echo(f"seed {number}: {dict(result.violations)}")
            if steps and kept is None:
                _print_smallest(number)
    del totals["seed"]
    click.echo(f"{schedules} schedules, {broken} broke a promise; {dict(totals)}")
    if shows_coverage:
        _print_coverage(results)
    raise SystemExit(broken > 0)


def _print_smallest(seed: int) -> None:
    """Print the fewest faults with which a seed fails, and the command to play it."""
    places = shrink(seed)
    faults = draw_faults(seed)
    click.echo(f"  settings: {draw_options(seed)}")
    for place in places:
        click.echo(f"  {faults[place]}")
    keep = ",".join(map(str, places))
    click.echo(f"  play: --steps --schedules 1 --seed {seed} --keep {keep} --trace")


def _print_coverage(results: t.Iterable[Result]) -> None:
    """Print by step how often it was met, and the faults that never struck there."""
    for step, counts in coverage(results).items():
        never = sorted(FAULTS.keys() - counts.keys())
        click.echo(f"{step}: {counts.total()}; never: {', '.join(never) or 'none'}")


main()
