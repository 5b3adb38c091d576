"""Stand-ins of the users' platform for the scripts of this review.

The metadata store, the backends of one service, the platform's promotion call, the
requesters and the processes of the system: all on loopback addresses, written after
the users' pages. Only the standard library is used.
"""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import tempfile
import time
import tomllib
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
OBJECTS = "/rosemaryridge/objects/"
# A config of the size of a small site: routes by type, with their time limits.
ROUTE_TYPES = {
    "prim": ("primary", 1000, 600, 1, None),
    "bound": ("bounded_staleness", 2000, 1200, 2, 1500),
    "own": ("read_your_writes", 1000, 1000, 2, 2500),
}
# What a backend that fails part of its requests answers well: how it is, and the end of
# a transaction.
_WORK = ("READ", "WRITE", "EXECUTE", "COMMIT")
_NEVER_GREY = ("STATUS", "STEPDOWN", "ROLLBACK")


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self._lines: list[str] = []

    @property
    def last(self) -> str:
        """Return the last line."""
        return self._lines[-1]

    def seen(self, text: str) -> bool:
        """Return whether a line holds a text."""
        return any(text in line for line in self._lines)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, who: str, what: str) -> None:
        """Write a line."""
        line = f"{self.now():9.4f} {who} {what}"
        self._lines.append(line)
        self._file.write(line + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_taken: set[int] = set()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nothing uses, below those of outgoing connections."""
    while True:
        port = random.randint(21_000, 31_000)
        if port in _taken:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port


# ---------------------------------------------------------------- HTTP


@dataclasses.dataclass
class Request:
    """Hold an HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    # The port that it came in by.
    port: int


Handler = t.Callable[[Request], t.Awaitable[tuple[int, t.Any] | None]]


class HttpServer:
    """Serve a handler that returns a status and a body, or None for silence."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        """Listen on one more free port and return it."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and cut all connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        port = writer.get_extra_info("sockname")[1]
        try:
            while request := await self._read(reader, port):
                reply = await self._handler(request)
                if reply is None:
                    await asyncio.sleep(3600.0)
                    return
                status, body = reply
                data = b"" if body is None else json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, port: int) -> Request | None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path, _, query = target.partition("?")
        return Request(
            method,
            urllib.parse.unquote(path),
            dict(urllib.parse.parse_qsl(query)),
            headers,
            body,
            port,
        )


# ---------------------------------------------------------------- store


class Store:
    """The platform's metadata store: objects, revisions, watches."""

    def __init__(self, record: Record):
        self.revision = 100
        self.objects: dict[str, dict[str, t.Any]] = collections.defaultdict(dict)
        self._history: list[tuple[int, str, t.Any, bool]] = []
        self._changed = asyncio.Event()
        self._record = record
        # By port: the status with which the calls of one machine are rejected.
        self.rejected: dict[int, int] = {}
        # By port: when the backends were last listed for the first time by a process.
        self.first_listed: dict[int, float] = {}
        self.http = HttpServer(self._handle)

    def write(self, kind: str, name: str, spec: t.Any) -> t.Any:
        """Write an object and return it."""
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created_at": int(time.time() * 1000),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects[kind].pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind: str, item: t.Any, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()
        what = "removed" if deleted else json.dumps(item["spec"])[:300]
        name = item["meta"]["name"]
        self._record.write("store", f"{kind}/{name} rev {self.revision}: {what}")

    async def _handle(self, req: Request) -> tuple[int, t.Any] | None:
        await asyncio.sleep(0.004)
        if req.port in self.rejected:
            return self.rejected[req.port], None
        if not req.path.startswith(OBJECTS):
            return 404, None
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        found = self.objects[kind]
        if req.method == "GET" and not name:
            if "watch" in req.query:
                return await self._watch(kind, req)
            after = req.query.get("after", "")
            if kind == "servers":
                self.first_listed.setdefault(req.port, self._record.now())
            names = sorted(name for name in found if name > after)
            page = {
                "items": [found[name] for name in names[:500]],
                "has_more": len(names) > 500,
                "store_revision": self.revision,
            }
            return 200, page
        if req.method == "GET":
            return (200, found[name]) if name in found else (404, None)
        if req.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        body = json.loads(req.body)
        if req.method == "POST":
            name = body["meta"]["name"]
            if name in found:
                return 409, found[name]
            return 200, self.write(kind, name, body.get("spec"))
        if name not in found:
            return 404, None
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != found[name]["meta"]["revision"]:
            return 409, found[name]
        return 200, self.write(kind, name, body.get("spec"))

    async def _watch(self, kind: str, req: Request) -> tuple[int, t.Any]:
        since = int(req.query["watch"])
        until = time.monotonic() + int(req.query.get("wait_ms", "0")) / 1000.0
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0 or req.port in self.rejected:
                if req.port in self.rejected:
                    return self.rejected[req.port], None
                return 200, {"events": events, "store_revision": self.revision}
            changed_event = self._changed
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await changed_event.wait()
            except TimeoutError:
                continue


