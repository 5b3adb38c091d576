"""Inspect and drain proxies."""

import asyncio
import collections
import functools
import itertools
import json
import sys
import typing as t

import click
import msgspec

from rosemaryridge.cli import _businesses
from rosemaryridge.cli import _config_check
from rosemaryridge.cli import _owners
from rosemaryridge.cli import _step_profile
from rosemaryridge.cli import _tables
from rosemaryridge.cli import _worst
from rosemaryridge.cli._admin_client import open_admin
from rosemaryridge.cli._common import asynchronous
from rosemaryridge.cli._common import json_option
from rosemaryridge.cli._common import table
from rosemaryridge.cli._common import version_option
from rosemaryridge.cli._entry_metrics import fetch_pages
from rosemaryridge.cli._fleet_view import FleetView
from rosemaryridge.cli._fleet_view import collect_fleet
from rosemaryridge.cli._log_view import explain_request
from rosemaryridge.cli._reference import reference
from rosemaryridge.config_check import Assumptions
from rosemaryridge.exceptions import StoreError
from rosemaryridge.platform import documents

Fetch = t.Callable[[], t.Awaitable[str]]

admin_option = click.option(
    "--admin",
    required=True,
    envvar="ROSEMARYRIDGE_ADMIN",
    help="Address of a proxy's admin port, as ip:port.",
)
timeout_option = click.option(
    "--timeout",
    "timeout_s",
    default=5.0,
    show_default=True,
    help="Timeout of a request, in seconds.",
)
watch_option = click.option(
    "--watch",
    "period_s",
    type=float,
    help="Repeat the output at this interval, in seconds.",
)


