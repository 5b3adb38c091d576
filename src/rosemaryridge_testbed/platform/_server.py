"""Serve the object API over HTTP with configurable faults."""

import asyncio
import contextlib
import dataclasses
import time
import typing as t

import msgspec
from aiohttp import web

from rosemaryridge_testbed._process import wait_for_signal
from rosemaryridge_testbed.platform._store import Conflict
from rosemaryridge_testbed.platform._store import RateLimit
from rosemaryridge_testbed.platform._store import Store
from rosemaryridge_testbed.platform._store import TooLarge

Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Set the platform's address and rate limits in calls a second."""

    host: str
    port: int
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0


class Vm(msgspec.Struct, frozen=True):
    """Describe one VM of the VM list."""

    vm: str
    address: str
    failure_domain: str
    leaving: bool = False


class Faults(msgspec.Struct, kw_only=True):
    """Set the active faults; times in milliseconds.

    `lose_answers` is the number of next writes that are stored but not answered. Calls
    that arrive or wait while `silent` is set are never answered.
    """

    outage: bool = False
    silent: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    vm_list_lag_ms: float = 0.0


class Counts(msgspec.Struct):
    """Count served calls by type, and calls rejected by a rate limit."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    limited: int = 0


class Platform:
    """Handle requests to the object API and the admin API."""

    def __init__(self, options: PlatformOptions):
        now = time.monotonic()
        self._read_limit = RateLimit(options.reads_per_s, now)
        self._write_limit = RateLimit(options.writes_per_s, now)
        self._store = Store()
        self._faults = Faults()
        self._counts = Counts()
        self._vms: tuple[Vm, ...] = ()
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            middlewares=[self._apply_limits_and_faults], client_max_size=8 << 20
        )
        router = app.router
        router.add_get("/v1/objects/{kind}", self._list)
        router.add_get("/v1/objects/{kind}/{name}", self._get)
        router.add_put("/v1/objects/{kind}/{name}", self._put)
        router.add_get("/v1/watch/{kind}", self._watch)
        router.add_get("/v1/vms", self._get_vms)
        router.add_get("/admin/state", self._get_state)
        router.add_post("/admin/faults", self._post_faults)
        router.add_post("/admin/vms", self._post_vms)
        return app

    @web.middleware
    async def _apply_limits_and_faults(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if req.path.startswith("/admin/"):
            return await handler(req)
        limit = self._write_limit if req.method == "PUT" else self._read_limit
        wait_s = limit.acquire(time.monotonic())
        if wait_s > 0.0:
            self._counts.limited += 1
            return web.Response(status=429, headers={"Retry-After": f"{wait_s:.3f}"})
        await asyncio.sleep(self._faults.slow_ms / 1000.0)
        if self._faults.outage:
            return web.Response(status=503)
        if self._faults.silent:
            await self._stay_silent()
        return await handler(req)

    async def _stay_silent(self) -> t.NoReturn:
        while True:
            await asyncio.sleep(3600.0)

    async def _list(self, req: web.Request) -> web.Response:
        self._counts.reads += 1
        return self._changes_response(req.match_info["kind"], 0)

    def _changes_response(self, kind: str, since: int) -> web.Response:
        objects = self._store.list(kind, since)
        return _json_response({"revision": self._store.revision, "objects": objects})

    async def _get(self, req: web.Request) -> web.Response:
        self._counts.reads += 1
        item = self._store.get(req.match_info["kind"], req.match_info["name"])
        return _json_response(item) if item else web.Response(status=404)

    async def _put(self, req: web.Request) -> web.Response:
        self._counts.writes += 1
        kind, name = req.match_info["kind"], req.match_info["name"]
        expected = int(req.headers.get("If-Match", "0").strip('"'))
        value = (await req.read()).decode()
        try:
            item = self._store.put(kind, name, value, expected)
        except Conflict as exc:
            return _json_response({"version": exc.version}, status=412)
        except TooLarge:
            return web.Response(status=413)
        self._changed.set()
        self._changed = asyncio.Event()
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            req.transport.abort()
        return _json_response(item)

    async def _watch(self, req: web.Request) -> web.Response:
        self._counts.watches += 1
        kind = req.match_info["kind"]
        since = int(req.query.get("since", "0"))
        end = time.monotonic() + min(float(req.query.get("wait_s", "30")), 60.0)
        while not self._faults.outage and not self._store.list(kind, since):
            if self._faults.silent:
                await self._stay_silent()
            left_s = end - time.monotonic()
            changed = self._changed
            if left_s <= 0.0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if self._faults.outage:
            return web.Response(status=503)
        return self._changes_response(kind, since)

    async def _get_vms(self, _req: web.Request) -> web.Response:
        self._counts.reads += 1
        return _json_response({"vms": self._vms})

    async def _post_vms(self, req: web.Request) -> web.Response:
        vms = msgspec.json.decode(await req.read(), type=tuple[Vm, ...])
        lag_s = self._faults.vm_list_lag_ms / 1000.0
        if lag_s > 0.0:
            asyncio.get_running_loop().call_later(lag_s, self._set_vms, vms)
        else:
            self._set_vms(vms)
        return _json_response({"vms": vms})

    def _set_vms(self, vms: tuple[Vm, ...]) -> None:
        self._vms = vms

    async def _post_faults(self, req: web.Request) -> web.Response:
        change = msgspec.json.decode(await req.read())
        merged = {**msgspec.structs.asdict(self._faults), **change}
        self._faults = msgspec.convert(merged, Faults)
        self._changed.set()
        self._changed = asyncio.Event()
        return _json_response(self._faults)

    async def _get_state(self, _req: web.Request) -> web.Response:
        state = {"faults": self._faults, "counts": self._counts}
        return _json_response({**state, "revision": self._store.revision})


def _json_response(value: t.Any, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


async def run_platform(options: PlatformOptions) -> None:
    """Serve until SIGTERM or SIGINT."""
    app = Platform(options).application()
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, options.host, options.port).start()
    try:
        await wait_for_signal()
    finally:
        await runner.cleanup()
