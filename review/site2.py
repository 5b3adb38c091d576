"""A small deployment on loopback for the scripts of the second review.

It holds the platform's store, the platform's promotion call, database backends,
callers, and the real proxies as processes. Only the standard library is used. What
each part does follows PROTOCOL.md; where that page is silent it does what a sound
server does.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


def free_port() -> int:
    """Return a TCP port that is free now, as the UDP port of that number."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((HOST, port))
                return port


def bound_address(server: asyncio.Server) -> str:
    """Return the address that a server listens on."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def process_behind(port: int, pids: t.Iterable[int]) -> int:
    """Return which process has the loopback connection with a local port, 0 if none."""
    wanted = f"{port:04X}"
    inode = ""
    for line in pathlib.Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]:
        fields = line.split()
        if fields[1].split(":")[1] == wanted and fields[9] != "0":
            inode = fields[9]
    for pid in pids:
        with contextlib.suppress(OSError):
            for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(link) == f"socket:[{inode}]":
                        return pid
    return 0


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class HttpService:
    """Serve HTTP/1.1 with JSON bodies; subclasses implement `handle`."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = bound_address(self._server)

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: t.Any
    ) -> tuple[int, t.Any]:
        """Return the status and the body of the answer."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip("\r\n").split("\r\n")
                method, path, _ = first.split(" ", 2)
                pairs = (line.split(":", 1) for line in lines)
                headers = {name.lower(): value.strip() for name, value in pairs}
                length = int(headers.get("content-length", "0"))
                data = await reader.readexactly(length) if length else b""
                body = json.loads(data) if data else None
                status, answer = await self.handle(method, path, headers, body)
                payload = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            pass
        finally:
            writer.close()


def _without_sequence(spec: t.Any) -> t.Any:
    """Return what an entry says beside its count of reports."""
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "sequence"}


class Store(HttpService):
    """The platform's metadata store: objects with revisions, lists and watches."""

    _PREFIX = "/rosemaryridge/objects/"

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.objects: dict[str, dict[str, t.Any]] = {}
        self._history: list[tuple[int, str, t.Any, bool]] = []
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: t.Any) -> t.Any:
        """Write an object; return it. A write that changes nothing has no effect."""
        found = self.objects.setdefault(kind, {})
        known = found.get(name)
        if known is not None and _without_sequence(known["spec"]) == (
            _without_sequence(spec)
        ):
            known["spec"] = spec
            return known
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created_at": int(time.time() * 1000),
            "finalizers": [],
            "deleting": False,
        }
        found[name] = {"meta": meta, "spec": spec, "status": None}
        self._note(kind, found[name], False)
        return found[name]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind: str, item: t.Any, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: t.Any
    ) -> tuple[int, t.Any]:
        """Answer one call."""
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(self._PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        await asyncio.sleep(0.004)
        if method == "GET" and not name:
            if "watch" in query:
                wait_s = int(query.get("wait_ms", "0")) / 1000.0
                return await self._watch(kind, int(query["watch"]), wait_s)
            after = query.get("after", "")
            found = sorted(self.objects.get(kind, {}).items())
            items = [item for key, item in found if key > after]
            more = len(items) > 500
            return 200, {
                "items": items[:500],
                "has_more": more,
                "store_revision": self.revision,
            }
        if method == "POST":
            name = body["meta"]["name"]
        item = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, item) if item is not None else (404, None)
        if method == "POST":
            if item is not None:
                return 409, item
            return 200, self.write(kind, name, body.get("spec"))
        if item is None:
            return 404, None
        if method == "PUT":
            wanted = body["meta"].get("revision")
            if wanted is not None and wanted != item["meta"]["revision"]:
                return 409, item
            return 200, self.write(kind, name, body.get("spec"))
        self.remove(kind, name)
        return 200, None

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, t.Any]:
        until = time.monotonic() + wait_s
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed_event = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed_event.wait()


@dataclasses.dataclass(eq=False, slots=True)
class Commit:
    """One commit of a service's log."""

    term: int
    number: int
    items: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


@dataclasses.dataclass(eq=False, slots=True)
class Connection:
    """The state of one connection to a backend."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    # None outside a transaction, else whether it is read-only.
    transaction: bool | None = None
    failed: bool = False
    writes: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    # The proxy that opened it, where that matters.
    pid: int = 0


class RefusedError(Exception):
    """Answer a statement with ERROR."""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A statement of a caller that a backend ran, and the log it ran on."""

    at: float
    backend: str
    id: str
    text: str
    commits: frozenset[int]


