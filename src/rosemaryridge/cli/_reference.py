"""Generate the reference tables of the documentation."""

import dataclasses
import pathlib
import typing as t

import click

import rosemaryridge.proxy  # noqa: F401  (importing it registers all metrics)
from rosemaryridge.cli._common import exit_status
from rosemaryridge.codes import all_codes
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import describe
from rosemaryridge.telemetry import all_metrics

Table = t.Callable[[], str]

_TABLES: dict[str, Table] = {}


def reference_table(name: str) -> t.Callable[[Table], Table]:
    """Register a function that generates the table of this name."""

    def register(generate: Table) -> Table:
        _TABLES[name] = generate
        return generate

    return register


@click.command()
@click.argument("name", type=click.Choice(["codes", "metrics", "settings", "service"]))
@click.option(
    "--into",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="Replace the table between the two markers of this page.",
)
def reference(name: str, into: pathlib.Path | None) -> None:
    """Print a reference table: codes, metrics, settings or service."""
    if into is None:
        click.echo(markdown(name))
    else:
        into.write_text(fill(into.read_text(), name))


def fill(page: str, name: str) -> str:
    """Return a page with the table of this name generated again."""
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, found_begin, rest = page.partition(begin)
    _, found_end, tail = rest.partition(end)
    if not (found_begin and found_end):
        raise click.UsageError(f"The page lacks the markers {begin} and {end}.")
    return f"{head}{begin}\n{markdown(name)}\n{end}{tail}"


def markdown(name: str) -> str:
    """Return a table as Markdown."""
    return _TABLES[name]()


@reference_table("codes")
def codes_table() -> str:
    """Return the table of numbered codes."""
    header = (
        "number",
        "name",
        "outcome",
        "SQLSTATE",
        "exit status",
        "meaning",
        "what to do",
    )
    rows = [
        (
            code.number,
            f"`{code.name}`",
            code.outcome.value,
            code.sqlstate,
            exit_status(code),
            code.meaning,
            code.action,
        )
        for code in all_codes()
    ]
    return _format_table(header, rows)


@reference_table("metrics")
def metrics_table() -> str:
    """Return the table of metrics."""
    rows = [
        (f"`{spec.name}`", spec.kind.value, ", ".join(spec.labels), spec.doc)
        for spec in all_metrics()
    ]
    return _format_table(("metric", "kind", "labels", "meaning"), rows)


@reference_table("settings")
def settings_table() -> str:
    """Return the table of process settings."""
    return _keys_table(ProxySettings)


@reference_table("service")
def service_table() -> str:
    """Return the table of service file keys."""
    return _keys_table(ServiceConfig)


def _keys_table(kind: type) -> str:
    rows = [dataclasses.astuple(key) for key in describe(kind)]
    header = ("key", "default", "unit", "allowed", "reload", "meaning")
    return _format_table(
        header,
        [
            (f"`{key}`", f"`{default}`" if default else "required", *rest)
            for key, default, *rest in rows
        ],
    )


def _format_table(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(map(_escape_cell, line))} |" for line in lines)


def _escape_cell(value: t.Any) -> str:
    return str(value).replace("|", "\\|")
