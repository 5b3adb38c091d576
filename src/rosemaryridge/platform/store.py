"""Call the platform's metadata store."""

import json
import typing as t
import urllib.parse

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreHistoryGone
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreRefused
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform.documents import CONFIG_KIND
from rosemaryridge.platform.documents import decode_body
from rosemaryridge.platform.http import HttpAnswer
from rosemaryridge.platform.http import HttpClient

_PATH = "/rosemaryridge/objects/"
# A healthy store answers in 4 ms; a slow one in 60 times that on its worst days.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 1.0
# What a watch may take beyond the wait that it asked for.
_WATCH_SLACK_S = 2.0
_RETRY_AFTER_S = 0.5
# No object has this name, so that the answer is short.
_PING_NAME = "ping"


class StoredObject(t.NamedTuple):
    """Hold an object; revision 0 says that there is none."""

    name: str
    revision: int
    spec: t.Any


class Listing(t.NamedTuple):
    """Hold every object of a kind as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(t.NamedTuple):
    """Report that an object was written or removed."""

    object: StoredObject
    removed: bool


class Store:
    """Call the metadata store; each failed call raises a StoreError."""

    def __init__(self, endpoint: Endpoint):
        self._http = HttpClient(endpoint, _CONNECT_TIMEOUT_S)
        self.calls = 0

    async def list(self, kind: str, stale: bool = False) -> Listing:
        """Return every object of a kind, page by page.

        A stale answer costs a tenth and may be seconds old.
        """
        flag = "stale_ok=1" if stale else ""
        data = await self._get(f"{kind}?{flag}" if stale else kind)
        # A watch from a later page's revision would miss what changed meanwhile on
        # the pages before it.
        revision = data["store_revision"]
        objects = [_object(item) for item in data["items"]]
        while data.get("has_more") and data["items"]:
            after = urllib.parse.quote(objects[-1].name, safe="")
            data = await self._get(f"{kind}?after={after}&{flag}".rstrip("&"))
            objects += [_object(item) for item in data["items"]]
        return Listing(tuple(objects), revision)

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject:
        """Return an object; a stale answer costs a tenth and may be seconds old."""
        flag = "?stale_ok=1" if stale else ""
        answer = await self._call("GET", _path(kind, name) + flag)
        if answer.status == 404:
            return StoredObject(name, 0, None)
        return _object(self._body(answer))

    async def ping(self) -> None:
        """Return if the store answers; cheaper than any other call."""
        await self.get(CONFIG_KIND, _PING_NAME, stale=True)

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        """Wait for changes after a revision; return them and the next revision."""
        query = f"{kind}?watch={revision}&wait_ms={int(wait_s * 1000)}"
        data = await self._get(query, wait_s + _WATCH_SLACK_S)
        events = data.get("events") or ()
        changes = (Change(_object(e["object"]), bool(e["deleted"])) for e in events)
        return tuple(changes), data["store_revision"]

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write where the revision matches, 0 for none; return the new one.

        Raises StoreConflict; after StoreUnavailable the write may still be made.
        """
        meta: dict[str, t.Any] = {"name": name}
        if revision:
            meta["revision"] = revision
        body = json.dumps({"meta": meta, "spec": spec}).encode()
        if revision:
            answer = await self._call("PUT", _path(kind, name), body)
        else:
            answer = await self._call("POST", f"{_PATH}{kind}", body)
        return _object(self._body(answer)).revision

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        await self._call("DELETE", _path(kind, name))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _get(self, query: str, timeout_s: float = _CALL_TIMEOUT_S) -> t.Any:
        answer = await self._call("GET", _PATH + query, timeout_s=timeout_s)
        return self._body(answer)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> HttpAnswer:
        self.calls += 1
        answer = await self._http.call(method, path, body, timeout_s=timeout_s)
        status = answer.status
        if status == 410:
            raise StoreHistoryGone(f"{method} {path}: the history is gone")
        if status == 409:
            raise StoreConflict(f"{method} {path}: another revision is stored")
        if status == 429:
            raise StoreLimited(f"{method} {path}: too many calls", _retry_s(answer))
        if status >= 500:
            raise StoreUnavailable(f"{method} {path}: answer {status}")
        if status >= 400 and status != 404:
            raise StoreRefused(f"{method} {path}: answer {status}")
        return answer

    def _body(self, answer: HttpAnswer) -> t.Any:
        try:
            return decode_body(answer.body)
        except ValueError as exc:
            raise StoreUnavailable(f"the answer is unreadable: {exc}") from exc


def _path(kind: str, name: str) -> str:
    return f"{_PATH}{kind}/{urllib.parse.quote(name, safe='')}"


def _object(item: t.Any) -> StoredObject:
    try:
        meta = item["meta"]
        return StoredObject(str(meta["name"]), int(meta["revision"]), item.get("spec"))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUnavailable(f"an object is unreadable: {exc!r}") from exc


def _retry_s(answer: HttpAnswer) -> float:
    try:
        return max(0.0, float(answer.headers.get("retry-after", _RETRY_AFTER_S)))
    except ValueError:
        return _RETRY_AFTER_S
