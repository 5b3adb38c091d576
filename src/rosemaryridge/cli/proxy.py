"""Run the proxy daemon of one entry VM."""

import asyncio
import signal
import sys

import click
import uvloop

from rosemaryridge.config import ProxySettings
from rosemaryridge.config import load_settings
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.proxy import Proxy
from rosemaryridge.telemetry import start_logging


async def _run(cfg: ProxySettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    proxy = Proxy(cfg)
    proxy.on_drain = stopping.set
    start_logging(cfg.log, proxy.timer, proxy.metrics, sys.stderr)
    await proxy.start()
    await stopping.wait()
    await proxy.stop()


@click.command()
@click.option("--settings", required=True, help="File of settings.")
def main(settings: str) -> None:
    """Serve callers until SIGTERM."""
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        raise click.ClickException(str(exc)) from exc
    uvloop.run(_run(cfg))


if __name__ == "__main__":
    main()
