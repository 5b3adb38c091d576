"""Run experiments, keep their figures and compare them with an earlier run."""

import os
import pathlib

import click

import rosemaryridge
from rosemaryridge_testbed import report
from rosemaryridge_testbed.experiments import experiments

_RESULTS = "results.json"


def _show(results: report.Results, name: str) -> None:
    click.echo(f"{name} (seed {results.seed})")
    click.echo(report.format_table(results.experiments[name]))
    click.echo()


def _compare(earlier: report.Results, results: report.Results) -> None:
    for name, rows in results.experiments.items():
        pairs = report.compare(earlier.experiments.get(name, []), rows)
        if pairs:
            click.echo(f"{name}: version {earlier.version} against {results.version}")
            click.echo(report.format_table(pairs))
            click.echo()


def _chosen(names: tuple[str, ...]) -> list[str]:
    unknown = sorted(set(names) - set(experiments()))
    if unknown:
        known = ", ".join(sorted(experiments()))
        raise click.BadParameter(f"no experiment {unknown[0]!r}; there are {known}")
    return list(names) or sorted(experiments())


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True, help="Seed of all chance.")
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=pathlib.Path("bench-results"),
    show_default=True,
    help="Folder for results.json and the plots.",
)
@click.option("--plots/--no-plots", default=True, help="Write a PNG an experiment.")
@click.option(
    "--compare",
    "earlier",
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    help="An earlier results.json to lay beside this run.",
)
@click.option("--list", "list_only", is_flag=True, help="Name the experiments.")
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
    chosen = _chosen(names)
    if list_only:
        click.echo("\n".join(chosen))
        return
    out.mkdir(parents=True, exist_ok=True)
    results = report.Results(rosemaryridge.__version__, seed, {})
    for name in chosen:
        results.experiments[name] = experiments()[name](seed)
        report.write_results(results, out / _RESULTS)
        _show(results, name)
        if plots:
            report.plot(name, results.experiments[name], out / f"{name}.png")
    if earlier is not None:
        _compare(report.read_results(earlier), results)


if __name__ == "__main__":
    # The messages of gRPC's own log would break up the tables.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    main()
