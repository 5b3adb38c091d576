"""Run the entry program under random faults, for a range of seeds."""

import asyncio
import pathlib
import sys

import click

from rosemaryridge_testbed.soak import Soak
from rosemaryridge_testbed.soak import SoakOptions
from rosemaryridge_testbed.soak._faults import FAULTS


async def _run(options: SoakOptions, keep: pathlib.Path | None) -> bool:
    async with Soak(options) as soak:
        broken = {rule.name: count for rule, count in (await soak.run()).items()}
        faults = sum(soak.fault_counts.values())
        rolled_back = len(soak.group.rolled_back)
        print(
            f"seed {options.seed}: {faults} faults, {soak.ledger.writes} writes,"
            f" {len(soak.ledger.reads)} reads, {len(soak.site.promotions)} promotions,"
            f" {rolled_back} commits rolled back, broken: {broken or 'nothing'}",
            flush=True,
        )
        for read in soak.ledger.stale[:5]:
            print(f"  {read.at:.3f} {read.kind}: {read.data} lacks {read.least}")
        for lost in soak.group.lost:
            print(
                f"  {lost.at:.3f} {lost.promoted} promoted without"
                f" {len(lost.commits)} commits from {lost.commits[0]}; {lost.received}"
            )
        if broken and keep is not None:
            for name, text in soak.logs().items():
                (keep / f"seed-{options.seed}-{name}.log").write_text(text)
    return not broken


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--seeds", default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option("--proxies", default=3, show_default=True, help="Number of proxies.")
@click.option(
    "--callers", default=20, show_default=True, help="Number of concurrent sessions."
)
@click.option(
    "--seconds",
    default=15.0,
    show_default=True,
    help="Seconds during which faults are injected.",
)
@click.option(
    "--plant",
    default="",
    help="Fault to plant in the targets or the store; the run must find it.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help="Fault to inject, repeatable; all if none is named.",
)
@click.option(
    "--unfenced",
    is_flag=True,
    help="The platform checks no fences, and deposed primaries may go on.",
)
@click.option(
    "--keyed",
    is_flag=True,
    help="Callers have keys of businesses, one of which sends many times its quota.",
)
@click.option("--owned", is_flag=True, help="Proxies reach targets through owners.")
@click.option(
    "--relayed",
    is_flag=True,
    help="Proxies pass changes of the store on to each other.",
)
@click.option(
    "--drawn",
    is_flag=True,
    help="Draw the settings of the platform, such as sync_replicas, by the seed.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, exists=True, path_type=pathlib.Path),
    help="Existing directory for the logs of seeds that break a promise.",
)
def main(
    seed,
    seeds,
    proxies,
    callers,
    seconds,
    plant,
    faults,
    unfenced,
    keyed,
    owned,
    relayed,
    drawn,
    keep,
):
    """Run seeds one after the other; exit with status 1 if any breaks a promise."""
    passed = True
    for number in range(seed, seed + seeds):
        options = SoakOptions(
            number,
            proxies,
            callers,
            seconds,
            plant,
            faults,
            not unfenced,
            keyed,
            owned,
            relayed,
            drawn,
        )
        passed &= asyncio.run(_run(options, keep))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