class Database:
    """One service: a primary, its replicas and their common log."""

    def __init__(
        self,
        service: str,
        store: Store,
        record: Record,
        sync_replicas: int,
        promote_s: float,
    ):
        self.service = service
        self.store = store
        self.record = record
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.term = 3
        self.primary = ""
        self.backends: dict[str, Backend] = {}
        self.runs: list[Run] = []
        self.proxy_pids: list[int] = []
        # Commits that a promotion rolled back, and (target, lost commits) of each.
        self.rolled_back: set[Commit] = set()
        # By what they wrote.
        self.commits: dict[str, Commit] = {}
        self.promotions: list[tuple[float, str, tuple[Commit, ...]]] = []

    async def promote(self, name: str) -> None:
        """Let a backend lead the next term with what it has received."""
        await asyncio.sleep(self.promote_s)
        target = self.backends.get(name)
        if name == self.primary or target is None or not target.running:
            return
        self.term += 1
        self.primary = name
        target.applied = len(target.log)
        known = set(target.log)
        for other in self.backends.values():
            self.rolled_back.update(set(other.log) - known)
        self.promotions.append((self.record.now(), name, tuple(target.log)))
        self.record.write(
            f"platform: {name} leads term {self.term} with its log up to "
            f"{target.log[-1] if target.log else '-'}"
        )
        for other in self.backends.values():
            other.report()
            if other is not target:
                other.pull_later()


