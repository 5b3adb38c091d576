"""Compare variants on the same days and seeds, and write their differences.

A variant is `[NAME=]WORD[+WORD...]`, each word a patch, the name of a patch in
`tools/compare/patches`, or a commit. Without one, the former way is compared with
itself, which shows the noise.
"""

import concurrent.futures
import json
import pathlib
import tempfile
import typing as t

import click

from tools.compare._bench import BenchFailed
from tools.compare._bench import Cell
from tools.compare._bench import figures
from tools.compare._bench import keep_journal
from tools.compare._bench import play
from tools.compare._differences import compare
from tools.compare._report import plot
from tools.compare._report import table
from tools.compare._report import write_json
from tools.compare._variants import ROOT
from tools.compare._variants import Checkouts
from tools.compare._variants import Variant
from tools.compare._variants import parse_variant

_REPEAT = "the same again"


class Results:
    """Keep the figures of plays in a file of JSON lines, to go on after a stop."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._figures: dict[str, dict[str, float]] = {}
        if path.exists():
            for line in path.read_text().splitlines():
                row = json.loads(line)
                self._figures[row["key"]] = row["figures"]

    def get(self, key: str) -> dict[str, float] | None:
        """Return the figures of a play that has ended."""
        return self._figures.get(key)

    def add(self, key: str, found: dict[str, float], **labels: t.Any) -> None:
        """Store the figures of a play."""
        self._figures[key] = found
        with self._path.open("a") as file:
            file.write(json.dumps({"key": key, **labels, "figures": found}) + "\n")


def plan(
    sites: t.Iterable[pathlib.Path],
    days: t.Iterable[str],
    seeds: t.Iterable[int],
    vary: bool,
    small: bool,
    charge_cpu: bool,
) -> list[Cell]:
    """Return the plays of each variant; day files are named by their path."""
    return [
        Cell(site, _resolve_day(day), seed, vary, small, charge_cpu)
        for site in sites
        for day in days
        for seed in seeds
    ]


def _resolve_day(day: str) -> str:
    path = pathlib.Path(day)
    return str(path.resolve()) if path.is_file() else day


@click.command(help=__doc__)
@click.option(
    "--bench", required=True, type=click.Path(exists=True, path_type=pathlib.Path)
)
@click.option("--variant", "variants", multiple=True)
@click.option("--former", default="HEAD", show_default=True)
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seeds", default=3, show_default=True, help="Seeds 1 to this number.")
@click.option("--vary", is_flag=True, help="Vary times and figures by the seed.")
@click.option("--small", is_flag=True, help="Play the small twins of large days.")
@click.option("--cpu", is_flag=True, help="Charge processor time.")
@click.option("--jobs", default=3, show_default=True)
@click.option("--why", required=True)
@click.option(
    "--work",
    required=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for results and checkouts; not below /tmp, which the bench hides.",
)
@click.option("--every", is_flag=True, help="Print all figures.")
@click.argument(
    "sites",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
def main(
    bench: pathlib.Path,
    variants: tuple[str, ...],
    former: str,
    days: tuple[str, ...],
    seeds: int,
    vary: bool,
    small: bool,
    cpu: bool,
    jobs: int,
    why: str,
    work: pathlib.Path,
    every: bool,
    sites: tuple[pathlib.Path, ...],
) -> None:
    """Play what is missing, then write the differences."""
    work.mkdir(parents=True, exist_ok=True)
    results = Results(work / "plays.jsonl")
    before = parse_variant(f"former={former}")
    others = [parse_variant(text) for text in variants]
    repeats = not others
    if repeats:
        others = [Variant(_REPEAT, before.commit, before.patches)]
    cells = plan(
        [site.resolve() for site in sites], days, range(1, seeds + 1), vary, small, cpu
    )
    found: dict[tuple[str, Cell], dict[str, float]] = {}
    with (
        tempfile.TemporaryDirectory(dir=work) as parent,
        concurrent.futures.ThreadPoolExecutor(jobs) as pool,
    ):
        checkouts = Checkouts(pathlib.Path(parent))
        plays = {}
        for cell in cells:
            for variant in (before, *others):
                key = f"{checkouts.add(variant)}-{cell.key()}"
                if repeats and variant is not before:
                    key += "-again"
                known = results.get(key)
                if known is not None:
                    found[variant.name, cell] = known
                    continue
                fut = pool.submit(_play, checkouts, variant, bench.resolve(), cell, why)
                plays[fut] = (key, variant, cell)
        for fut in concurrent.futures.as_completed(plays):
            key, variant, cell = plays[fut]
            place = f"{variant.name}: {cell.site.stem}, {cell.day_name}, {cell.seed}"
            try:
                found[variant.name, cell] = fut.result()
            except BenchFailed as exc:
                click.echo(f"{place}: no report: {exc}", err=True)
                continue
            labels = {"variant": variant.name, "site": cell.site.stem}
            labels |= {"day": cell.day_name, "seed": cell.seed}
            results.add(key, found[variant.name, cell], **labels)
            click.echo(f"{place}: {found[variant.name, cell]['worth']:.4f}", err=True)
    differences = [
        item for other in others for item in compare(found, "former", other.name)
    ]
    write_json(work / "differences.json", differences)
    plot(work / "differences.png", differences)
    (work / "differences.md").write_text(table(differences, every=True) + "\n")
    click.echo(table(differences, every))


def _play(
    checkouts: Checkouts, variant: Variant, bench: pathlib.Path, cell: Cell, why: str
) -> dict[str, float]:
    directory = checkouts.borrow(variant)
    try:
        return figures(play(bench, directory, cell, f"{why}: {variant.name}"))
    finally:
        keep_journal(directory, ROOT / "journal")
        checkouts.give_back(variant, directory)


if __name__ == "__main__":
    main()
