"""Run experiments: `python -m rosemaryridge_testbed.experiments [NAME ...]`."""

import pathlib

import click
import msgspec

from rosemaryridge_testbed.experiments import experiments
from rosemaryridge_testbed.experiments._registry import Row


def _table(rows: list[Row]) -> str:
    names = list(rows[0])
    lines = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, help="Seed of all random choices.")
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(names: tuple[str, ...], seed: int, path: pathlib.Path | None) -> None:
    """Run experiments, print their tables and write them as JSON."""
    found = experiments()
    results = {}
    for name in names or sorted(found):
        results[name] = found[name](seed)
        click.echo(f"{name} (seed {seed})\n{_table(results[name])}\n")
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


main()