class Backend:
    """One database backend.

    `net_s` is the delay of what it receives, `lag_s` the delay until it is applied,
    `answer_s` the delay of its answers on the way. A `deaf` backend receives nothing
    from other backends; a `dark` one answers nobody. One that is `cut` reaches neither
    the other backends nor the proxies with the process ids in `cut_from`; what these
    send is held up until the cut has healed.
    """

    def __init__(
        self,
        name: str,
        database: Database,
        zone: str,
        net_s: float = 0.002,
        lag_s: float = 0.02,
        answer_s: float = 0.0,
        work_s: float = 0.004,
        slots: int = 3,
    ):
        self.name = name
        self.database = database
        self.zone = zone
        self.net_s, self.lag_s = net_s, lag_s
        self.answer_s, self.work_s = answer_s, work_s
        self.capacity = slots
        self.log: list[Commit] = []
        self.applied = 0
        self.deaf = False
        self.dark = False
        self.cut = False
        self.cut_from: set[int] = set()
        # The words of requests whose next answer is lost.
        self.loses: set[str] = set()
        self.draining = False
        self.running = True
        self.address = ""
        self.received = asyncio.Event()
        self._slots = asyncio.Semaphore(slots)
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._tasks: set[asyncio.Task[None]] = set()
        database.backends[name] = self

    @property
    def leads(self) -> bool:
        """Return whether this backend is the primary."""
        return self.database.primary == self.name

    async def start(self) -> None:
        """Listen and register."""
        await self._listen()
        self._spawn(self._heartbeat())

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self.address = bound_address(self._server)
        self._port = int(self.address.rpartition(":")[2])

    async def restart(self) -> None:
        """Come back after a crash, with the log; as a replica if another leads."""
        self.running = True
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        await self._listen()
        self.report()
        self.pull_later()

    def report(self) -> None:
        """Write this backend's entry."""
        if self.dark or not self.running:
            return
        spec = {
            "service": self.database.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "phase": "draining" if self.draining else "ready",
            "warmup_left_ms": 0,
            "db_role": "primary" if self.leads else "replica",
            "sequence": next(self._sequence),
            "born": self._born,
        }
        self.database.store.write("servers", self.name, spec)

    async def _heartbeat(self) -> None:
        silent = 0
        while True:
            self.report()
            silent = silent + 1 if self.dark or not self.running else 0
            if silent == 3:
                self.database.store.remove("servers", self.name)
            await asyncio.sleep(1.2)

    def end(self) -> None:
        """Crash: close the listener and all connections at once."""
        self.running = False
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def pull_later(self) -> None:
        """Receive what the primary has, after the delay of the network."""
        self._spawn(self._pull())

    async def _pull(self) -> None:
        source = self.database.backends.get(self.database.primary)
        await asyncio.sleep(self.net_s)
        if source is None or self.deaf or self.dark or not self.running:
            return
        if self.cut or source.cut:
            return
        leads_no_more = source.name != self.database.primary
        if self.leads or leads_no_more or source.dark or not source.running:
            return
        common = 0
        for ours, theirs in zip(self.log, source.log, strict=False):
            if ours is not theirs:
                break
            common += 1
        self.log = list(source.log)
        self.applied = min(self.applied, common)
        received, self.received = self.received, asyncio.Event()
        received.set()
        last, length = (self.log[-1] if self.log else None), len(self.log)
        await asyncio.sleep(self.lag_s)
        if len(self.log) >= length > 0 and self.log[length - 1] is last:
            self.applied = max(self.applied, length)

    def position(self) -> str:
        """Return the position up to which the log is applied."""
        return str(self.log[self.applied - 1]) if self.applied else "3.0"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection = Connection()
        if self.database.proxy_pids:
            port = writer.get_extra_info("peername")[1]
            connection.pid = process_behind(port, self.database.proxy_pids)
        try:
            line = await self._line(reader, connection)
            word, service, _, name = line.split(" ")
            if word != "START" or (service, name) != (self.database.service, self.name):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            await self._send(writer, [], connection)
            while True:
                request = await self._line(reader, connection)
                if request == "TERMINATE":
                    return
                _, id_, text = request.split(" ", 2)
                lines = await self._answer(connection, id_, text)
                word = text.split(" ", 1)[0]
                if word in self.loses:
                    self.loses.discard(word)
                    self.database.record.write(
                        f"answer_lost: that of {self.name} to {text} ({id_})"
                    )
                    continue
                if self.dark:
                    await asyncio.sleep(3600.0)
                await self._send(writer, lines, connection)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _line(self, reader: asyncio.StreamReader, connection: Connection) -> str:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        if self.dark:
            await asyncio.sleep(3600.0)
        while self.cut and connection.pid in self.cut_from:
            await asyncio.sleep(0.05)
            if reader.at_eof():
                raise ConnectionError("reset while it was held up")
        return line

    async def _send(
        self, writer: asyncio.StreamWriter, lines: list[str], connection: Connection
    ) -> None:
        state = "I" if connection.transaction is None else "T"
        state = "E" if connection.failed else state
        lines = [*lines, f"READY {state} {self.position()}"]
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        while self.cut and connection.pid in self.cut_from:
            await asyncio.sleep(0.05)
        writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await writer.drain()

    async def _answer(self, connection: Connection, id_: str, text: str) -> list[str]:
        try:
            rows = await self._run(connection, id_, text)
        except RefusedError as exc:
            if connection.transaction is not None and "BUSY" not in str(exc):
                connection.failed = True
            return [f"ERROR {exc}"]
        word = text.split(" ", 1)[0]
        signature = "-"
        if word in ("READ", "WRITE", "COMMIT", "EXECUTE", "AFTER"):
            signature = f"{self.database.term}.{self.name}.{secrets.token_hex(6)}"
        return [*(f"DATAROW {row}" for row in rows), f"COMPLETE {signature}"]

    async def _run(self, connection: Connection, id_: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, word, *others = rest.split(" ", 2)
            rest = others[0] if others else ""
            if not self._holds(position):
                raise RefusedError(f"LAGGING {self.name}")
        if connection.failed and word not in ("ROLLBACK", "COMMIT"):
            raise RefusedError(f"MALFORMED {self.name}")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                raise RefusedError(f"NOSTMT {name}")
            word = connection.prepared[name][0]
        if word == "READ":
            return await self._read(connection, id_, rest)
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            return await self._write(connection, id_, item, data)
        if word == "COMMIT":
            return await self._commit(connection, id_)
        return self._run_plain(connection, word, rest)

    def _run_plain(self, connection: Connection, word: str, rest: str) -> list[str]:
        if word == "BEGIN":
            if rest != "READ" and not self.leads:
                raise RefusedError(f"READONLY {self.name}")
            connection.transaction = rest == "READ"
        elif word == "ROLLBACK":
            self._end_transaction(connection)
        elif word == "SET":
            name, _, connection.values[name] = rest.partition(" ")
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            connection.prepared[name] = (kind, shape)
        elif word == "DEALLOCATE":
            connection.prepared.pop(rest, None)
        elif word == "RESET":
            connection.values.clear()
            connection.prepared.clear()
        elif word == "STEPDOWN":
            if self.leads and int(rest) > self.database.term:
                self.database.record.write(f"{self.name} steps down")
                self.database.primary = ""
                self.report()
            return [self._status()]
        elif word == "STATUS":
            return [self._status()]
        else:
            raise RefusedError(f"MALFORMED {word}")
        return []

    def _status(self) -> str:
        role = "primary" if self.leads else "replica"
        received = str(self.log[-1]) if self.log else "3.0"
        lag_ms = int(1000 * self.lag_s) if self.applied < len(self.log) else 1
        term = self.database.term
        return f"{role} {term} {received} 0 {lag_ms} 0 {len(self._writers)}"

    def _holds(self, position: str) -> bool:
        """Return whether the applied log contains a position."""
        term, number = map(int, position.split("."))
        log = self.log[: self.applied]
        return number == 0 or any((c.term, c.number) == (term, number) for c in log)

    def _end_transaction(self, connection: Connection) -> None:
        connection.transaction, connection.failed = None, False
        connection.writes = []

    def _check_lead(self, connection: Connection) -> None:
        if connection.transaction is False and not self.leads:
            raise RefusedError(f"READONLY {self.name}")

    async def _occupy_slot(self) -> None:
        async with self._slots:
            await asyncio.sleep(self.work_s)

    def _note_run(self, id_: str, text: str) -> None:
        database = self.database
        log = frozenset(id(commit) for commit in self.log[: self.applied])
        run = Run(database.record.now(), self.name, id_, text, log)
        database.runs.append(run)
        if id_ != "-":
            database.record.write(
                f"{self.name} runs {id_} {text}, log up to {self.position()}"
            )

    async def _read(self, connection: Connection, id_: str, item: str) -> list[str]:
        await self._occupy_slot()
        self._check_lead(connection)
        self._note_run(id_, f"READ {item}")
        pairs = [pair for commit in self.log[: self.applied] for pair in commit.items]
        pairs += connection.writes
        return [next((data for name, data in reversed(pairs) if name == item), "-")]

    async def _write(
        self, connection: Connection, id_: str, item: str, data: str
    ) -> list[str]:
        await self._occupy_slot()
        if not self.leads or connection.transaction:
            raise RefusedError(f"READONLY {self.name}")
        self._note_run(id_, f"WRITE {item} {data}")
        if connection.transaction is None:
            await self._append(((item, data),))
        else:
            connection.writes.append((item, data))
        return []

    async def _commit(self, connection: Connection, id_: str) -> list[str]:
        writes, failed = tuple(connection.writes), connection.failed
        self._end_transaction(connection)
        if failed:
            raise RefusedError(f"ABORTED {self.name}")
        await self._occupy_slot()
        if writes and not self.leads:
            raise RefusedError(f"READONLY {self.name}")
        self._note_run(id_, "COMMIT")
        if writes:
            await self._append(writes)
        return []

    async def _append(self, writes: tuple[tuple[str, str], ...]) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.database.term, number, writes)
        self.database.commits.update((data, commit) for _, data in writes)
        self.log.append(commit)
        self.applied = len(self.log)
        others = [b for b in self.database.backends.values() if b is not self]
        for other in others:
            other.pull_later()
        if self.database.sync_replicas:
            # Acknowledged once a replica has received it.
            while not any(commit in other.log for other in others):
                waits = [asyncio.create_task(b.received.wait()) for b in others]
                await asyncio.wait(waits, return_when="FIRST_COMPLETED")
                for wait in waits:
                    wait.cancel()


