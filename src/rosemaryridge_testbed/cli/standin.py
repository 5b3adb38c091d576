"""Start an emulator process."""

import click
import msgspec
import uvloop

from rosemaryridge_testbed.link import LinkSpec
from rosemaryridge_testbed.link import run_links
from rosemaryridge_testbed.platform import PlatformOptions
from rosemaryridge_testbed.platform import run_platform
from rosemaryridge_testbed.target import Knobs
from rosemaryridge_testbed.target import TargetOptions
from rosemaryridge_testbed.target import run_target


@click.group()
def main() -> None:
    """Start an emulator of a target, the platform or the network."""


@main.command()
@click.option("--name", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--admin-port", type=int, required=True)
@click.option("--term", type=int, default=1, show_default=True)
@click.option(
    "--follow", default="", help="Primary as host:port; empty to start as primary."
)
@click.option(
    "--data-dir", default="", help="Directory of the log, to retain it across restarts."
)
@click.option(
    "--route",
    "routes",
    multiple=True,
    help="PUBLIC=ACTUAL: endpoint to dial for a published endpoint.",
)
@click.option("--knobs", default="{}", help="Initial knobs of the admin port, as JSON.")
def target(routes: tuple[str, ...], knobs: str, **options: object) -> None:
    """Emulate a PostgreSQL target with asynchronous replication."""
    endpoints = tuple(tuple(route.split("=", 1)) for route in routes)
    initial = msgspec.json.decode(knobs, type=Knobs)
    uvloop.run(run_target(TargetOptions(routes=endpoints, **options), initial))


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--writes-per-s", default=300.0, show_default=True)
@click.option("--reads-per-s", default=2000.0, show_default=True)
def platform(**options: object) -> None:
    """Emulate the platform: its object API and its VM list."""
    uvloop.run(run_platform(PlatformOptions(**options)))


@main.command("fault-proxy")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--admin-port", type=int, required=True)
@click.option("--seed", default=0, show_default=True)
@click.argument("links", nargs=-1)
def fault_proxy(host: str, admin_port: int, seed: int, links: tuple[str, ...]) -> None:
    """Relay links and inject faults; a link is NAME=PORT:TO_HOST:TO_PORT[:by-user]."""
    specs = [_parse_link(link) for link in links]
    uvloop.run(run_links(host, admin_port, specs, seed))


def _parse_link(text: str) -> LinkSpec:
    name, _, rest = text.partition("=")
    port, to_host, to_port, *by_user = rest.split(":")
    return LinkSpec(name, int(port), to_host, int(to_port), bool(by_user))


if __name__ == "__main__":
    main()
