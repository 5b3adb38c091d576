"""Serve health, metrics, status and commands over HTTP."""

import typing as t

import msgspec
from aiohttp import web

from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry._metrics import Metrics
from rosemaryridge.telemetry._pages import Pages
from rosemaryridge.telemetry._pages import UnknownPage

_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_SHUTDOWN_TIMEOUT_S = 0.5


class AdminServer:
    """Serve the admin port to operators and the platform."""

    def __init__(self, listen: Endpoint, metrics: Metrics, pages: Pages):
        self._listen = listen
        self._metrics = metrics
        self._pages = pages
        self._runner: web.AppRunner | None = None

    async def start(self) -> Endpoint:
        """Listen and return the bound address."""
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        self._runner = runner
        host = self._listen.host
        await web.TCPSite(runner, host, self._listen.port).start()
        return Endpoint(host, runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening; open requests get 0.5 s to end."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _application(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_readiness)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/status/{section}", self._get_status)
        app.router.add_post("/commands/{command}", self._run_command)
        return app

    async def _get_health(self, _req: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_readiness(self, _req: web.Request) -> web.Response:
        waiting_for = self._pages.unmet_conditions()
        status = _UNAVAILABLE if waiting_for else _OK
        body = {"ready": not waiting_for, "waiting_for": waiting_for}
        return _json_response(body, status)

    async def _get_metrics(self, _req: web.Request) -> web.Response:
        self._pages.refresh_gauges()
        page = self._metrics.render()
        return web.Response(body=page, headers={"Content-Type": _METRICS_CONTENT_TYPE})

    async def _get_status(self, req: web.Request) -> web.Response:
        section = req.match_info.get("section", "")
        try:
            return _json_response(self._pages.status([section] if section else []))
        except UnknownPage:
            return _json_response(
                {"error": f"unknown section {section!r}; GET /status returns all"},
                _NOT_FOUND,
            )

    async def _run_command(self, req: web.Request) -> web.Response:
        name = req.match_info["command"]
        try:
            args = msgspec.json.decode(await req.read() or b"{}", type=dict[str, str])
            return _json_response(await self._pages.run_command(name, args))
        except UnknownPage:
            return _json_response({"error": f"unknown command {name!r}"}, _NOT_FOUND)
        except ValueError as exc:
            return _json_response({"error": str(exc)}, _BAD_REQUEST)


def _json_response(value: t.Any, status: int = _OK) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")