class Cloud(HttpService):
    """The platform's calls: promotions, with a check of fences."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.databases: dict[str, Database] = {}
        self.is_down = False
        self.calls: list[tuple[float, str, str, str, int]] = []
        self._fences: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._record = record

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: t.Any
    ) -> tuple[int, t.Any]:
        """Answer POST /promote."""
        if (method, path) != ("POST", "/promote"):
            return 404, None
        service, name = body["service"], body["id"]
        holder = headers["x-rosemaryridge-lease-holder"]
        fence = int(headers["x-rosemaryridge-fencing-token"])
        self.calls.append((self._record.now(), service, name, holder, fence))
        if self.is_down:
            self._record.write(f"platform: 503 to {holder}, promote of {name}")
            return 503, None
        database = self.databases[service]
        backend = database.backends.get(name)
        is_old = fence < self._fences.get(service, 0)
        self._record.write(f"platform: {holder} promotes {name}, fence {fence}")
        if is_old or backend is None or not backend.running or backend.dark:
            return 409, None
        self._fences[service] = fence
        task = asyncio.get_running_loop().create_task(database.promote(name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, None


@dataclasses.dataclass(slots=True)
class Reply:
    """A caller's view of one statement."""

    id: str
    text: str
    sent_at: float
    answered_at: float
    rows: list[str]
    signature: str
    error: str
    state: str

    @property
    def ok(self) -> bool:
        """Return whether the statement succeeded."""
        return not self.error


