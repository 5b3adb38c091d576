"""Stand in for the users' database targets, which replicate asynchronously."""

import asyncio
import dataclasses
import secrets
import typing as t

_QUEUE = 24
# A target that ignores what a read needs shows it where it lags.
_STALE_LAG_S = 1.0


@dataclasses.dataclass(slots=True)
class Commit:
    """Record one committed change of an item."""

    term: int
    number: int
    item: str
    data: str


@dataclasses.dataclass(slots=True)
class _Connection:
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    # None outside a transaction; else whether it is read-only.
    transaction: bool | None = None
    failed: bool = False
    writes: list[tuple[str, str]] = dataclasses.field(default_factory=list)


class Refused(Exception):
    """End a statement with a code."""


@dataclasses.dataclass(slots=True)
class Ran:
    """Note one statement that a target ran, for checks."""

    target: str
    id: str
    text: str
    values: dict[str, str]


class SiteGroup:
    """Hold what the targets of one service agree on."""

    def __init__(self, service: str, lag_s: float, promote_s: float):
        self.service = service
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.term = 1
        self.primary = ""
        self.targets: dict[str, SiteTarget] = {}
        self.ran: list[Ran] = []
        # The data of every commit that a promotion took back.
        self.rolled_back: set[str] = set()

    async def promote(self, name: str) -> None:
        """Let a target lead the next term with what it has received."""
        if name == self.primary:
            return
        await asyncio.sleep(self.promote_s)
        self.term += 1
        self.primary = name
        kept = self.targets[name].log
        for target in self.targets.values():
            common = _common(target.log, kept)
            self.rolled_back |= {commit.data for commit in target.log[common:]}
            target.applied = min(target.applied, common)
            # What was on its way from the old primary comes from the new one.
            target.log = list(kept)
            target.apply_later()
            target.report()
        self.targets[name].applied = len(kept)


def _common(log: list[Commit], kept: list[Commit]) -> int:
    for index, (one, other) in enumerate(zip(log, kept, strict=False)):
        if one is not other:
            return index
    return min(len(log), len(kept))


