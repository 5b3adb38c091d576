"""Start a target and serve its admin API over HTTP."""

import asyncio
import contextlib
import pathlib

import msgspec
from aiohttp import web

from rosemaryridge.model import Role
from rosemaryridge_testbed._process import wait_for_signal
from rosemaryridge_testbed.target._engine import Engine
from rosemaryridge_testbed.target._knobs import ConcurrencyLimit
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import Log
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._member import Promise
from rosemaryridge_testbed.target._replication import Receiver
from rosemaryridge_testbed.target._replication import Sender
from rosemaryridge_testbed.target._server import TargetOptions
from rosemaryridge_testbed.target._server import TargetServer
from rosemaryridge_testbed.target._transaction import TargetContext


class TargetState(msgspec.Struct, frozen=True):
    """Report a target's role, log positions and load."""

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
        self._data_dir = pathlib.Path(options.data_dir) if options.data_dir else None
        self._member = Member(
            options.name, self._load_promise(), self._load_log(), Engine(), knobs
        )
        self._context = TargetContext(
            self._member, knobs, ConcurrencyLimit(knobs), self._resumed
        )
        self._sender = Sender(self._context)
        self._receiver = Receiver(self._context, dict(options.routes))
        self._server = TargetServer(self._context, self._sender.serve)
        self._member.on_fence.append(self._terminate_writers)
        self._member.on_save = self._save_promise
        self._member.on_rebuild.append(self._terminate_callers)

    def _load_log(self) -> Log:
        return Log(self._data_dir / "log" if self._data_dir else None)

    def _load_promise(self) -> Promise:
        if self._data_dir and (self._data_dir / "promise").exists():
            return msgspec.json.decode(
                (self._data_dir / "promise").read_bytes(), type=Promise
            )
        role = Role.REPLICA if self._options.follow else Role.PRIMARY
        term = self._options.term
        return Promise(role, term, term, upstream=self._options.follow)

    def _save_promise(self) -> None:
        if self._data_dir:
            (self._data_dir / "promise").write_bytes(
                msgspec.json.encode(self._member.promise)
            )

    def _terminate_writers(self) -> None:
        for tx in [tx for tx in self._context.transactions if tx.is_writing]:
            tx.terminate()

    def _terminate_callers(self) -> None:
        for tx in list(self._context.transactions):
            tx.terminate()

    async def start(self) -> None:
        """Listen for callers, replicas and admin requests."""
        self._member.apply(len(self._member.log.entries))
        self._apply_knobs()
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
        """Stop serving and remove the database files."""
        self._receiver.stop()
        self._server.close()
        await self._runner.cleanup()
        self._member.engine.close()

    def _apply_knobs(self) -> None:
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
        self._apply_knobs()
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
            peak_statements=self._context.statement_limit.peak,
            reads=dict(self._context.reads),
        )
        return web.Response(
            body=msgspec.json.encode(state), content_type="application/json"
        )


async def run_target(options: TargetOptions, knobs: Knobs) -> None:
    """Serve until SIGTERM or SIGINT."""
    target = Target(options, knobs)
    await target.start()
    try:
        await wait_for_signal()
    finally:
        with contextlib.suppress(OSError):
            await target.stop()