class Caller:
    """One requester: a session at one proxy."""

    def __init__(self, name: str, record: Record):
        self.name = name
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, port: int, database: str, key: str = "u1") -> None:
        """Open a session; raise ConnectionError if it is refused."""
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        self._writer.write(f"START {database} {key}\r\n".encode())
        reply = await self._collect("-", "START", self._record.now())
        if not reply.ok:
            raise ConnectionError(reply.error)

    async def ask(self, text: str) -> Reply:
        """Send a statement and return the answer; raise ConnectionError without one."""
        id_ = secrets.token_hex(8)
        sent_at = self._record.now()
        self._record.write(f"{self.name} sends {id_} {text}")
        self._writer.write(f"QUERY {id_} {text}\r\n".encode())
        reply = await self._collect(id_, text, sent_at)
        result = reply.error or f"{reply.rows} {reply.signature}"
        self._record.write(f"{self.name} gets {id_} {result} ({reply.state})")
        return reply

    async def _collect(self, id_: str, text: str, sent_at: float) -> Reply:
        rows: list[str] = []
        signature = error = ""
        try:
            while True:
                line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    error = rest
                elif word == "READY":
                    state = rest.split(" ")[0]
                    break
        except asyncio.IncompleteReadError as exc:
            raise ConnectionError(error or "closed") from exc
        now = self._record.now()
        return Reply(id_, text, sent_at, now, rows, signature, error, state)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