class SiteTarget:
    """Answer the statement protocol over one copy of a service's log.

    `fault` is `mute` (reads and never answers) or `lossy` (runs writes and drops
    the answer). `apply_lag_s` passes between the receipt of a commit and its effect.
    """

    def __init__(
        self,
        name: str,
        group: SiteGroup,
        slots: int = 3,
        work_s: float = 0.002,
        max_connections: int = 45,
        report: t.Callable[["SiteTarget"], None] = lambda target: None,
    ):
        self.name = name
        self.group = group
        self.log: list[Commit] = []
        self.applied = 0
        self.apply_lag_s = 0.0
        self.fault = ""
        # A promise to break in every statement, for tests of checks.
        self.plant = ""
        self.draining = False
        self.address = ""
        self.work_s = work_s
        self._max_connections = max_connections
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections: list[_Connection] = []
        self._server: asyncio.Server | None = None
        self._port = 0
        self._report = report
        group.targets[name] = self

    @property
    def leads(self) -> bool:
        """Return whether this is the group's primary."""
        return self.group.primary == self.name

    def report(self) -> None:
        """Tell the store of a change at once."""
        self._report(self)

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = self.address or f"{host}:{port}"
        self._port = port

    async def restart(self) -> None:
        """Listen again at the same port, with the log as it was."""
        if self._server is None or not self._server.is_serving():
            await self.start(self._port)

    async def crash(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def forget_statements(self) -> None:
        """Forget every prepared statement, on connections that stay open."""
        for connection in self._connections:
            connection.prepared.clear()

    def position(self) -> str:
        """Return the position of the applied log."""
        if not self.applied:
            return f"{min(self.group.term, 1)}.0"
        last = self.log[self.applied - 1]
        return f"{last.term}.{last.number}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if await self._start(reader, writer):
                await self._answer_all(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _start(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        word, service, _, name = (await _line(reader)).split(" ")
        refusal = ""
        if word != "START" or service != self.group.service or name != self.name:
            refusal = f"WRONGNODE {self.name}"
        elif len(self._writers) > self._max_connections:
            refusal = f"CONNLIMIT {self.name}"
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return False
        writer.write(f"READY I {self.position()}\r\n".encode())
        return True

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection()
        self._connections.append(connection)
        while True:
            line = await _line(reader)
            if self.fault == "mute":
                continue
            _, id_, text = line.split(" ", 2)
            try:
                rows, signature = await self._run(connection, id_, text)
                lines = [f"DATAROW {row}" for row in rows] + [f"COMPLETE {signature}"]
            except Refused as exc:
                connection.failed = connection.transaction is not None
                lines = [f"ERROR {exc}"]
            if self.fault == "lossy" and "WRITE" in text:
                writer.transport.abort()
                return
            state = _state(connection)
            lines.append(f"READY {state} {self.position()}")
            writer.write("".join(one + "\r\n" for one in lines).encode())
            await writer.drain()

    async def _run(
        self, connection: _Connection, id_: str, text: str
    ) -> tuple[list[str], str]:
        after = ""
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if after and self.plant != "stale" and not self._holds(after):
            raise Refused(f"LAGGING {self.name}")
        if connection.failed and word not in ("ROLLBACK", "COMMIT"):
            raise Refused(f"MALFORMED {self.name}")
        handler = _HANDLERS[word]
        self.group.ran.append(Ran(self.name, id_, text, dict(connection.values)))
        return await handler(self, connection, rest)

    def _holds(self, after: str) -> bool:
        term, number = map(int, after.split("."))
        if number == 0:
            return True
        return any(
            one.term == term and one.number == number
            for one in self.log[: self.applied]
        )

    async def _begin(self, connection: _Connection, rest: str) -> tuple[list, str]:
        if rest != "READ" and not self.leads:
            raise Refused(f"READONLY {self.name}")
        connection.transaction = rest == "READ"
        return [], "-"

    async def _rollback(self, connection: _Connection, rest: str) -> tuple[list, str]:
        connection.transaction, connection.failed = None, False
        connection.writes.clear()
        return [], "-"

    async def _commit(self, connection: _Connection, rest: str) -> tuple[list, str]:
        writes, failed = list(connection.writes), connection.failed
        await self._rollback(connection, "")
        if failed:
            raise Refused(f"ABORTED {self.name}")
        await self._work()
        if writes and not self.leads:
            raise Refused(f"READONLY {self.name}")
        for item, data in writes:
            self._append(item, data)
        return [], self._sign()

    async def _read(self, connection: _Connection, rest: str) -> tuple[list, str]:
        await self._work()
        self._check_lead(connection)
        data = next(
            (
                one.data
                for one in reversed(self.log[: self.applied])
                if one.item == rest
            ),
            "-",
        )
        data = next((d for i, d in reversed(connection.writes) if i == rest), data)
        return [data], self._sign()

    async def _write(self, connection: _Connection, rest: str) -> tuple[list, str]:
        await self._work()
        if not self.leads or connection.transaction:
            raise Refused(f"READONLY {self.name}")
        item, data = rest.split(" ", 1)
        if connection.transaction is None:
            self._append(item, data)
            if self.plant == "refused":
                raise Refused(f"BUSY {self.name}")
        else:
            connection.writes.append((item, data))
        return [], self._sign()

    async def _set(self, connection: _Connection, rest: str) -> tuple[list, str]:
        name, value = rest.split(" ", 1)
        connection.values[name] = value
        return [], "-"

    async def _prepare(self, connection: _Connection, rest: str) -> tuple[list, str]:
        name, kind, shape = rest.split(" ", 2)
        connection.prepared[name] = (kind, shape)
        return [], "-"

    async def _execute(self, connection: _Connection, rest: str) -> tuple[list, str]:
        name, args = rest.split(" ", 1)
        if name not in connection.prepared:
            raise Refused(f"NOSTMT {name}")
        read = connection.prepared[name][0] == "READ"
        return await (self._read if read else self._write)(connection, args)

    async def _reset(self, connection: _Connection, rest: str) -> tuple[list, str]:
        connection.values.clear()
        connection.prepared.clear()
        return [], "-"

    async def _status(self, connection: _Connection, rest: str) -> tuple[list, str]:
        role = "primary" if self.leads else "replica"
        received = "0.0"
        if self.log:
            received = f"{self.log[-1].term}.{self.log[-1].number}"
        lag_ms = int(1000 * self.apply_lag_s) if self.applied < len(self.log) else 1
        row = f"{role} {self.group.term} {received} 0 {lag_ms} 0 {len(self._writers)}"
        return [row], "-"

    async def _step_down(self, connection: _Connection, rest: str) -> tuple[list, str]:
        if self.leads and int(rest) > self.group.term:
            self.group.primary = ""
        return await self._status(connection, "")

    def _check_lead(self, connection: _Connection) -> None:
        if connection.transaction is False and not self.leads:
            raise Refused(f"READONLY {self.name}")

    async def _work(self) -> None:
        if self._waiting > _QUEUE:
            raise Refused(f"BUSY {self.name}")
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._waiting -= 1

    def _append(self, item: str, data: str) -> None:
        if self.plant == "lost":
            return
        self._commit_one(item, data)
        if self.plant == "twice":
            self._commit_one(item, data)

    def _commit_one(self, item: str, data: str) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.group.term, number, item, data)
        self.log.append(commit)
        self.applied = len(self.log)
        loop = asyncio.get_running_loop()
        for target in self.group.targets.values():
            if target is not self:
                loop.call_later(self.group.lag_s, target.receive, commit)

    def receive(self, commit: Commit) -> None:
        """Take a commit of the primary, if it is of its term."""
        if self.leads or commit.term != self.group.term:
            return
        self.log.append(commit)
        self.apply_later()

    def apply_later(self) -> None:
        """Apply all that was received, after the lag in force."""
        lag_s = max(self.apply_lag_s, _STALE_LAG_S if self.plant == "stale" else 0.0)
        if not lag_s:
            self.applied = len(self.log)
        elif self.log:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_s, self._apply, self.log[-1], len(self.log))

    def _apply(self, last: Commit, length: int) -> None:
        if len(self.log) >= length and self.log[length - 1] is last:
            self.applied = max(self.applied, length)

    def _sign(self) -> str:
        if self.plant == "unsigned":
            return "-"
        return f"{self.group.term}.{self.name}.{secrets.token_hex(4)}"


_HANDLERS: dict[str, t.Callable] = {
    "BEGIN": SiteTarget._begin,
    "ROLLBACK": SiteTarget._rollback,
    "COMMIT": SiteTarget._commit,
    "READ": SiteTarget._read,
    "WRITE": SiteTarget._write,
    "SET": SiteTarget._set,
    "PREPARE": SiteTarget._prepare,
    "EXECUTE": SiteTarget._execute,
    "RESET": SiteTarget._reset,
    "STATUS": SiteTarget._status,
    "STEPDOWN": SiteTarget._step_down,
}


def _state(connection: _Connection) -> str:
    if connection.failed:
        return "E"
    return "I" if connection.transaction is None else "T"


async def _line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode()
