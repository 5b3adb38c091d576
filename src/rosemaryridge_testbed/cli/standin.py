"""Start one stand-in process."""

import click
import msgspec
import uvloop

from rosemaryridge_testbed.target import Knobs
from rosemaryridge_testbed.target import TargetOptions
from rosemaryridge_testbed.target import run_target


@click.group()
def main() -> None:
    """Start a stand-in for a target, the platform or the network."""


@main.command()
@click.option("--name", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--admin-port", type=int, required=True)
@click.option("--term", type=int, default=1, show_default=True)
@click.option("--follow", default="", help="Primary as host:port; none: be primary.")
@click.option("--data-dir", default="", help="Keep the log over a restart.")
@click.option("--route", "routes", multiple=True, help="PUBLIC=DIALLED endpoint.")
@click.option("--knobs", default="{}", help="Settings of the admin port, as JSON.")
def target(routes: tuple[str, ...], knobs: str, **options: object) -> None:
    """Serve PostgreSQL with asynchronous replication."""
    pairs = tuple(tuple(route.split("=", 1)) for route in routes)
    chosen = msgspec.json.decode(knobs, type=Knobs)
    uvloop.run(run_target(TargetOptions(routes=pairs, **options), chosen))


if __name__ == "__main__":
    main()
