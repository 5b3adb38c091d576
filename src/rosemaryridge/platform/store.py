"""Call the platform's metadata store."""

import collections
import json
import typing as t
import urllib.parse

from rosemaryridge.core import StoreEra
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreHistoryGone
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreRefused
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform.documents import CONFIG_KIND
from rosemaryridge.platform.http import HttpClient
from rosemaryridge.platform.http import HttpResponse
from rosemaryridge.platform.parts import Unreadable
from rosemaryridge.platform.parts import decode_parts

_OBJECTS_PATH = "/rosemaryridge/objects/"
# A healthy store answers in 4 ms, at worst in 240 ms.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 1.0
# Time that a watch may take beyond its requested wait.
_WATCH_SLACK_S = 1.0
_DEFAULT_RETRY_AFTER_S = 0.5
# Counts how often the store has come back from a copy.
_ERA_HEADER = "store-era"
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
# No object has this name, which keeps the response short.
_PING_NAME = "ping"
# Containers around the contents of an object in the answers to calls.
_LEVELS_IN_OBJECT = 1
_LEVELS_IN_LIST = 3
_LEVELS_IN_EVENTS = 4

# Takes the kind, name and revision of an object that cannot be read, and the reason.
OnUnreadable = t.Callable[[str, str, int, str], None]


class StoredObject(t.NamedTuple):
    """Hold an object; revision 0 means that it does not exist.

    `spec` is None if it cannot be read, for the reason in `fault`.
    """

    name: str
    revision: int
    spec: t.Any
    fault: str = ""


