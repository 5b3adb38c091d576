"""Emulate the metadata store: versioned objects, watches and faults."""

import asyncio
import json
import time
import typing as t

from aiohttp import web

Json = dict[str, t.Any]
_ROUTE = "/rosemaryridge/objects/{kind}"
_PAGE_SIZE = 500
_STATUS_BY_FAULT = {"busy": 503, "many": 429}


class StoreCopy(t.NamedTuple):
    """Hold the objects of a store at a revision."""

    objects: dict[str, dict[str, Json]]
    revision: int


class RawJson(t.NamedTuple):
    """Hold a value as the text that answers contain, which readers may refuse."""

    text: str


def _respond(data: t.Any, status: int = 200) -> web.Response:
    """Return a JSON response; values of type `RawJson` are written as they are."""
    raw: dict[str, str] = {}

    def hold(value: t.Any) -> t.Any:
        if isinstance(value, RawJson):
            name = f"raw-json-{len(raw)}"
            raw[f'"{name}"'] = value.text
            return name
        if isinstance(value, dict):
            return {key: hold(item) for key, item in value.items()}
        return [hold(item) for item in value] if isinstance(value, list) else value

    text = json.dumps(hold(data))
    for name, value in raw.items():
        text = text.replace(name, value)
    return web.Response(text=text, status=status, content_type="application/json")


class MetadataStore:
    """Store objects and their history; `fault` is the fault injected into requests.

    Faults: `busy` answers 503, `many` answers 429, `silent` never answers, `lost`
    applies a change and drops its answer.
    """

    def __init__(self, page_size: int = _PAGE_SIZE):
        self.fault = ""
        self.calls = 0
        self.delay_s = 0.0
        self.revision = 1
        self.objects: dict[str, dict[str, Json]] = {}
        self._page_size = page_size
        self._history: list[tuple[int, str, Json, bool]] = []
        self._compacted_revision = 0
        # Whether changes stay out of the history that watches read.
        self.hide_changes = False
        self._watch_requests: dict[int, web.Request] = {}
        self._silent: set[int] = set()
        self._changed: asyncio.Event = asyncio.Event()
        # How often the store has come back from a copy; None names no era.
        self.era: int | None = None
        # A body that replaces that of every answer.
        self.body = b""

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get(_ROUTE, self._list)
        app.router.add_get(_ROUTE + "/{name}", self._get)
        app.router.add_post(_ROUTE, self._create)
        app.router.add_put(_ROUTE + "/{name}", self._replace)
        app.router.add_delete(_ROUTE + "/{name}", self._delete)
        app.middlewares.append(self._inject_fault)
        return app

    def write(self, kind: str, name: str, spec: t.Any) -> int:
        """Write an object unconditionally and return its revision."""
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created_at": int(time.time() * 1000),
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, item, deleted=False)
        return self.revision

    def erase(self, kind: str, name: str) -> None:
        """Delete an object as its expiry would."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, deleted=True)

    def copy(self) -> "StoreCopy":
        """Return a copy of the objects, as it would be made for a restart."""
        objects = {kind: dict(found) for kind, found in self.objects.items()}
        return StoreCopy(objects, self.revision)

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy, in the next era; later revisions are given out again.

        What the operator and the targets wrote since must be written again.
        """
        self.objects = {kind: dict(found) for kind, found in copy.objects.items()}
        self.revision = copy.revision
        self._history = [item for item in self._history if item[0] <= copy.revision]
        self.era = (self.era or 0) + 1
        self.cut_watches()

    def compact(self) -> None:
        """Discard the history; watches of older revisions end with status 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify_watches()

    def cut_watches(self) -> None:
        """Abort the connections of all waiting watches."""
        for request in self._watch_requests.values():
            if request.transport is not None:
                request.transport.abort()

    def silence_watches(self) -> None:
        """Never answer the waiting watches; their connections stay open."""
        self._silent.update(self._watch_requests)

    def _record(self, kind: str, item: Json, deleted: bool) -> None:
        if self.hide_changes:
            return
        self._history.append((self.revision, kind, item, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _inject_fault(
        self, request: web.Request, handler: t.Callable
    ) -> web.StreamResponse:
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(3600.0)
        if self.fault in _STATUS_BY_FAULT:
            response = web.Response(status=_STATUS_BY_FAULT[self.fault])
        else:
            response = await handler(request)
        if self.fault == "lost" and request.method != "GET":
            request.transport.abort()
        if self.body:
            response = web.Response(body=self.body)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            self._watch_requests[id(request)] = request
            try:
                response = await self._watch(kind, request)
                if id(request) in self._silent:
                    await asyncio.sleep(3600.0)
                return response
            finally:
                del self._watch_requests[id(request)]
                self._silent.discard(id(request))
        after = request.query.get("after", "")
        found = sorted(self.objects.get(kind, {}).items())
        items = [item for name, item in found if name > after]
        page = {
            "items": items[: self._page_size],
            "has_more": len(items) > self._page_size,
            "store_revision": self.revision,
        }
        return _respond(page)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query["watch"])
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000.0
        while True:
            if since < self._compacted_revision or since > self.revision:
                return web.Response(status=410)
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "store_revision": self.revision}
                return _respond(body)
            changed_event = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed_event.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        item = self._find_object(request)
        if item is None:
            return web.Response(status=404)
        return _respond(item)

    async def _create(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        kind, name = request.match_info["kind"], body["meta"]["name"]
        stored = self.objects.get(kind, {}).get(name)
        if stored is not None:
            return _respond(stored, status=409)
        self.write(kind, name, body.get("spec"))
        return _respond(self.objects[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        stored = self._find_object(request)
        if stored is None:
            return web.Response(status=404)
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != stored["meta"]["revision"]:
            return _respond(stored, status=409)
        kind, name = request.match_info["kind"], request.match_info["name"]
        self.write(kind, name, body.get("spec"))
        return _respond(self.objects[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        self.erase(request.match_info["kind"], request.match_info["name"])
        return web.Response(status=200)

    def _find_object(self, request: web.Request) -> Json | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects.get(kind, {}).get(name)
