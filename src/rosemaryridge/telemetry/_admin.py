"""Serve health, metrics, status and commands over HTTP."""

import typing as t

import msgspec
from aiohttp import web

from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry._metrics import Metrics
from rosemaryridge.telemetry._pages import Pages
from rosemaryridge.telemetry._pages import UnknownPage

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_SHUTDOWN_S = 0.5


class AdminServer:
    """Answer operators and the platform on the admin port."""

    def __init__(self, listen: Endpoint, metrics: Metrics, pages: Pages):
        self._listen = listen
        self._metrics = metrics
        self._pages = pages
        self._runner: web.AppRunner | None = None

    async def start(self) -> Endpoint:
        """Listen; return the address that was bound."""
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=_SHUTDOWN_S
        )
        await runner.setup()
        self._runner = runner
        host = self._listen.host
        await web.TCPSite(runner, host, self._listen.port).start()
        return Endpoint(host, runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _application(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._status)
        app.router.add_get("/status/{section}", self._status)
        app.router.add_post("/commands/{command}", self._command)
        return app

    async def _health(self, _req: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, _req: web.Request) -> web.Response:
        waiting_for = self._pages.unready()
        status = _UNAVAILABLE if waiting_for else _OK
        answer = {"ready": not waiting_for, "waiting_for": waiting_for}
        return _json(answer, status)

    async def _get_metrics(self, _req: web.Request) -> web.Response:
        self._pages.refresh()
        page = self._metrics.render()
        return web.Response(body=page, headers={"Content-Type": _METRICS_TYPE})

    async def _status(self, req: web.Request) -> web.Response:
        section = req.match_info.get("section", "")
        try:
            return _json(self._pages.status([section] if section else []))
        except UnknownPage:
            return _json({"error": f"no section {section!r}"}, _NOT_FOUND)

    async def _command(self, req: web.Request) -> web.Response:
        name = req.match_info["command"]
        try:
            args = msgspec.json.decode(await req.read() or b"{}", type=dict[str, str])
            return _json(await self._pages.run(name, args))
        except UnknownPage:
            return _json({"error": f"no command {name!r}"}, _NOT_FOUND)
        except ValueError as exc:
            return _json({"error": str(exc)}, _BAD_REQUEST)


def _json(value: t.Any, status: int = _OK) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")
