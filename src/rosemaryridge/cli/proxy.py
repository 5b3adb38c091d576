"""Run the proxy daemon of one entry VM."""

import asyncio
import signal

import click
import uvloop

from rosemaryridge.config import ProxySettings
from rosemaryridge.config import load_service
from rosemaryridge.config import load_settings
from rosemaryridge.proxy import Proxy


async def _run(cfg: ProxySettings, services: tuple[str, ...]) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    proxy = Proxy(cfg)
    for path in services:
        proxy.adopt(load_service(path))
    await proxy.start()
    await stopping.wait()
    await proxy.stop()


@click.command()
@click.option("--settings", required=True, help="File of settings.")
@click.option("--service", "services", multiple=True, help="File of a service.")
def main(settings: str, services: tuple[str, ...]) -> None:
    """Serve callers until SIGTERM."""
    uvloop.run(_run(load_settings(settings), services))


if __name__ == "__main__":
    main()