def _display_options(command: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
    """Add the options of a command that displays a status."""
    options = (admin_option, timeout_option, json_option, watch_option)
    for option in reversed(options):
        command = option(command)
    return command


@click.group()
@version_option
def main() -> None:
    """Inspect and drain proxies.

    Commands call the admin port of one proxy; `fleet` and `revisions` query all
    other proxies through it. The exit status identifies the error; docs/CODES.md
    lists all statuses.
    """


main.add_command(reference)


@main.command()
@click.argument("section", type=click.Choice(_tables.sections()))
@_display_options
@asynchronous
async def status(
    section: str, admin: str, timeout_s: float, as_json: bool, period_s: float | None
) -> None:
    """Show a SECTION of one proxy's status."""

    async def fetch() -> str:
        async with open_admin(admin, timeout_s) as client:
            found = (await client.status(section))[section]
        return _json(found) if as_json else _tables.render(section, found)

    await _display(fetch, period_s)


@main.command()
@_display_options
@asynchronous
async def fleet(
    admin: str, timeout_s: float, as_json: bool, period_s: float | None
) -> None:
    """Show all proxies, and list those that did not answer."""
    fetch = functools.partial(
        _fetch_fleet, admin, timeout_s, as_json, ("proxy", "services"), _fleet_table
    )
    await _display(fetch, period_s)


@main.command()
@_display_options
@asynchronous
async def revisions(
    admin: str, timeout_s: float, as_json: bool, period_s: float | None
) -> None:
    """Show how many proxies have each service revision in force."""
    fetch = functools.partial(
        _fetch_fleet, admin, timeout_s, as_json, ("services",), _revisions_table
    )
    await _display(fetch, period_s)


@main.command()
@click.argument("service")
@click.argument("statement")
@admin_option
@timeout_option
@json_option
@asynchronous
async def explain(
    service: str, statement: str, admin: str, timeout_s: float, as_json: bool
) -> None:
    """Show how a STATEMENT to a SERVICE is classified and routed."""
    async with open_admin(admin, timeout_s) as client:
        found = await client.run("explain", service=service, statement=statement)
    if as_json:
        click.echo(_json(found))
        return
    for explanation in found:
        click.echo(table(("key", "value"), explanation.items()))


@main.command()
@admin_option
@timeout_option
@click.option("--yes", is_flag=True, help="Drain without confirmation.")
@asynchronous
async def drain(admin: str, timeout_s: float, yes: bool) -> None:
    """Drain a proxy: let open transactions finish, then stop it."""
    async with open_admin(admin, timeout_s) as client:
        vm = (await client.status("proxy"))["proxy"]["vm"]
        if not yes:
            click.confirm(f"Drain {vm}?", abort=True)
        answer = await client.run("drain")
    click.echo(f"{vm} is draining; it stops within {answer['deadline_s']:g} s.")


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@timeout_option
@json_option
@asynchronous
async def businesses(addresses: tuple[str, ...], timeout_s: float, as_json: bool):
    """Show which businesses are at their limit.

    ADDRESSES are those where entry programs answer readiness probes, as ip:port. The
    counts are sums over these proxies since their start.
    """
    totals: _businesses.Totals = {}
    for _, page in await fetch_pages(addresses, timeout_s):
        _businesses.add_samples(totals, page)
    _echo_rows(_businesses.HEADER, _businesses.rows(totals), as_json)


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@timeout_option
@json_option
@asynchronous
async def owners(addresses: tuple[str, ...], timeout_s: float, as_json: bool):
    """Show which proxies hold the connections of a target, and what waits there.

    ADDRESSES are those where entry programs answer readiness probes, as ip:port.
    """
    samples: _owners.Samples = {}
    for address, page in await fetch_pages(addresses, timeout_s):
        _owners.add_samples(samples, address, page)
    _echo_rows(_owners.HEADER, _owners.rows(samples), as_json)


@main.group()
def config() -> None:
    """Work with configurations of the users' platform."""


@config.command("check")
@click.argument("file", type=click.File("rb"))
@click.option("--against", type=click.File("rb"), help="The version to compare with.")
@click.option("--in-force", "store", help="Address of the store, to compare with it.")
@click.option("--allow", multiple=True, help="Name of a finding to leave out.")
@click.option("--proxies", type=int, help="Number of proxies.")
@click.option("--slots", type=int, help="Slots of all targets of a service.")
@click.option("--work-ms", type=float, help="Mean time that a statement takes a slot.")
@click.option("--replica-lag-ms", type=float, help="Usual lag of replicas.")
@click.option(
    "--grace-s", default=6.0, show_default=True, help="Time to stop, in seconds."
)
@json_option
@asynchronous
async def config_check(
    file: t.BinaryIO,
    against: t.BinaryIO | None,
    store: str | None,
    allow: tuple[str, ...],
    proxies: int | None,
    slots: int | None,
    work_ms: float | None,
    replica_lag_ms: float | None,
    grace_s: float,
    as_json: bool,
) -> None:
    """Check a configuration FILE before it is sent.

    The exit status is 0 without findings, 1 with, and 2 if a file cannot be read.
    """
    assumptions = Assumptions(
        proxies,
        slots,
        None if work_ms is None else work_ms / 1000.0,
        None if replica_lag_ms is None else replica_lag_ms / 1000.0,
        grace_s,
    )
    try:
        spec = documents.decode_body(file.read())
        in_force = None
        if against is not None:
            in_force = documents.decode_body(against.read())
        elif store is not None:
            in_force = await _config_check.fetch_in_force(store)
        report = _config_check.make_report(spec, in_force, assumptions, allow)
    except (ValueError, RecursionError, StoreError) as exc:
        click.echo(f"cannot be read: {exc}", err=True)
        sys.exit(2)
    render = _config_check.render_json if as_json else _config_check.render
    click.echo(render(report))
    sys.exit(1 if report.findings else 0)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option("--id", "request", help="Explain the request of this id.")
@click.option(
    "--worst",
    type=click.IntRange(1),
    help="Show this many periods with most failed or late statements, and why.",
)
@click.option(
    "--steps",
    is_flag=True,
    help="Show in which steps slow and failed statements spent their time.",
)
@click.option(
    "--period",
    "period_s",
    default=2.0,
    show_default=True,
    help="Length of a period, in seconds.",
)
@json_option
def logs(
    files: tuple[t.TextIO, ...],
    request: str | None,
    worst: int | None,
    steps: bool,
    period_s: float,
    as_json: bool,
) -> None:
    """Explain a request, or the worst seconds, from log FILES of the entry program."""
    if (request is not None) + (worst is not None) + steps != 1:
        raise click.UsageError("Give one of --id, --worst and --steps.")
    found = itertools.chain.from_iterable(files)
    if steps:
        rows = _step_profile.step_profile(found)
        _echo_rows(_step_profile.HEADER, rows, as_json)
        return
    if worst is not None:
        rows = _worst.worst_periods(found, period_s, worst)
        _echo_rows(_worst.HEADER, rows, as_json)
        return
    try:
        lines = explain_request(found, request)
    except KeyError:
        names = ", ".join(file.name for file in files)
        raise click.ClickException(
            f"{names} has no log line of request {request}"
        ) from None
    for line in lines:
        click.echo(json.dumps(line))


async def _display(fetch: Fetch, period_s: float | None) -> None:
    click.echo(await fetch())
    while period_s:
        await asyncio.sleep(period_s)
        text = await fetch()
        click.clear()
        click.echo(text)


async def _fetch_fleet(
    admin: str,
    timeout_s: float,
    as_json: bool,
    sections: tuple[str, ...],
    render: t.Callable[[FleetView], str],
) -> str:
    async with open_admin(admin, timeout_s) as client:
        view = await collect_fleet(client, *sections)
    if as_json:
        return _json({"answers": view.answers, "silent": view.silent})
    note = f"\nNo answer: {', '.join(view.silent)}" if view.silent else ""
    return render(view) + note


def _fleet_table(view: FleetView) -> str:
    header = ("vm", "version", "failure_domain", "region", "callers", "draining")
    rows = [
        (
            *(answer["proxy"][key] for key in header),
            *_service_counts(answer["services"]),
        )
        for answer in view.answers.values()
    ]
    return table((*header, "services", "rejected"), rows)


def _service_counts(services: dict[str, t.Any]) -> tuple[int, int]:
    found = services["services"].values()
    return len(found), sum(bool(service["rejected"]) for service in found)


def _revisions_table(view: FleetView) -> str:
    counts: collections.Counter[tuple[str, int]] = collections.Counter(
        (name, service["revision"])
        for answer in view.answers.values()
        for name, service in answer["services"]["services"].items()
    )
    rows = [(name, rev, n) for (name, rev), n in sorted(counts.items())]
    return table(("service", "revision", "proxies"), rows)


def _echo_rows(
    header: tuple[str, ...], rows: list[tuple[t.Any, ...]], as_json: bool
) -> None:
    if as_json:
        click.echo(_json([dict(zip(header, row, strict=True)) for row in rows]))
        return
    click.echo(table(header, rows))


def _json(value: t.Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value)).decode()


if __name__ == "__main__":
    main()
