"""Stand-ins of the platform, its backends and callers for the scripts 11 to 15.

They need the standard library only. The backends are those of the project's own site.
"""

import asyncio
import dataclasses
import importlib.util
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
_OBJECTS = "/rosemaryridge/objects/"
_TARGETS = ROOT / "src" / "rosemaryridge_testbed" / "site" / "_target.py"
# The command of the deploy file; the platform adds the built packages to the path.
COMMAND = ("python3", "-S", "src/rosemaryridge_entry.py")
_FIRST_PORT, _END_PORT = 15_000, 30_000
_given: set[int] = set()
# Time between two writes of `Writers`.
_WRITE_PERIOD_S = 0.1
Json = dict[str, t.Any]
# Codes that promise that nothing of the attempt is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


def _load_targets() -> types.ModuleType:
    spec = importlib.util.spec_from_file_location("site_targets", _TARGETS)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


targets = _load_targets()


class CannotRun(Exception):
    """Report that a case could not be set up; the script exits with 2."""


class Record:
    """Write what was sent, answered and run into a file, with times."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of loopback.

    They lie below those that the system gives to outgoing connections, so that a
    process which starts again finds its own still free.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(_FIRST_PORT, _END_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found and port not in _given:
            found.append(port)
    _given.update(found)
    return found


class HttpServer:
    """Serve HTTP/1.1 requests of any number of connections."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Close the listener and the connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def answer(
        self, method: str, path: str, query: Json, headers: Json, body: bytes
    ) -> tuple[int, Json] | None:
        """Return the status and the body of a response; None to send none."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        fields = (line.partition(":") for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        path, _, query = target.partition("?")
        response = await self.answer(
            method, path, dict(urllib.parse.parse_qsl(query)), headers, body
        )
        if response is None:
            return False
        data = json.dumps(response[1]).encode()
        start = f"HTTP/1.1 {response[0]} -\r\nContent-Type: application/json\r\n"
        writer.write(f"{start}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()
        return True


class Store(HttpServer):
    """Store objects by kind and name, with one revision counter and their history."""

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.objects: dict[str, dict[str, Json]] = {}
        self.revision = 1
        # Called after a write of the system was confirmed: its kind, name and spec.
        self.on_confirmed: t.Callable[[str, str, t.Any], None] = lambda *_: None
        self._history: list[tuple[int, str, Json, bool]] = []
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: t.Any) -> Json:
        """Write an object without a condition."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created_at": 0}
        meta |= {"finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = item
        self._add(kind, item, False)
        return item

    def erase(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._add(kind, item, True)

    def _add(self, kind: str, item: Json, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(
        self, method: str, path: str, query: Json, headers: Json, body: bytes
    ) -> tuple[int, Json] | None:
        """Answer a call as the platform's page says."""
        kind, _, name = path.removeprefix(_OBJECTS).partition("/")
        name = urllib.parse.unquote(name)
        stored = self.objects.get(kind, {}).get(name)
        if method == "GET" and name:
            return (200, stored) if stored else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            found = [item for _, item in sorted(self.objects.get(kind, {}).items())]
            return 200, {
                "items": found,
                "has_more": False,
                "store_revision": self.revision,
            }
        if method == "DELETE":
            self.erase(kind, name)
            return 200, {}
        data = json.loads(body)
        name = name or data["meta"]["name"]
        stored = self.objects.get(kind, {}).get(name)
        wanted = data["meta"].get("revision")
        if method == "POST" and stored or method == "PUT" and not stored:
            return (409, stored) if stored else (404, {})
        if method == "PUT" and wanted not in (None, stored["meta"]["revision"]):
            return 409, stored
        item = self.write(kind, name, data.get("spec"))
        self.record.write(f"store: {method} {kind}/{name} {json.dumps(item['spec'])}")
        loop = asyncio.get_running_loop()
        loop.call_soon(self.on_confirmed, kind, name, item["spec"])
        return 200, item

    async def _watch(self, kind: str, query: Json) -> tuple[int, Json]:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000.0
        while True:
            changed = self._changed
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._history
                if of_kind == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue


class Cloud(HttpServer):
    """Take orders to promote a backend."""

    def __init__(self, site: "Site"):
        super().__init__()
        self._site = site
        self._fences: dict[str, int] = {}

    async def answer(
        self, method: str, path: str, query: Json, headers: Json, body: bytes
    ) -> tuple[int, Json] | None:
        """Carry an order out, unless its fence is outdated where fences are checked."""
        order = json.loads(body)
        service, name = order["service"], order["id"]
        fence = int(headers["x-rosemaryridge-fencing-token"])
        holder = headers["x-rosemaryridge-lease-holder"]
        self._site.record.write(f"cloud: promote {name} fence {fence} by {holder}")
        group = self._site.groups[service]
        if self._site.fenced and fence < self._fences.get(service, 0):
            return 409, {}
        self._fences[service] = max(fence, self._fences.get(service, 0))
        if name not in group.targets or group.targets[name]._crashed:
            return 409, {}
        self._site.spawn(group.promote(name))
        return 200, {}


@dataclasses.dataclass(frozen=True)
class Shape:
    """Set the size of a small deployment."""

    services: tuple[str, ...] = ("ledger",)
    fronts: int = 2
    slots: int = 3
    connections: int = 45
    sync_replicas: int = 0
    lag_s: float = 0.02
    promote_s: float = 1.0
    fenced: bool = True
    timeout_ms: int = 1000
    tx_idle_ms: int = 3000
    memory_mb: int = 222
    fds: int = 1605
    grace_s: int = 6
    config_apply_ms: int = 4000
    # By name: the keys of each tenant; None where the config knows no tenants.
    tenants: t.Mapping[str, tuple[str, ...]] | None = None


class Site:
    """Run the store, the promotion orders, the backends and the fronts."""

    def __init__(self, shape: Shape, record: Record):
        self.shape = shape
        self.record = record
        self.fenced = shape.fenced
        self.store = Store(record)
        self.cloud = Cloud(self)
        self.groups: dict[str, t.Any] = {}
        self.fronts: list[Front] = []
        self._sequence = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._folder = tempfile.TemporaryDirectory()

    def spawn(self, work: t.Coroutine) -> asyncio.Task:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        """Start everything, and wait until all fronts are ready."""
        await self.store.start()
        await self.cloud.start()
        for service in self.shape.services:
            await self._start_group(service)
        self.publish(1, self.shape.tenants)
        for number in range(self.shape.fronts):
            front = Front(self, f"front-{number}", pathlib.Path(self._folder.name))
            self.fronts.append(front)
            front.start()
        await asyncio.gather(*(front.wait_until_ready() for front in self.fronts))
        self.spawn(self._report_backends())

    async def _start_group(self, service: str) -> None:
        shape = self.shape
        group = targets.SiteGroup(
            service, shape.lag_s, shape.promote_s, not shape.fenced, shape.sync_replicas
        )
        self.groups[service] = group
        for number, port in enumerate(free_ports(3)):
            backend = targets.SiteTarget(
                f"i-{service}-{number}",
                group,
                shape.slots,
                work_s=0.008,
                max_connections=shape.connections,
                report=self.register,
            )
            await backend.start(port)
        group.primary = f"i-{service}-0"
        for backend in group.targets.values():
            self.register(backend)

    async def _report_backends(self) -> None:
        """Write the entries of live backends every heartbeat, remove silent ones."""
        silent: dict[str, int] = {}
        while True:
            await asyncio.sleep(1.2)
            for group in self.groups.values():
                for backend in list(group.targets.values()):
                    if not backend._crashed:
                        silent[backend.name] = 0
                        self.register(backend)
                        continue
                    silent[backend.name] = silent.get(backend.name, 0) + 1
                    if silent[backend.name] == 3:
                        self.store.erase("servers", backend.name)

    def register(self, backend: t.Any) -> None:
        """Write a backend's entry; only a change other than of `sequence` counts."""
        if backend._crashed:
            return
        spec = {
            "service": backend.group.service,
            "address": backend.address,
            "zone": "khomas-a",
            "version": "v1",
            "capacity": self.shape.slots,
            "phase": "draining" if backend.draining else "ready",
            "warmup_left_ms": 0,
            "db_role": "primary" if backend.is_primary else "replica",
            "born": 1_700_000_000_000,
        }
        known = self.store.objects.get("servers", {}).get(backend.name)
        if known is not None and known["spec"] | {"sequence": 0} == spec | {
            "sequence": 0
        }:
            return
        spec["sequence"] = next(self._sequence)
        self.store.write("servers", backend.name, spec)

    def publish(
        self, version: int, tenants: t.Mapping[str, tuple[str, ...]] | None
    ) -> None:
        """Write a config as the operator does."""
        spec = self._config(version)
        if tenants is not None:
            spec["tenants"] = [
                {
                    "name": name,
                    "api_keys": list(keys),
                    "priority": 1,
                    "rate_per_s": 1000.0,
                    "burst": 1000.0,
                }
                for name, keys in tenants.items()
            ]
        self.store.write("config", "main", spec)
        self.record.write(f"operator: config {json.dumps(spec)}")

    def _config(self, version: int) -> Json:
        shape = self.shape
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        routes = [
            {
                "name": f"r-{service}-{kind}",
                "database": f"{service}-{kind}",
                "service": service,
                "type": kind,
                "timeout_ms": shape.timeout_ms,
                "target_latency_ms": 600,
                "priority": 1,
                "max_staleness_ms": 1500,
            }
            for service in shape.services
            for kind in kinds
        ]
        services = [
            {
                "name": service,
                "max_conns": shape.connections,
                "sync_replicas": shape.sync_replicas,
            }
            for service in shape.services
        ]
        limits = {"tx_idle_ms": shape.tx_idle_ms}
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for front in self.fronts:
            front.kill()
        for task in list(self._tasks):
            task.cancel()
        for group in self.groups.values():
            for backend in group.targets.values():
                await backend.crash()
        self.store.stop()
        self.cloud.stop()
        self._folder.cleanup()


class Front:
    """Run the project's program of a front machine as a process of its own."""

    def __init__(self, site: Site, name: str, folder: pathlib.Path):
        self.name = name
        self._site = site
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.port, self._ready_port, first = free_ports(3)
        self.process: subprocess.Popen | None = None
        self._first_port = first
        self._starts = 0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._path.write_text(json.dumps(self._settings()))
        self._starts += 1
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ROSEMARYRIDGE_SETTINGS": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._site.record.write(f"{self.name}: started, pid {self.process.pid}")

    def _settings(self) -> Json:
        shape = self._site.shape
        bounds = {
            "seed_lag_s": 3,
            "addr_reuse_s": 2,
            "stability_ms": 5000,
            "ack_ms": 6000,
            "catch_up_s": 4,
            "drain_ms": 7000,
            "grace_s": shape.grace_s,
            "loss_slack_ms": 200,
            "config_apply_ms": shape.config_apply_ms,
            "downgrade_slack_ms": 250,
            "outer_ms": 15000,
            "recovery_s": 12,
            "enforce_fencing": shape.fenced,
            "thaw_slack_ms": 300,
        }
        if shape.tenants is not None:
            bounds |= {
                "strict_revocation": False,
                "revoke_ms": 5000,
                "quota_window_s": 5,
                "quota_overage": 0.1,
                "quota_slack": 20,
            }
        return {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "khomas-a",
            "region": "khomas",
            "zones": {"khomas-a": "khomas"},
            "bind_addrs": {
                "front": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{self._ready_port}",
            },
            "internal_port_range": [self._first_port, self._first_port],
            "seeds": [],
            "bootstrap": self._starts == 0,
            "limits": {
                "cpu_share": 0.731,
                "cpu_cores": 1,
                "memory_mb": shape.memory_mb,
                "max_fds": shape.fds,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform": {
                "address": self._site.store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
            },
            "cloud_api": {
                "address": self._site.cloud.address,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    async def is_ready(self) -> bool:
        """Return whether the platform's probe gets 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._ready_port
                )
                writer.write(
                    b"GET /rosemaryridge/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the front counts as ready; raise CannotRun."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} was not ready in time: {self.log()}")
            await asyncio.sleep(0.05)
        self._site.record.write(f"{self.name}: ready")

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self._site.record.write(f"{self.name}: killed")

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self.process.send_signal(signal.SIGTERM)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log(self) -> str:
        """Return the last lines that the process wrote."""
        if not self._log.exists():
            return ""
        return self._log.read_text(errors="replace")[-2000:]


class Reply(t.NamedTuple):
    """Hold the answer to one statement; `code` is empty on success."""

    rows: list[str]
    code: str
    text: str
    state: str


class Session:
    """Hold one caller's connection."""

    _ids = itertools.count(1)

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.last_id = ""

    @classmethod
    async def open(cls, port: int, database: str, user: str = "u1") -> "Session":
        """Open a session; raise OSError or TimeoutError."""
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2**21
            )
            session = cls(reader, writer)
            writer.write(f"START {database} {user}\r\n".encode())
            line = await reader.readuntil(b"\r\n")
        if not line.startswith(b"READY"):
            writer.transport.abort()
            raise ConnectionRefusedError(line.decode().strip())
        return session

    async def run(self, text: str, timeout_s: float = 6.0) -> Reply:
        """Send a statement; return its answer or raise OSError or TimeoutError."""
        self.last_id = f"{os.getpid():x}{next(self._ids):08x}"
        rows, code, detail = [], "", ""
        async with asyncio.timeout(timeout_s):
            self.writer.write(f"QUERY {self.last_id} {text}\r\n".encode())
            while True:
                try:
                    data = await self.reader.readuntil(b"\r\n")
                except asyncio.IncompleteReadError:
                    raise ConnectionResetError("closed") from None
                word, _, rest = data[:-2].decode().partition(" ")
                if word == "READY":
                    return Reply(rows, code, detail, rest.partition(" ")[0])
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "ERROR":
                    code, _, detail = rest.partition(" ")

    def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()


class Writers:
    """Send single writes at a steady rate, each in a session of its own."""

    def __init__(self, site: Site):
        self.site = site
        # When each write was acknowledged, by its data.
        self.acknowledged: dict[str, float] = {}
        self.sent = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self.sent += 1
            self.site.spawn(self._write(self.sent))
            await asyncio.sleep(_WRITE_PERIOD_S)

    async def _write(self, number: int) -> None:
        record = self.site.record
        front = self.site.fronts[number % len(self.site.fronts)]
        data = f"d{number}"
        try:
            session = await Session.open(front.port, "ledger-primary")
        except (OSError, TimeoutError) as exc:
            record.write(f"{data}: not connected: {exc}")
            return
        try:
            reply = await session.run(f"WRITE k{number % 7} {data}")
            if not reply.code:
                self.acknowledged[data] = record.now()
            record.write(f"{data}: {reply.code or 'acknowledged'} {reply.text}")
        except (OSError, TimeoutError) as exc:
            record.write(f"{data}: no answer: {exc!r}")
        finally:
            session.close()

    def all_kept(self, group: t.Any) -> bool:
        """Return whether the log of the primary has all acknowledged writes."""
        record = self.site.record
        if not self.acknowledged:
            raise CannotRun("nothing was acknowledged")
        kept = {commit.data for commit in group.targets[group.primary].log}
        lost = [data for data in self.acknowledged if data not in kept]
        record.say(
            f"{len(self.acknowledged)} writes were acknowledged, {len(lost)} of them "
            f"are not in the log of {group.primary}, the primary of term {group.term}"
        )
        for data in lost:
            at = self.acknowledged[data]
            record.write(f"lost: {data}, acknowledged at {at:.3f}")
        return not lost


def run_case(
    path: pathlib.Path, shape: Shape, case: t.Callable[[Site, bool], t.Awaitable[bool]]
) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it broke, 2 if it could not run.

    What was sent, answered and run is written to the file at `path`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)

    async def main() -> int:
        # What ends with a stand-in's connection is in the record, if it matters.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        site = Site(shape, record)
        try:
            async with asyncio.timeout(115.0):
                await site.start()
                held = await case(site, trouble)
        except (Exception, asyncio.CancelledError) as exc:
            # Also a fault of the script itself: it shows nothing.
            record.say(f"the case could not run: {exc!r}")
            return 2
        finally:
            await site.stop()
        record.say("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    code = asyncio.run(main())
    record.close()
    sys.exit(code)