class Listing(t.NamedTuple):
    """Hold all objects of a kind at a store revision."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(t.NamedTuple):
    """Describe one write or removal of an object."""

    object: StoredObject
    removed: bool


class Store:
    """Call the metadata store; failed calls raise a StoreError.

    An object that cannot be read affects no other object of an answer.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        era: StoreEra,
        on_unreadable: OnUnreadable = lambda kind, name, revision, reason: None,
    ):
        self._on_unreadable = on_unreadable
        self._http = HttpClient(endpoint, _CONNECT_TIMEOUT_S)
        self._era = era
        # By purpose: the method, the kind of object, and whether it watches or may be
        # answered with older data.
        self.calls: collections.Counter[str] = collections.Counter()

    async def list(self, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind, fetched in pages.

        A stale read costs a tenth of a current one and may be seconds old.
        """
        flag = "stale_ok=1" if stale else ""
        query = f"{kind}?{flag}" if stale else kind
        data = await self._get(query, _LEVELS_IN_LIST)
        era = self._era.current
        # A watch from a later page's revision would miss changes made to earlier
        # pages between the two requests.
        revision = _decode_revision(data)
        objects = page = self._decode_objects(kind, data)
        while data.get("has_more") and data["items"]:
            if not page:
                raise StoreUnavailable(f"{kind}: no object of a page can be read")
            after = urllib.parse.quote(page[-1].name, safe="")
            query = f"{kind}?after={after}&{flag}".rstrip("&")
            data = await self._get(query, _LEVELS_IN_LIST)
            if self._era.current != era:
                raise StoreUnavailable(f"{kind}: the store was restored between pages")
            page = self._decode_objects(kind, data)
            objects += page
        return Listing(objects, revision)

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject:
        """Return an object; a stale read costs a tenth and may be seconds old."""
        flag = "?stale_ok=1" if stale else ""
        resp = await self._call("GET", _object_path(kind, name) + flag)
        if resp.status == 404:
            return StoredObject(name, 0, None)
        data = _decode_response(resp, _LEVELS_IN_OBJECT)
        return self._decode_object(kind, data)

    async def ping(self) -> None:
        """Check that the store answers; cheaper than any other call."""
        await self.get(CONFIG_KIND, _PING_NAME, stale=True)

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        """Wait up to `wait_s` for changes; return them and the next revision."""
        query = f"{kind}?watch={revision}&wait_ms={int(wait_s * 1000)}"
        data = await self._get(query, _LEVELS_IN_EVENTS, wait_s + _WATCH_SLACK_S)
        return self._decode_changes(kind, data), _decode_revision(data)

    async def put(self, kind: str, name: str, spec: t.Any, revision: int) -> int:
        """Write an object if its revision matches; return the new revision.

        Revision 0 creates the object. Raises StoreConflict; after StoreUnavailable
        the write may still take effect.
        """
        meta: dict[str, t.Any] = {"name": name}
        if revision:
            meta["revision"] = revision
        body = json.dumps({"meta": meta, "spec": spec}).encode()
        if revision:
            resp = await self._call("PUT", _object_path(kind, name), body)
        else:
            resp = await self._call("POST", f"{_OBJECTS_PATH}{kind}", body)
        data = _decode_response(resp, _LEVELS_IN_OBJECT)
        return self._decode_object(kind, data).revision

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        await self._call("DELETE", _object_path(kind, name))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _get(
        self, query: str, levels: int, timeout_s: float = _CALL_TIMEOUT_S
    ) -> t.Any:
        resp = await self._call("GET", _OBJECTS_PATH + query, timeout_s=timeout_s)
        return _decode_response(resp, levels)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> HttpResponse:
        self.calls[_purpose_of(method, path)] += 1
        resp = await self._http.call(method, path, body, timeout_s=timeout_s)
        status = resp.status
        if not self._era.observe(_decode_era(resp)):
            raise StoreUnavailable(f"{method} {path}: answer of an earlier era")
        if status == 410:
            raise StoreHistoryGone(f"{method} {path}: changes no longer retained")
        if status == 409:
            raise StoreConflict(f"{method} {path}: stored revision differs")
        if status == 429:
            raise StoreLimited(
                f"{method} {path}: rate limit exceeded", _retry_after_s(resp)
            )
        if status >= 500:
            raise StoreUnavailable(f"{method} {path}: unexpected status {status}")
        if status >= 400 and status != 404:
            raise StoreRefused(f"{method} {path}: unexpected status {status}")
        return resp

    def _decode_object(self, kind: str, item: t.Any) -> StoredObject:
        try:
            meta, spec = item["meta"], item.get("spec")
            name, revision = str(meta["name"]), int(meta["revision"])
        except _DECODE_ERRORS as exc:
            raise StoreUnavailable(f"invalid object in response: {exc!r}") from exc
        if not isinstance(spec, Unreadable):
            return StoredObject(name, revision, spec)
        self._on_unreadable(kind, name, revision, spec.reason)
        return StoredObject(name, revision, None, spec.reason)

    def _decode_named(self, kind: str, item: t.Any) -> StoredObject | None:
        """Return an object of a list, None if not even its name can be read."""
        try:
            return self._decode_object(kind, item)
        except StoreUnavailable as exc:
            self._on_unreadable(kind, "", 0, str(exc))
            return None

    def _decode_objects(self, kind: str, data: t.Any) -> tuple[StoredObject, ...]:
        try:
            found = [self._decode_named(kind, item) for item in _items(data["items"])]
        except _DECODE_ERRORS as exc:
            raise StoreUnavailable(f"invalid list in response: {exc!r}") from exc
        return tuple(obj for obj in found if obj is not None)

    def _decode_changes(self, kind: str, data: t.Any) -> tuple[Change, ...]:
        try:
            events = _items(data.get("events") or [])
        except _DECODE_ERRORS as exc:
            raise StoreUnavailable(f"invalid events in response: {exc!r}") from exc
        found = (self._decode_change(kind, event) for event in events)
        return tuple(change for change in found if change is not None)

    def _decode_change(self, kind: str, event: t.Any) -> Change | None:
        if not isinstance(event, dict) or type(event.get("deleted")) is not bool:
            self._on_unreadable(kind, "", 0, "an event of a watch")
            return None
        found = self._decode_named(kind, event.get("object"))
        return None if found is None else Change(found, event["deleted"])


def _items(value: t.Any) -> list[t.Any]:
    if not isinstance(value, list):
        raise ValueError("expected a list")
    return value


def _decode_response(resp: HttpResponse, levels: int) -> t.Any:
    data = decode_parts(resp.body.decode("utf-8", "replace"), levels)
    if isinstance(data, Unreadable):
        raise StoreUnavailable(f"response body is not valid JSON: {data.reason}")
    return data


def _purpose_of(method: str, path: str) -> str:
    """Return what a call is for, without the names of objects."""
    path, _, query = path.removeprefix(_OBJECTS_PATH).partition("?")
    kind = path.partition("/")[0]
    if method != "GET":
        return f"write {kind}"
    verb = "watch" if "watch=" in query else "read"
    return f"{verb} {kind}{' stale' if 'stale_ok' in query else ''}"


def _object_path(kind: str, name: str) -> str:
    return f"{_OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe='')}"


def _decode_revision(data: t.Any) -> int:
    try:
        return int(data["store_revision"])
    except _DECODE_ERRORS as exc:
        raise StoreUnavailable(f"invalid revision in response: {exc!r}") from exc


def _decode_era(resp: HttpResponse) -> int | None:
    try:
        return int(resp.headers[_ERA_HEADER])
    except (KeyError, ValueError):
        return None


def _retry_after_s(resp: HttpResponse) -> float:
    try:
        return max(0.0, float(resp.headers.get("retry-after", _DEFAULT_RETRY_AFTER_S)))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
