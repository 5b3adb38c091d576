"""Start a target and take admin commands over HTTP."""

import asyncio
import contextlib
import pathlib

import msgspec
from aiohttp import web

from rosemaryridge.model import Role
from rosemaryridge_testbed._process import until_signalled
from rosemaryridge_testbed.target._engine import Engine
from rosemaryridge_testbed.target._knobs import Gate
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import Log
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._member import Promise
from rosemaryridge_testbed.target._replication import Receiver
from rosemaryridge_testbed.target._replication import Sender
from rosemaryridge_testbed.target._server import TargetOptions
from rosemaryridge_testbed.target._server import TargetServer
from rosemaryridge_testbed.target._transaction import Host


class TargetState(msgspec.Struct, frozen=True):
    """Report a target's role, log and load to a test."""

    name: str
    role: str
    term: int
    fenced_term: int
    received: str
    applied: str
    writable: bool
    callers: int
    peak_callers: int
    peak_statements: int
    reads: dict[str, int]


class Target:
    """Run one target."""

    def __init__(self, options: TargetOptions, knobs: Knobs):
        self._options = options
        self._knobs = knobs
        self._resumed = asyncio.Event()
        self._data = pathlib.Path(options.data_dir) if options.data_dir else None
        self._member = Member(
            options.name, self._load_promise(), self._load_log(), Engine(), knobs
        )
        self._host = Host(self._member, knobs, Gate(knobs), self._resumed)
        self._sender = Sender(self._host)
        self._receiver = Receiver(self._host, dict(options.routes))
        self._server = TargetServer(self._host, self._sender.serve)
        self._member.on_fence.append(self._end_writers)
        self._member.on_save = self._save_promise
        self._member.on_rebuild.append(self._end_callers)

    def _load_log(self) -> Log:
        return Log(self._data / "log" if self._data else None)

    def _load_promise(self) -> Promise:
        if self._data and (self._data / "promise").exists():
            return msgspec.json.decode(
                (self._data / "promise").read_bytes(), type=Promise
            )
        role = Role.REPLICA if self._options.follow else Role.PRIMARY
        term = self._options.term
        return Promise(role, term, term, upstream=self._options.follow)

    def _save_promise(self) -> None:
        if self._data:
            (self._data / "promise").write_bytes(
                msgspec.json.encode(self._member.promise)
            )

    def _end_writers(self) -> None:
        for tx in [tx for tx in self._host.sessions if tx.writing]:
            tx.terminate()

    def _end_callers(self) -> None:
        for tx in list(self._host.sessions):
            tx.terminate()

    async def start(self) -> None:
        """Listen for callers, replicas and the admin."""
        self._member.apply(len(self._member.log.entries))
        self._adopt_knobs()
        options = self._options
        await self._server.start_server(options.host, options.port)
        self._receiver.start()
        app = web.Application()
        app.router.add_get("/state", self._get_state)
        app.router.add_post("/knobs", self._post_knobs)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, options.host, options.admin_port).start()

    async def stop(self) -> None:
        """Close every connection and remove the files."""
        self._receiver.stop()
        self._server.close()
        await self._runner.cleanup()
        self._member.engine.close()

    def _adopt_knobs(self) -> None:
        if self._knobs.paused:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def _post_knobs(self, req: web.Request) -> web.Response:
        change = msgspec.json.decode(await req.read())
        merged = {**msgspec.structs.asdict(self._knobs), **change}
        checked = msgspec.convert(merged, Knobs)
        for name in change:
            setattr(self._knobs, name, getattr(checked, name))
        self._adopt_knobs()
        return web.json_response(merged)

    async def _get_state(self, _req: web.Request) -> web.Response:
        member = self._member
        state = TargetState(
            name=member.name,
            role=member.promise.role.value,
            term=member.promise.term,
            fenced_term=member.promise.fenced_term,
            received=str(member.log.last),
            applied=str(member.applied),
            writable=member.writable,
            callers=self._server.callers,
            peak_callers=self._server.peak_callers,
            peak_statements=self._host.gate.peak,
            reads=dict(self._host.reads),
        )
        return web.Response(
            body=msgspec.json.encode(state), content_type="application/json"
        )


async def run_target(options: TargetOptions, knobs: Knobs) -> None:
    """Serve until SIGTERM or SIGINT."""
    target = Target(options, knobs)
    await target.start()
    try:
        await until_signalled()
    finally:
        with contextlib.suppress(OSError):
            await target.stop()
