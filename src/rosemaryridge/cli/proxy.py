"""Run the proxy daemon of one entry VM."""

import asyncio
import signal
import sys

import click
import uvloop

from rosemaryridge import codes
from rosemaryridge.cli._common import fail
from rosemaryridge.cli._common import version_option
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import load_settings
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.proxy import Proxy
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import start_logging

log = Log("proxy")


async def _run(path: str, cfg: ProxySettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stopping.set)
    proxy = Proxy(cfg)
    proxy.on_drain = stopping.set
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, path)
    start_logging(cfg.log, proxy.timer, proxy.metrics, sys.stderr)
    await proxy.start()
    await stopping.wait()
    await proxy.stop()


def _reload(proxy: Proxy, path: str) -> None:
    try:
        proxy.reload(load_settings(path))
    except SettingsError as exc:
        proxy.metrics.refuse(codes.config.INVALID_FILE)
        log.error(
            "Settings reload failed; the previous settings stay in force.",
            faults=str(exc),
        )


@click.command()
@click.option("--settings", required=True, help="Path of the settings file.")
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@version_option
def main(settings: str, check: bool) -> None:
    """Serve callers until SIGTERM; SIGHUP reloads the settings."""
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        fail(exc)
    if check:
        click.echo(f"{settings} is valid.")
    else:
        uvloop.run(_run(settings, cfg))


if __name__ == "__main__":
    main()
