"""Call the object API over HTTP."""

import typing as t
import urllib.parse

import aiohttp

from rosemaryridge import codes
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreRefused
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects._api import StoredObject
from rosemaryridge.objects._api import VmRecord
from rosemaryridge.objects._budget import CallBudget
from rosemaryridge.objects._documents import ObjectDocument
from rosemaryridge.objects._documents import ObjectsDocument
from rosemaryridge.objects._documents import VersionDocument
from rosemaryridge.objects._documents import VmsDocument
from rosemaryridge.objects._documents import decode
from rosemaryridge.objects._settings import PlatformSettings
from rosemaryridge.telemetry import STORE_CALLS
from rosemaryridge.telemetry import STORE_SECONDS
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

MAX_VALUE_BYTES = 1_000_000

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_LIMITED = 429
_SERVER_ERROR = 500
_ERROR_MAX_CHARS = 200
_RETRY_AFTER_DEFAULT_S = 1.0
_RESULT_LABELS = {
    StoreConflict: "conflict",
    StoreLimited: "limited",
    StoreRefused: "refused",
    StoreUnavailable: "unavailable",
}


class _Answer(t.NamedTuple):
    status: int
    body: bytes


class HttpObjectStore:
    """Implement ObjectStore over the platform's HTTP API.

    Each call counts against a budget of this process; a call over the budget raises
    StoreLimited at once, with the time until a retry is allowed.
    """

    def __init__(self, cfg: PlatformSettings, timer: TimerService, metrics: Metrics):
        self._cfg = cfg
        self._timer = timer
        self._metrics = metrics
        self._budget = CallBudget(cfg.calls_per_s, cfg.call_burst, timer.now())
        self._base_url = cfg.base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the object API."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, with version 0 if it does not exist."""
        answer = await self._call("get", "GET", _object_path(kind, name))
        if answer.status == _NOT_FOUND:
            return StoredObject(kind, name, 0, b"")
        return decode(answer.body, ObjectDocument).to_object()

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Write if the stored version is `expected`; return the new version.

        Raises StoreConflict if another version is stored, and StoreRefused if the
        value is larger than MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreRefused(
                f"{kind} {name}: the value has {len(value)} bytes; at most "
                f"{MAX_VALUE_BYTES} are allowed"
            )
        headers = {"If-Match": str(expected), "Content-Length": str(len(value))}
        body = _single_use_body(value)
        path = _object_path(kind, name)
        answer = await self._call("put", "PUT", path, headers=headers, data=body)
        return decode(answer.body, VersionDocument).version

    async def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""
        answer = await self._call("list", "GET", f"/v1/objects/{_quote(kind)}")
        return decode(answer.body, ObjectsDocument).to_objects()

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, tuple[StoredObject, ...]]:
        """Wait for changes after the store revision `since`, at most `wait_s` seconds.

        Returns the revision to pass as the next `since`, and the changed objects.
        """
        params = {"since": str(since), "wait_s": f"{wait_s:.3f}"}
        path = f"/v1/watch/{_quote(kind)}"
        answer = await self._call("watch", "GET", path, wait_s, params=params)
        document = decode(answer.body, ObjectsDocument)
        return document.revision, document.to_objects()

    async def vms(self) -> tuple[VmRecord, ...]:
        """Return the list of live and leaving VMs, which lags behind their state."""
        answer = await self._call("vms", "GET", "/v1/vms")
        document = decode(answer.body, VmsDocument)
        return tuple(vm.to_record() for vm in document.vms)

    async def _call(
        self, call: str, method: str, path: str, wait_s: float = 0.0, **options: t.Any
    ) -> _Answer:
        started_at = self._timer.now()
        try:
            self._acquire_call()
            answer = await self._send(method, path, wait_s, options)
            self._raise_for_status(answer)
        except StoreError as exc:
            self._metrics.inc(STORE_CALLS, call, _RESULT_LABELS[type(exc)])
            raise
        self._metrics.inc(STORE_CALLS, call, "ok")
        if not wait_s:
            self._metrics.observe(STORE_SECONDS, self._timer.now() - started_at, call)
        return answer

    def _acquire_call(self) -> None:
        wait_s = self._budget.acquire(self._timer.now())
        if wait_s > 0.0:
            self._metrics.refuse(codes.platform.STORE_LIMITED)
            raise StoreLimited(
                "this process has used its call budget for the object API; retry later",
                wait_s,
            )

    async def _send(
        self, method: str, path: str, wait_s: float, options: dict[str, t.Any]
    ) -> _Answer:
        timeout = aiohttp.ClientTimeout(
            total=self._cfg.timeout_s + wait_s,
            connect=self._cfg.connect_timeout_s,
        )
        url = self._base_url + path
        try:
            async with self._client_session().request(
                method, url, timeout=timeout, **options
            ) as resp:
                body = await resp.read()
                self._check_rate_limit(resp)
                return _Answer(resp.status, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            self._metrics.refuse(codes.platform.STORE_DOWN)
            raise StoreUnavailable(f"{method} {path}: {type(exc).__name__}") from exc

    def _check_rate_limit(self, resp: aiohttp.ClientResponse) -> None:
        if resp.status != _LIMITED:
            return
        delay_s = _retry_after_s(resp.headers.get("Retry-After", ""))
        self._budget.pause(self._timer.now(), delay_s)
        self._metrics.refuse(codes.platform.STORE_LIMITED)
        raise StoreLimited(
            "the object API limits the rate of calls; retry later", delay_s
        )

    def _raise_for_status(self, answer: _Answer) -> None:
        if answer.status in (_OK, _NOT_FOUND):
            return
        if answer.status == _CONFLICT:
            version = decode(answer.body, VersionDocument).version
            raise StoreConflict(
                f"version {version} is stored instead of the expected version", version
            )
        text = answer.body[:_ERROR_MAX_CHARS].decode(errors="replace")
        if answer.status >= _SERVER_ERROR:
            self._metrics.refuse(codes.platform.STORE_DOWN)
            raise StoreUnavailable(f"the object API answered {answer.status}: {text}")
        raise StoreRefused(f"the object API answered {answer.status}: {text}")

    def _client_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session


async def _single_use_body(value: bytes) -> t.AsyncIterator[bytes]:
    """Yield a request body that can be sent only once.

    aiohttp repeats a PUT by itself if the connection breaks; the repeated PUT could
    conflict with the version that the first attempt created. A consumed body prevents
    this retry.
    """
    yield value


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{_quote(kind)}/{_quote(name)}"


def _retry_after_s(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return _RETRY_AFTER_DEFAULT_S