@dataclasses.dataclass(eq=False, slots=True)
class Proxy:
    """One real proxy process."""

    name: str
    zone: str
    front: int
    ready: int
    settings: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class World:
    """A deployment: the platform, one service with its backends, and proxies."""

    def __init__(
        self,
        record: pathlib.Path,
        sync_replicas: int = 0,
        promote_s: float = 1.0,
        routes: t.Mapping[str, tuple[str, int, int]] | None = None,
        bounds: t.Mapping[str, t.Any] | None = None,
    ):
        self.record = Record(record)
        self.store = Store()
        self.cloud = Cloud(self.record)
        self.database = Database(
            "vialbook", self.store, self.record, sync_replicas, promote_s
        )
        self.cloud.databases["vialbook"] = self.database
        # By database: type, timeout_ms, max_staleness_ms.
        self.routes = dict(
            routes
            or {
                "box-change": ("primary", 1000, 0),
                "scent-browse": ("bounded_staleness", 2000, 1500),
                "courier-track": ("read_your_writes", 1000, 2500),
            }
        )
        self.bounds = {
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
            "enforce_fencing": True,
            "thaw_slack_ms": 300,
            **(bounds or {}),
        }
        self.zones = {
            "khomas-a": "khomas",
            "oshana-a": "oshana",
            "erongo-a": "erongo",
        }
        self.proxies: list[Proxy] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._logs: list[t.Any] = []

    async def start(self, zones: t.Sequence[str]) -> None:
        """Start the platform and one proxy in each of the zones named."""
        await self.store.start()
        await self.cloud.start()
        for backend in self.database.backends.values():
            await backend.start()
        self.database.primary = next(iter(self.database.backends))
        for backend in self.database.backends.values():
            backend.report()
        self.write_config(7)
        for number, zone in enumerate(zones):
            proxy = self._add_proxy(f"front-{zone}-{number + 1}", zone)
            self.start_proxy(proxy, True)
        for proxy in self.proxies:
            await self._wait_until_ready(proxy)
        # Proxies list each other a second time after a second.
        await asyncio.sleep(1.5)

    def write_config(self, version: int) -> None:
        """Write the operator's config."""
        routes = [
            {
                "name": f"r-{database}",
                "database": database,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": "vialbook",
                "retry_attempts": 2,
                "max_staleness_ms": staleness_ms,
            }
            for database, (kind, timeout_ms, staleness_ms) in self.routes.items()
        ]
        spec = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": "vialbook",
                    "health_path": "/health",
                    "max_conns": 45,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": self.database.sync_replicas,
                }
            ],
            "limits": {"idle_timeout_ms": 15000, "tx_idle_ms": 3000},
        }
        self.store.write("config", "main", spec)

    def _add_proxy(self, name: str, zone: str) -> Proxy:
        path = pathlib.Path(self._temporary.name) / f"{name}.json"
        proxy = Proxy(name, zone, free_port(), free_port(), path)
        self.proxies.append(proxy)
        return proxy

    def start_proxy(self, proxy: Proxy, bootstrap: bool) -> None:
        """Start a proxy with the command of the deploy file."""
        internal = free_port()
        settings = {
            "node_name": proxy.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": proxy.zone,
            "region": self.zones[proxy.zone],
            "zones": self.zones,
            "bind_addrs": {
                "front": f"{HOST}:{proxy.front}",
                "ready": f"{HOST}:{proxy.ready}",
            },
            "internal_port_range": [internal, internal],
            "seeds": [],
            "bootstrap": bootstrap,
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
            "bounds": self.bounds,
            "platform": {
                "address": self.store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
            "cloud_api": {
                "address": self.cloud.address,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }
        proxy.settings.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["ROSEMARYRIDGE_SETTINGS"] = str(proxy.settings)
        log = proxy.settings.with_suffix(".log").open("ab")
        self._logs.append(log)
        proxy.process = subprocess.Popen(
            deploy["roles"]["entry"]["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        self.database.proxy_pids.append(proxy.process.pid)

    async def _wait_until_ready(self, proxy: Proxy) -> None:
        for _ in range(200):
            if proxy.process.poll() is not None:
                raise RuntimeError(f"{proxy.name} ended: {self.log_of(proxy)[-500:]}")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, proxy.ready)
                writer.write(b"GET /rosemaryridge/readiness HTTP/1.1\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{proxy.name} did not become ready")

    def log_of(self, proxy: Proxy) -> str:
        """Return what a proxy has written."""
        return proxy.settings.with_suffix(".log").read_text("utf-8", "replace")

    def add_logs_to_record(self, words: t.Sequence[str]) -> None:
        """Add the proxies' log lines that contain one of the words."""
        for proxy in self.proxies:
            for line in self.log_of(proxy).splitlines():
                if any(word in line for word in words):
                    self.record.write(f"log of {proxy.name}: {line[:300]}")

    async def caller(self, name: str, proxy: Proxy, database: str) -> Caller:
        """Return a caller with an open session."""
        caller = Caller(name, self.record)
        await caller.open(proxy.front, database)
        return caller

    def commit_of(self, data: str) -> Commit | None:
        """Return the commit that wrote some data, wherever it is."""
        for backend in self.database.backends.values():
            for commit in backend.log:
                if any(written == data for _, written in commit.items):
                    return commit
        return None

    def stop(self) -> None:
        """End all processes that were started."""
        for proxy in self.proxies:
            if proxy.process is not None and proxy.process.poll() is None:
                proxy.process.kill()
                proxy.process.wait()
        for log in self._logs:
            log.close()
        self._temporary.cleanup()
        self.record.close()


def main(case: t.Callable[[pathlib.Path, bool], t.Awaitable[str]], file: str) -> None:
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if it couldn't run.

    The case returns what was broken, "" for nothing.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(file).resolve().parent

    async def run() -> str:
        async with asyncio.timeout(110):
            return await case(folder, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        sys.exit(2)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)


def stale_reads(
    world: World,
    acknowledged: t.Iterable[tuple[float, Commit]],
    reads: t.Iterable[Reply],
    max_staleness_s: float,
) -> list[str]:
    """Return the reads that ran on a log that lacks a commit which they had to see.

    `acknowledged` holds when the answer to each commit arrived at its caller.
    """
    runs = {run.id: run for run in world.database.runs}
    commits = [
        entry for entry in acknowledged if entry[1] not in world.database.rolled_back
    ]
    found = []
    for read in reads:
        run = runs.get(read.id)
        if run is None or not read.ok:
            continue
        missing = [
            (at, commit)
            for at, commit in commits
            if at < read.sent_at - max_staleness_s and id(commit) not in run.commits
        ]
        if missing:
            at, commit = missing[0]
            found.append(
                f"{read.id} sent at {read.sent_at:.3f} ran on {run.backend} without "
                f"commit {commit}, acknowledged at {at:.3f}"
            )
    return found
