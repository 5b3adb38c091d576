"""Run experiments, store their results and compare them with an earlier run."""

import os
import pathlib

import click

import rosemaryridge
from rosemaryridge_testbed import report
from rosemaryridge_testbed.experiments import experiments

_RESULTS_FILE = "results.json"


def _print_results(results: report.Results, name: str) -> None:
    click.echo(f"{name} (seed {results.seed})")
    click.echo(report.format_table(results.experiments[name]))
    click.echo()


def _print_comparison(earlier: report.Results, results: report.Results) -> None:
    for name, rows in results.experiments.items():
        pairs = report.compare(earlier.experiments.get(name, []), rows)
        if pairs:
            click.echo(f"{name}: version {earlier.version} against {results.version}")
            click.echo(report.format_table(pairs))
            click.echo()


def _select_experiments(names: tuple[str, ...]) -> list[str]:
    unknown = sorted(set(names) - set(experiments()))
    if unknown:
        known = ", ".join(sorted(experiments()))
        raise click.BadParameter(f"no experiment {unknown[0]!r}; choose from {known}")
    return list(names) or sorted(experiments())


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True, help="Seed of the random draws.")
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=pathlib.Path("bench-results"),
    show_default=True,
    help="Directory for results.json and the plots.",
)
@click.option(
    "--plots/--no-plots", default=True, help="Write a PNG file for each experiment."
)
@click.option(
    "--compare",
    "earlier",
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    help="The results.json of an earlier run to compare this run with.",
)
@click.option(
    "--list",
    "list_only",
    is_flag=True,
    help="Print the names of the experiments and exit.",
)
@click.version_option(rosemaryridge.__version__)
def main(
    names: tuple[str, ...],
    seed: int,
    out: pathlib.Path,
    plots: bool,
    earlier: pathlib.Path | None,
    list_only: bool,
) -> None:
    """Run the named experiments, or all of them, one after another."""
    selected = _select_experiments(names)
    if list_only:
        click.echo("\n".join(selected))
        return
    out.mkdir(parents=True, exist_ok=True)
    results = report.Results(rosemaryridge.__version__, seed, {})
    for name in selected:
        results.experiments[name] = experiments()[name](seed)
        report.write_results(results, out / _RESULTS_FILE)
        _print_results(results, name)
        if plots:
            report.plot(name, results.experiments[name], out / f"{name}.png")
    if earlier is not None:
        _print_comparison(report.read_results(earlier), results)


if __name__ == "__main__":
    # gRPC's own log messages would appear between the lines of the tables.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    main()