# ---------------------------------------------------------------- backends


@dataclasses.dataclass
class Commit:
    """One entry of a log."""

    term: int
    number: int
    item: str
    data: str
    id: str


@dataclasses.dataclass
class Conn:
    """State of a backend's connection."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    # None outside a transaction, else "plain" or "read".
    transaction: str | None = None
    failed: bool = False
    writes: list[tuple[str, str, str]] = dataclasses.field(default_factory=list)


class Refused(Exception):
    """Answer a statement with an error."""


class NotRun(Refused):
    """Answer a statement that is not run; all stays as it was."""


class Group:
    """What the backends of one service share."""

    def __init__(
        self, service: str, record: Record, *, goes_on: bool, promote_s: float
    ):
        self.service = service
        self.record = record
        # Whether a deposed primary that nobody has told goes on.
        self.goes_on = goes_on
        self.promote_s = promote_s
        self.term = 3
        self.primary = ""
        self.backends: dict[str, Backend] = {}
        # The ids of writes that a deposed primary committed.
        self.committed_by_deposed: set[str] = set()
        # Each statement of a requester that ran, with the session values it ran with.
        self.ran: list[tuple[str, str, dict[str, str]]] = []

    async def promote(self, name: str) -> None:
        """Let a backend lead the next term with what it has received."""
        if name == self.primary:
            return
        await asyncio.sleep(self.promote_s)
        former = self.backends.get(self.primary)
        if former is not None and self.goes_on and former.cut_off:
            former.leads_old_term = self.term
        self.term += 1
        self.primary = name
        leader = self.backends[name]
        leader.leads_old_term = None
        leader.applied = len(leader.log)
        self.record.write("platform", f"{name} leads term {self.term}")
        for backend in self.backends.values():
            if backend.leads_old_term is None:
                backend.follow(leader)
            backend.report()


class Backend:
    """A backend: slots, a queue, connections, a log."""

    def __init__(
        self, name: str, group: Group, *, slots: int, max_conns: int, lag_s: float
    ):
        self.name = name
        self.group = group
        self.log: list[Commit] = []
        self.applied = 0
        self.lag_s = lag_s
        self.work_s = 0.008
        self.handshake_s = 0.012
        self.max_conns = max_conns
        self.queue = 24
        self.address = ""
        self.draining = False
        # Partitioned from the other backends and the store.
        self.cut_off = False
        self.leads_old_term: int | None = None
        # The share of requests that it fails.
        self.grey_share = 0.0
        # The share of ROLLBACKs that it refuses: no run, the transaction stays open.
        self.kept_open_share = 0.0
        self._rng = random.Random(1)
        self.report: t.Callable[[], None] = lambda: None
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        group.backends[name] = self

    @property
    def leads(self) -> bool:
        """Return whether this backend takes itself for the primary."""
        return self.leads_old_term is not None or self.group.primary == self.name

    @property
    def term(self) -> int:
        """Return the term that this backend knows."""
        return self.leads_old_term or self.group.term

    def set_slots(self, slots: int) -> None:
        """Set how many statements run at a time."""
        self._slots = asyncio.Semaphore(slots)

    def position(self) -> str:
        """Return the position of what it has applied."""
        if not self.applied:
            return "3.0"
        last = self.log[self.applied - 1]
        return f"{last.term}.{last.number}"

    def heal(self) -> None:
        """Reach the others again; a deposed primary follows a second later."""
        self.cut_off = False
        self.report()
        asyncio.get_running_loop().call_later(1.0, self._rejoin)

    def _rejoin(self) -> None:
        self.leads_old_term = None
        leader = self.group.backends.get(self.group.primary)
        if leader is not None:
            self.follow(leader)
        self.report()

    def follow(self, leader: "Backend") -> None:
        """Take over the log of a new primary."""
        if self is not leader:
            self.log = list(leader.log)
            self.applied = len(self.log)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2_200_000)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and cut the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        conn = Conn()
        try:
            words = (await _read_line(reader)).split(" ")
            service, name = words[1], words[3] if len(words) > 3 else self.name
            self._connections += 1
            refusal = ""
            if service != self.group.service or name != self.name:
                refusal = "WRONGNODE"
            elif self._connections > self.max_conns:
                refusal = "CONNLIMIT"
            if refusal:
                writer.write(f"ERROR {refusal} {self.name}\r\n".encode())
                return
            await asyncio.sleep(self.handshake_s)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                _, id_, text = (await _read_line(reader)).split(" ", 2)
                if id_ != "-":
                    self.group.record.write(self.name, f"got {id_} {text[:60]}")
                try:
                    rows, signature = await self._run(conn, id_, text)
                    lines = [f"DATAROW {row}" for row in rows]
                    lines.append(f"COMPLETE {signature}")
                except Refused as exc:
                    if not isinstance(exc, NotRun):
                        conn.failed = conn.transaction is not None
                    lines = [f"ERROR {exc} {self.name}"]
                state = "I"
                if conn.transaction is not None:
                    state = "E" if conn.failed else "T"
                lines.append(f"READY {state} {self.position()}")
                if id_ != "-":
                    what = "ran" if not lines[-2].startswith("ERROR") else lines[-2]
                    self.group.record.write(self.name, f"{what} {id_} {lines[-1]}")
                writer.write("".join(line + "\r\n" for line in lines).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _run(self, conn: Conn, id_: str, text: str) -> tuple[list[str], str]:
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not self._holds(position):
                raise Refused("LAGGING")
        word, _, rest = text.partition(" ")
        if conn.failed and word not in ("ROLLBACK", "COMMIT"):
            raise Refused("MALFORMED")
        if word not in _NEVER_GREY and self._rng.random() < self.grey_share:
            if id_ == "-":
                self.group.record.write(self.name, f"fails {text[:60]}")
            # BUSY: there was no run, so no value is set.
            raise Refused("FAILED" if word in _WORK else "BUSY")
        if word == "ROLLBACK" and self._rng.random() < self.kept_open_share:
            self.group.record.write(self.name, f"refuses {id_} ROLLBACK")
            raise NotRun("BUSY")
        if word == "BEGIN":
            if conn.transaction is not None:
                raise Refused("MALFORMED")
            if rest != "READ" and not self.leads:
                raise Refused("READONLY")
            conn.transaction = "read" if rest == "READ" else "plain"
            return [], "-"
        if word == "ROLLBACK":
            conn.transaction, conn.failed, conn.writes = None, False, []
            return [], "-"
        if word == "SET":
            name, _, value = rest.partition(" ")
            conn.values[name] = value
            return [], "-"
        if word == "RESET":
            conn.values.clear()
            conn.prepared.clear()
            return [], "-"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            conn.prepared[name] = (kind, shape)
            return [], "-"
        if word == "DEALLOCATE":
            conn.prepared.pop(rest, None)
            return [], "-"
        if word == "STATUS":
            return [self._status()], "-"
        if word == "STEPDOWN":
            if self.leads and self.term < int(rest):
                self.leads_old_term = None
                if self.group.primary == self.name:
                    self.group.primary = ""
            return [self._status()], "-"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in conn.prepared:
                raise Refused("NOSTMT")
            word = conn.prepared[name][0]
        self.group.ran.append((id_, self.name, dict(conn.values)))
        return await self._work(conn, id_, word, rest)

    async def _work(
        self, conn: Conn, id_: str, word: str, rest: str
    ) -> tuple[list[str], str]:
        if self._waiting >= self.queue:
            raise Refused("BUSY")
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._waiting -= 1
        if word == "READ":
            if conn.transaction == "plain" and not self.leads:
                raise Refused("READONLY")
            for item, data, _ in reversed(conn.writes):
                if item == rest:
                    return [data], _signature()
            for commit in reversed(self.log[: self.applied]):
                if commit.item == rest:
                    return [commit.data], _signature()
            return ["-"], _signature()
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if not self.leads or conn.transaction == "read":
                raise Refused("READONLY")
            if conn.transaction is None:
                self._commit([(item, data, id_)])
            else:
                conn.writes.append((item, data, id_))
            return [], _signature()
        if word == "COMMIT":
            writes, failed = conn.writes, conn.failed
            conn.transaction, conn.failed, conn.writes = None, False, []
            if failed:
                raise Refused("ABORTED")
            if writes and not self.leads:
                raise Refused("READONLY")
            self._commit(writes)
            return [], _signature()
        raise Refused("MALFORMED")

    def _commit(self, writes: list[tuple[str, str, str]]) -> None:
        if not writes:
            return
        number = self.log[-1].number + 1 if self.log else 1
        entries = [
            Commit(self.term, number, item, data, id_) for item, data, id_ in writes
        ]
        self.log += entries
        self.applied = len(self.log)
        if self.leads_old_term is not None:
            self.group.committed_by_deposed |= {entry.id for entry in entries}
        self.group.record.write(
            self.name,
            f"committed {self.term}.{number} of {','.join(e.id for e in entries)}",
        )
        loop = asyncio.get_running_loop()
        for backend in self.group.backends.values():
            if backend is not self and not self.cut_off and not backend.cut_off:
                loop.call_later(backend.lag_s, backend.receive, self, list(entries))

    def receive(self, leader: "Backend", entries: list[Commit]) -> None:
        """Receive commits of the primary."""
        if self.cut_off or leader.cut_off or not leader.leads:
            return
        last = self.log[-1] if self.log else None
        if last is None or entries[-1].number > last.number:
            self.log += [e for e in entries if last is None or e.number > last.number]
            self.applied = len(self.log)

    def _status(self) -> str:
        role = "primary" if self.leads else "replica"
        last = self.log[-1] if self.log else None
        received = f"{last.term}.{last.number}" if last else "3.0"
        return (
            f"{role} {self.term} {received} 0 {int(self.lag_s * 1000)} "
            f"{self._waiting} {self._connections}"
        )

    def _holds(self, position: str) -> bool:
        term, number = map(int, position.split("."))
        mine = self.position().split(".")
        return (int(mine[0]), int(mine[1])) >= (term, number)


def _signature() -> str:
    return f"7.{secrets.token_hex(8)}"


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode()


# ---------------------------------------------------------------- the deployment


class Site:
    """A small deployment: a store, one service of three backends, some machines."""

    def __init__(
        self,
        record: Record,
        *,
        machines: int = 3,
        zones: int = 1,
        fenced: bool = True,
        promote_s: float = 0.3,
        slots: int = 3,
        max_conns: int = 45,
        lag_s: float = 0.02,
        bounds: dict[str, t.Any] | None = None,
    ):
        self.record = record
        self.service = "vialbook"
        self.store = Store(record)
        self.group = Group(
            self.service, record, goes_on=not fenced, promote_s=promote_s
        )
        self.fenced = fenced
        self.orders: list[tuple[float, str, int, str]] = []
        self.machines = [f"front-a-{n}" for n in range(1, machines + 1)]
        self._zones = {f"zone-{n}": f"region-{n}" for n in range(zones)}
        self.fronts: dict[str, int] = {}
        self.readies: dict[str, int] = {}
        self.store_ports: dict[str, int] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.max_conns = max_conns
        self._bounds = {
            "seed_lag_s": 3,
            "addr_reuse_s": 2,
            "stability_ms": 5000,
            "ack_ms": 6000,
            "catch_up_s": 4,
            "drain_ms": 7000,
            "grace_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 4000,
            "downgrade_slack_ms": 250,
            "outer_ms": 15000,
            "recovery_s": 12,
            "enforce_fencing": fenced,
            "thaw_slack_ms": 300,
        } | (bounds or {})
        self._cloud = HttpServer(self._on_cloud_call)
        self._cloud_port = 0
        self._fences: dict[str, int] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._settings: dict[str, pathlib.Path] = {}
        self._sequence = 0
        self._version = 0
        self._tasks: set[asyncio.Task[t.Any]] = set()
        for n in range(3):
            Backend(
                f"i-{n}{secrets.token_hex(3)}",
                self.group,
                slots=slots,
                max_conns=max_conns,
                lag_s=0.0 if n == 0 else lag_s,
            )

    @property
    def backends(self) -> list[Backend]:
        """Return the backends; the first one leads at the start."""
        return list(self.group.backends.values())

    async def start(self) -> None:
        """Start the stand-ins and write the first config."""
        self._cloud_port = await self._cloud.listen()
        for backend in self.backends:
            await backend.start()
            backend.report = lambda backend=backend: self.register(backend)
        self.group.primary = self.backends[0].name
        for backend in self.backends:
            self.register(backend)
        self.write_config()
        ranges = _port_ranges(len(self.machines))
        for name, ports in zip(self.machines, ranges, strict=True):
            self.fronts[name] = free_port()
            self.readies[name] = free_port()
            self.store_ports[name] = await self.store.http.listen()
            self._write_settings(name, ports)

    def register(self, backend: Backend) -> None:
        """Write a backend's entry, unless it is partitioned from the store."""
        if backend.cut_off:
            return
        self._sequence += 1
        self.store.write(
            "servers",
            backend.name,
            {
                "service": self.service,
                "address": backend.address,
                "zone": "zone-0",
                "version": "v1",
                "capacity": 3,
                "phase": "draining" if backend.draining else "ready",
                "warmup_left_ms": 0,
                "db_role": "primary" if backend.leads else "replica",
                "sequence": self._sequence,
                "born": 1_700_000_000_000,
            },
        )

    def write_config(self, timeout_ms: int | None = None) -> None:
        """Write the next version of the config."""
        self._version += 7
        routes = []
        for name, (kind, limit_ms, aim_ms, priority, stale_ms) in ROUTE_TYPES.items():
            route = {
                "name": f"r-{name}",
                "database": name,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": timeout_ms or limit_ms,
                "target_latency_ms": aim_ms,
                "priority": priority,
                "service": self.service,
                "retry_attempts": 2,
            }
            if stale_ms is not None:
                route["max_staleness_ms"] = stale_ms
            routes.append(route)
        spec = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": self.service,
                    "health_path": "/health",
                    "max_conns": self.max_conns,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": 0,
                }
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.write("config", "main", spec)

    def _write_settings(self, name: str, ports: tuple[int, int]) -> None:
        zone = f"zone-{self.machines.index(name) % len(self._zones)}"
        data = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": zone,
            "region": self._zones[zone],
            "zones": self._zones,
            "bind_addrs": {
                "front": f"{HOST}:{self.fronts[name]}",
                "ready": f"{HOST}:{self.readies[name]}",
            },
            "internal_port_range": list(ports),
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.731,
                "cpu_cores": 1,
                "memory_mb": 222,
                "max_fds": 1605,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "recover", "sql", "platform"],
            "bounds": self._bounds,
            "platform": {
                "address": f"{HOST}:{self.store_ports[name]}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
            "cloud_api": {
                "address": f"{HOST}:{self._cloud_port}",
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }
        path = pathlib.Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(data), encoding="utf-8")
        self._settings[name] = path

    async def start_process(self, name: str) -> None:
        """Start the process of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"]["entry"]["run"].split(" ")
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["ROSEMARYRIDGE_SETTINGS"] = str(self._settings[name])
        log = (pathlib.Path(self._folder.name) / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.record.write(name, "process started")

    async def start_all(self) -> bool:
        """Start all processes; return whether all report themselves ready in time."""
        for name in self.machines:
            if name not in self.processes:
                await self.start_process(name)
        until = time.monotonic() + 20.0
        waiting = set(self.machines)
        while waiting and time.monotonic() < until:
            for name in list(waiting):
                if await self.is_ready(name):
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        self.record.write("site", f"not ready: {sorted(waiting)}")
        return not waiting

    async def is_ready(self, name: str) -> bool:
        """Ask a machine's readiness as the balancer does."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(HOST, self.readies[name])
                writer.write(
                    b"GET /rosemaryridge/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a machine's process."""
        self.record.write(name, f"gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def logs(self, name: str) -> str:
        """Return what a machine's process has written."""
        return (pathlib.Path(self._folder.name) / f"{name}.log").read_text("utf-8")

    async def stop(self) -> None:
        """End everything that was started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.store.http.close()
        self._cloud.close()
        for backend in self.backends:
            backend.close()
        for name in self.processes:
            for line in self.logs(name).splitlines():
                self.record.write(f"log of {name}", line[:400])
        self._folder.cleanup()

    async def _on_cloud_call(self, req: Request) -> tuple[int, t.Any] | None:
        if req.method != "POST" or req.path != "/promote":
            return 404, None
        body = json.loads(req.body)
        fence = int(req.headers["x-rosemaryridge-fencing-token"])
        holder = req.headers["x-rosemaryridge-lease-holder"]
        self.orders.append((self.record.now(), holder, fence, body["id"]))
        self.record.write(
            "platform", f"POST /promote {body['id']} by {holder}, fence {fence}"
        )
        if self.fenced and fence < self._fences.get(body["service"], 0):
            return 409, None
        self._fences[body["service"]] = max(fence, self._fences.get(body["service"], 0))
        task = asyncio.get_running_loop().create_task(self.group.promote(body["id"]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, {}


def _port_ranges(count: int) -> list[tuple[int, int]]:
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]
    return [(port, port) for port in ports]


# ---------------------------------------------------------------- requesters


@dataclasses.dataclass
class Reply:
    """The answer to one message; `code` is COMPLETE, an error's code or CUT."""

    code: str
    rows: list[str]
    detail: str
    state: str
    position: str


class Cut(Exception):
    """The connection ended without a complete answer."""


class Requester:
    """A session of one requester on one machine."""

    def __init__(self, who: str, record: Record):
        self.who = who
        self.record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, port: int, database: str) -> bool:
        """Open a session; return whether the system answered READY."""
        try:
            self._reader, self._writer = await asyncio.open_connection(HOST, port)
            self._writer.write(f"START {database} u3f1\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await _read_line(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        if not line.startswith("READY"):
            self.close()
        return line.startswith("READY")

    def has_message(self) -> bool:
        """Return whether something came while no request was outstanding."""
        return bool(self._reader is None or self._reader._buffer) or (
            self._reader.at_eof()
        )

    async def ask(self, text: str, id_: str = "") -> Reply:
        """Send a statement and return its answer; raise Cut if there is none."""
        id_ = id_ or secrets.token_hex(8)
        self.record.write(self.who, f"sends {id_} {text[:60]}")
        rows: list[str] = []
        code, detail = "", ""
        try:
            self._writer.write(f"QUERY {id_} {text}\r\n".encode())
            while True:
                line = await _read_line(self._reader)
                word, _, rest = line.partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    code, detail = word, rest
                elif word == "ERROR":
                    code, _, detail = rest.partition(" ")
                elif word == "READY":
                    state, _, position = rest.partition(" ")
                    break
        except (OSError, asyncio.IncompleteReadError):
            self.record.write(self.who, f"no answer to {id_}: the connection ended")
            raise Cut(id_) from None
        self.record.write(self.who, f"answer to {id_}: {code} {detail} {state}")
        return Reply(code, rows, detail, state, position)

    def close(self) -> None:
        """End the session."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
