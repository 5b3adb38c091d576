"""Run many links in one process, with an admin port."""

import random
import typing as t

import msgspec
from aiohttp import web

from rosemaryridge_testbed._process import wait_for_signal
from rosemaryridge_testbed.link._flow import Channel
from rosemaryridge_testbed.link._flow import LinkFaults
from rosemaryridge_testbed.link._link import Link
from rosemaryridge_testbed.link._link import LinkSpec

Command = t.Callable[[Channel, dict[str, t.Any]], None]
_COMMANDS: dict[str, Command] = {}


def _command(name: str) -> t.Callable[[Command], Command]:
    def register(command: Command) -> Command:
        _COMMANDS[name] = command
        return command

    return register


@_command("faults")
def _faults(channel: Channel, args: dict[str, t.Any]) -> None:
    merged = {**msgspec.structs.asdict(channel.faults), **args}
    channel.set_faults(msgspec.convert(merged, LinkFaults))


@_command("silence")
def _silence(channel: Channel, _change: dict[str, t.Any]) -> None:
    channel.silence()


@_command("close-all")
def _close_all(channel: Channel, _change: dict[str, t.Any]) -> None:
    channel.close_all()


@_command("close-after")
def _close_after(channel: Channel, args: dict[str, t.Any]) -> None:
    channel.close_after(int(args["bytes"]))


class LinkServer:
    """Run the links of one process."""

    def __init__(self, specs: t.Iterable[LinkSpec], seed: int):
        self._links = {
            spec.name: Link(spec, random.Random(f"{seed}/{spec.name}"))
            for spec in specs
        }

    def application(self) -> web.Application:
        """Return the admin application."""
        app = web.Application()
        app.router.add_post("/{command}", self._on_command)
        return app

    async def start(self, host: str) -> None:
        """Listen on every link's port."""
        for link in self._links.values():
            await link.start(host)

    async def stop(self) -> None:
        """Stop every link."""
        for link in self._links.values():
            await link.stop()

    async def _on_command(self, req: web.Request) -> web.Response:
        args = msgspec.json.decode(await req.read() or b"{}")
        names = args.pop("links")
        command = _COMMANDS[req.match_info["command"]]
        for name in names:
            link = self._links[name.partition("/")[0]]
            command(link.channel(name), args)
        return web.json_response({})


async def run_links(
    host: str, admin_port: int, specs: t.Sequence[LinkSpec], seed: int
) -> None:
    """Run the links and their admin port until SIGTERM or SIGINT."""
    server = LinkServer(specs, seed)
    await server.start(host)
    runner = web.AppRunner(server.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, admin_port).start()
    try:
        await wait_for_signal()
    finally:
        await server.stop()
        await runner.cleanup()
