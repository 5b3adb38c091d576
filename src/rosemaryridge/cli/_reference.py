"""Print the reference tables that the docs hold."""

import dataclasses
import typing as t

import click

from rosemaryridge.cli._common import exit_status
from rosemaryridge.codes import all_codes
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import describe
from rosemaryridge.telemetry import all_metrics

Table = t.Callable[[], str]

_TABLES: dict[str, Table] = {}


def reference_table(name: str) -> t.Callable[[Table], Table]:
    """Register a table of the reference."""

    def register(make: Table) -> Table:
        _TABLES[name] = make
        return make

    return register


@click.command()
@click.argument("name", type=click.Choice(["codes", "metrics", "settings", "service"]))
def reference(name: str) -> None:
    """Print a table of the docs: codes, metrics, settings or service."""
    click.echo(markdown(name))


def markdown(name: str) -> str:
    """Return a table as Markdown."""
    return _TABLES[name]()


@reference_table("codes")
def codes_table() -> str:
    """Return every numbered code."""
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
    return _markdown(header, rows)


@reference_table("metrics")
def metrics_table() -> str:
    """Return every metric."""
    rows = [
        (f"`{spec.name}`", spec.kind.value, ", ".join(spec.labels), spec.doc)
        for spec in all_metrics()
    ]
    return _markdown(("metric", "kind", "labels", "meaning"), rows)


@reference_table("settings")
def settings_table() -> str:
    """Return every setting of a process."""
    return _keys(ProxySettings)


@reference_table("service")
def service_table() -> str:
    """Return every key of a service file."""
    return _keys(ServiceConfig)


def _keys(kind: type) -> str:
    rows = [dataclasses.astuple(key) for key in describe(kind)]
    header = ("key", "default", "unit", "allowed", "reload", "meaning")
    return _markdown(
        header,
        [
            (f"`{key}`", f"`{default}`" if default else "required", *rest)
            for key, default, *rest in rows
        ],
    )


def _markdown(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(map(_cell, line))} |" for line in lines)


def _cell(value: t.Any) -> str:
    return str(value).replace("|", "\\|")
