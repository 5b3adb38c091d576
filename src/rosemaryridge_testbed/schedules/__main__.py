"""Explore many schedules and print the seeds that broke a promise."""

import collections
import dataclasses

import click

from rosemaryridge_testbed.schedules._explore import OWNED_OPTIONS
from rosemaryridge_testbed.schedules._explore import explore
from rosemaryridge_testbed.schedules._proxy import Options


@click.command(help=__doc__)
@click.option("--schedules", default=1000, show_default=True, help="How many seeds.")
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--late-orders", default=0.0, help="Share of orders carried out late.")
@click.option("--owned", is_flag=True, help="Reach targets through owners.")
@click.option("--sync", is_flag=True, help="A replica has each acknowledged commit.")
@click.option("--fenced", is_flag=True, help="Outdated orders are refused.")
@click.option("--trace", is_flag=True, help="Print the log lines and the faults.")
def main(
    schedules: int,
    seed: int,
    late_orders: float,
    owned: bool,
    sync: bool,
    fenced: bool,
    trace: bool,
) -> None:
    """Explore schedules; exit with status 1 if a promise was broken."""
    options = dataclasses.replace(
        OWNED_OPTIONS if owned else Options(),
        late_orders=late_orders,
        sync_replicas=int(sync),
        fenced=fenced,
    )
    totals: collections.Counter[str] = collections.Counter()
    broken = 0
    for number in range(seed, seed + schedules):
        result = explore(number, options, trace)
        counts = dataclasses.asdict(result)
        totals.update({k: v for k, v in counts.items() if isinstance(v, int)})
        if result.violations:
            broken += 1
            click.echo(f"seed {number}: {dict(result.violations)}")
    del totals["seed"]
    click.echo(f"{schedules} schedules, {broken} broke a promise; {dict(totals)}")
    raise SystemExit(broken > 0)


main()
