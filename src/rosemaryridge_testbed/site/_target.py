"""Emulate the users' database targets, which replicate asynchronously."""

import asyncio
import dataclasses
import secrets
import time
import typing as t

_QUEUE_LIMIT = 24
# The plant `stale` ignores a read's minimum position; the violation only shows on a
# replica that lags.
_STALE_LAG_S = 1.0
# A deposed primary becomes a replica this long after it can reach its successor.
_REJOIN_DELAY_S = 1.0
# Period of looking for a replica that has received a commit.
_RECEIPT_POLL_S = 0.002


@dataclasses.dataclass(slots=True)
class Commit:
    """Record one committed change of an item."""

    term: int
    number: int
    item: str
    data: str


@dataclasses.dataclass(slots=True)
class _Connection:
    # The business, or the proxy, that opened it.
    business: str = ""
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    # None outside a transaction, else whether the transaction is read-only.
    transaction: bool | None = None
    failed: bool = False
    writes: list[tuple[str, str]] = dataclasses.field(default_factory=list)


class Refused(Exception):
    """Fail a statement with an error code.

    With `runs_on`, an open transaction is left as it was.
    """

    def __init__(self, text: str, runs_on: bool = False):
        super().__init__(text)
        self.runs_on = runs_on


@dataclasses.dataclass(slots=True)
class ExecutedStatement:
    """Record one statement that a target ran, for checks.

    `at` is on the monotonic clock.
    """

    target: str
    id: str
    text: str
    values: dict[str, str]
    business: str
    at: float
    in_transaction: bool = False


@dataclasses.dataclass(slots=True)
class LostCommits:
    """Record the acknowledged commits that a promoted target lacked.

    `received` is the length of each target's log; `at` is Unix time in seconds.
    """

    at: float
    promoted: str
    commits: list[Commit]
    received: dict[str, int]


class SiteGroup:
    """Hold the state that the targets of one service share.

    If `deposed_go_on` is set, a primary that is cut off from the others leads on, with
    its own log, when another target is promoted. With `sync_replicas`, a commit is
    acknowledged once one replica has received it.
    """

    def __init__(
        self,
        service: str,
        lag_s: float,
        promotion_delay_s: float,
        deposed_go_on: bool = False,
        sync_replicas: int = 0,
    ):
        self.service = service
        self.sync_replicas = sync_replicas
        self.deposed_go_on = deposed_go_on
        # By data: each commit of a deposed primary that went on.
        self.split_commits: list[str] = []
        self.lag_s = lag_s
        self.promotion_delay_s = promotion_delay_s
        self.term = 1
        self.primary = ""
        self.targets: dict[str, SiteTarget] = {}
        self.executed: list[ExecutedStatement] = []
        # Commits that a synchronous replica had received when they were acknowledged,
        # and those of them that a promoted target lacked.
        self.acknowledged: list[Commit] = []
        self.lost: list[LostCommits] = []
        # The data of every commit that a promotion rolled back.
        self.rolled_back: set[str] = set()

    async def promote(self, name: str) -> None:
        """Make a target the primary of the next term, with its received log."""
        if name == self.primary:
            return
        await asyncio.sleep(self.promotion_delay_s)
        former = self.targets.get(self.primary)
        if self.deposed_go_on and former is not None and former.cut_off:
            former.deposed_term = self.term
        self.term += 1
        self.primary = name
        promoted = self.targets[name]
        promoted.deposed_term = None
        self._check_acknowledged(promoted)
        for target in self.targets.values():
            target.held_term = 0
            target.follow(promoted.log)
        promoted.applied = len(promoted.log)

    def _check_acknowledged(self, promoted: "SiteTarget") -> None:
        lost = [c for c in self.acknowledged if not promoted.has_received(c)]
        if not lost:
            return
        received = {name: len(target.log) for name, target in self.targets.items()}
        self.lost.append(LostCommits(time.time(), promoted.name, lost, received))
        self.acknowledged = [c for c in self.acknowledged if c not in lost]

    def roll_back(self, commits: t.Iterable[Commit]) -> None:
        """Record commits that a promotion rolled back."""
        self.rolled_back |= {commit.data for commit in commits}


def _common_prefix_length(log: list[Commit], other: list[Commit]) -> int:
    for index, (ours, theirs) in enumerate(zip(log, other, strict=False)):
        if ours is not theirs:
            return index
    return min(len(log), len(other))


class SiteTarget:
    """Serve the statement protocol from one replica of a service's log.

    `fault` is `mute` (reads requests and never answers) or `lossy` (runs writes and
    drops their answers). A replica applies a commit `apply_lag_s` after its receipt.
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
        # The guarantee that every statement violates, for tests of checks.
        self.plant = ""
        self.draining = False
        # Returns whether a request is answered BUSY and not run, by its first word.
        self.refuses: t.Callable[[str], bool] = lambda word: False
        # Bytes that are sent in place of every answer.
        self.garbage = b""
        self._crashed = False
        # Whether this target receives nothing from the others.
        self.deaf = False
        # Commits of older terms than this are not received; 0 without a pause.
        self.held_term = 0
        # Whether the other targets cannot reach this one.
        self.cut_off = False
        # The term that this target leads although another target was promoted.
        self.deposed_term: int | None = None
        self.address = ""
        self.work_s = work_s
        self._max_connections = max_connections
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        # Open connections that answer nothing any more.
        self._silent: set[asyncio.StreamWriter] = set()
        self._connections: list[_Connection] = []
        self._server: asyncio.Server | None = None
        self._port = 0
        self._report = report
        group.targets[name] = self

    @property
    def is_primary(self) -> bool:
        """Return whether this target takes itself for the primary."""
        return self.group.primary == self.name or self.deposed_term is not None

    @property
    def term(self) -> int:
        """Return the term that this target knows."""
        return self.group.term if self.deposed_term is None else self.deposed_term

    def follow(self, log: list[Commit]) -> None:
        """Take over the log of the primary, unless this target is cut off from it."""
        if self.deposed_term is not None or self.deaf or self.held_term:
            return
        common = _common_prefix_length(self.log, log)
        self.group.roll_back(self.log[common:])
        self.applied = min(self.applied, common)
        # Commits still in transit from the old primary come from the new one.
        self.log = list(log)
        self.schedule_apply()
        self.report()

    def hear(self) -> None:
        """Receive from the others again, and what was missed."""
        self.deaf = False
        self._catch_up()

    def _catch_up(self) -> None:
        primary = self.group.targets.get(self.group.primary)
        if primary not in (None, self) and not primary.unreachable_for(self):
            self.follow(primary.log)

    def unreachable_for(self, other: "SiteTarget") -> bool:
        """Return whether another target receives nothing from this one."""
        return self._crashed or self.cut_off or other.cut_off

    def rejoin(self) -> None:
        """Reach the other targets again; a deposed primary follows after a delay."""
        self.cut_off = False
        asyncio.get_running_loop().call_later(_REJOIN_DELAY_S, self._end_deposed_term)

    def _end_deposed_term(self) -> None:
        if self.deposed_term is not None and not self.cut_off:
            self.deposed_term = None
            if self.group.primary:
                self.follow(self.group.targets[self.group.primary].log)

    def report(self) -> None:
        """Publish this target's current entry to the store."""
        self._report(self)

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = self.address or f"{host}:{port}"
        self._port = port

    async def restart(self) -> None:
        """Listen again on the same port; a replica receives what it has missed."""
        if not self._crashed:
            # Another fault has restarted it.
            return
        self._crashed = False
        self.held_term = 0
        if self._server is None or not self._server.is_serving():
            await self.start(self._port)
        self._catch_up()

    async def crash(self) -> None:
        """Stop listening and abort every connection."""
        self._crashed = True
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def drop_prepared_statements(self) -> None:
        """Drop every prepared statement; connections stay open."""
        for connection in self._connections:
            connection.prepared.clear()

    def silence_connections(self) -> None:
        """Answer nothing on the open connections; new ones work."""
        self._silent.update(self._writers)

    def position(self) -> str:
        """Return the position of the last applied commit."""
        if not self.applied:
            return f"{min(self.group.term, 1)}.0"
        last = self.log[self.applied - 1]
        return f"{last.term}.{last.number}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._crashed:
            # The connection was accepted before the crash.
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            business = await self._accept_session(reader, writer)
            if business:
                await self._serve_statements(reader, writer, business)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _accept_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        """Return who opened the session; empty if it was refused."""
        word, service, business, name = (await _read_line(reader)).split(" ")
        refusal = ""
        if word != "START" or service != self.group.service or name != self.name:
            refusal = f"WRONGNODE {self.name}"
        elif len(self._writers) > self._max_connections:
            refusal = f"CONNLIMIT {self.name}"
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return ""
        writer.write(f"READY I {self.position()}\r\n".encode())
        return business

    async def _serve_statements(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, business: str
    ) -> None:
        connection = _Connection(business)
        self._connections.append(connection)
        while True:
            request = await _read_line(reader)
            if self.fault == "mute" or writer in self._silent:
                continue
            if self.garbage:
                writer.write(self.garbage)
                continue
            _, id_, text = request.split(" ", 2)
            try:
                rows, signature = await self._run(connection, id_, text)
                lines = [f"DATAROW {row}" for row in rows] + [f"COMPLETE {signature}"]
            except Refused as exc:
                if not exc.runs_on:
                    connection.failed = connection.transaction is not None
                lines = [f"ERROR {exc}"]
            if self.fault == "lossy" and "WRITE" in text:
                writer.transport.abort()
                return
            state = _transaction_state(connection)
            lines.append(f"READY {state} {self.position()}")
            writer.write("".join(line + "\r\n" for line in lines).encode())
            await writer.drain()

    async def _run(
        self, connection: _Connection, id_: str, text: str
    ) -> tuple[list[str], str]:
        min_position = ""
        if text.startswith("AFTER "):
            _, min_position, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if (
            min_position
            and self.plant != "stale"
            and not self._has_applied(min_position)
        ):
            raise Refused(f"LAGGING {self.name}")
        if self.refuses(word):
            raise Refused(f"BUSY {self.name}", runs_on=True)
        if connection.failed and word not in ("ROLLBACK", "COMMIT"):
            raise Refused(f"MALFORMED {self.name}")
        handler = _HANDLERS[word]
        self._record(connection, id_, text)
        return await handler(self, connection, rest)

    def _record(self, connection: _Connection, id_: str, text: str) -> None:
        business = connection.business
        if self.plant == "foreign":
            business = f"not-{business}"
        executed = ExecutedStatement(
            self.name,
            id_,
            text,
            dict(connection.values),
            business,
            time.monotonic(),
            connection.transaction is not None,
        )
        self.group.executed += [executed] * (10 if self.plant == "repeated" else 1)

    def _has_applied(self, min_position: str) -> bool:
        term, number = map(int, min_position.split("."))
        if number == 0:
            return True
        return any(
            commit.term == term and commit.number == number
            for commit in self.log[: self.applied]
        )

    async def _begin(self, connection: _Connection, rest: str) -> tuple[list, str]:
        if rest != "READ" and not self.is_primary:
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
        await self._occupy_slot()
        if writes and not self.is_primary:
            raise Refused(f"READONLY {self.name}")
        for item, data in writes:
            self._append(item, data)
        await self._wait_for_receipt()
        return [], self._make_signature()

    async def _read(self, connection: _Connection, rest: str) -> tuple[list, str]:
        await self._occupy_slot()
        self._check_primary(connection)
        data = next(
            (
                commit.data
                for commit in reversed(self.log[: self.applied])
                if commit.item == rest
            ),
            "-",
        )
        data = next((d for i, d in reversed(connection.writes) if i == rest), data)
        return [data], self._make_signature()

    async def _write(self, connection: _Connection, rest: str) -> tuple[list, str]:
        await self._occupy_slot()
        if not self.is_primary or connection.transaction:
            raise Refused(f"READONLY {self.name}")
        item, data = rest.split(" ", 1)
        if connection.transaction is None:
            self._append(item, data)
            if self.plant == "refused":
                raise Refused(f"BUSY {self.name}")
            await self._wait_for_receipt()
        else:
            connection.writes.append((item, data))
        return [], self._make_signature()

    async def _set(self, connection: _Connection, rest: str) -> tuple[list, str]:
        name, value = rest.split(" ", 1)
        if self.plant != "valueless":
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
        role = "primary" if self.is_primary else "replica"
        received = "0.0"
        if self.log:
            received = f"{self.log[-1].term}.{self.log[-1].number}"
        lag_ms = int(1000 * self.apply_lag_s) if self.applied < len(self.log) else 1
        held, connections = self.held_term, len(self._writers)
        row = f"{role} {self.term} {received} {held} {lag_ms} 0 {connections}"
        return [row], "-"

    async def _pause(self, connection: _Connection, rest: str) -> tuple[list, str]:
        if not self.is_primary and int(rest) > self.term:
            self.held_term = max(self.held_term, int(rest))
        return await self._status(connection, "")

    async def _resume(self, connection: _Connection, rest: str) -> tuple[list, str]:
        self.held_term = 0
        self._catch_up()
        return await self._status(connection, "")

    async def _step_down(self, connection: _Connection, rest: str) -> tuple[list, str]:
        if self.deposed_term is not None and int(rest) > self.deposed_term:
            self.deposed_term = None
        elif self.group.primary == self.name and int(rest) > self.group.term:
            self.group.primary = ""
        return await self._status(connection, "")

    def _check_primary(self, connection: _Connection) -> None:
        if connection.transaction is False and not self.is_primary:
            raise Refused(f"READONLY {self.name}")

    async def _occupy_slot(self) -> None:
        if self._waiting > _QUEUE_LIMIT:
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
        self._append_commit(item, data)
        if self.plant == "twice":
            self._append_commit(item, data)

    async def _wait_for_receipt(self) -> None:
        """Wait until a replica has the last commit; raise ConnectionError."""
        if not self.group.sync_replicas or not self.log:
            return
        commit = self.log[-1]
        others = [tgt for tgt in self.group.targets.values() if tgt is not self]
        while not any(tgt.has_received(commit) for tgt in others):
            if self._crashed or not self.is_primary:
                raise ConnectionError("the commit was not acknowledged")
            await asyncio.sleep(_RECEIPT_POLL_S)
        if self.is_primary:
            self.group.acknowledged.append(commit)

    def has_received(self, commit: Commit) -> bool:
        """Return whether the log holds a commit."""
        number = commit.number
        return len(self.log) >= number and self.log[number - 1] is commit

    def _append_commit(self, item: str, data: str) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, item, data)
        self.log.append(commit)
        self.applied = len(self.log)
        if self.deposed_term is not None:
            self.group.split_commits.append(data)
        if self.cut_off:
            return
        loop = asyncio.get_running_loop()
        for target in self.group.targets.values():
            if target is not self:
                loop.call_later(self.group.lag_s, target.receive, commit)

    def receive(self, commit: Commit) -> None:
        """Append a commit of the primary if it belongs to the current term."""
        if self.is_primary or self.cut_off or commit.term != self.group.term:
            return
        if self.deaf or self._crashed or commit.term < self.held_term:
            return
        if commit.number != len(self.log) + 1:
            # Copied already, or after commits that were missed while cut off.
            self._catch_up()
            return
        self.log.append(commit)
        self.schedule_apply()

    def schedule_apply(self) -> None:
        """Apply the received commits after the current apply lag."""
        lag_s = max(self.apply_lag_s, _STALE_LAG_S if self.plant == "stale" else 0.0)
        if not lag_s:
            self.applied = len(self.log)
        elif self.log:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_s, self._apply, self.log[-1], len(self.log))

    def _apply(self, last: Commit, length: int) -> None:
        if len(self.log) >= length and self.log[length - 1] is last:
            self.applied = max(self.applied, length)

    def _make_signature(self) -> str:
        if self.plant == "unsigned":
            return "-"
        return f"{self.term}.{self.name}.{secrets.token_hex(4)}"


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
    "PAUSE": SiteTarget._pause,
    "RESUME": SiteTarget._resume,
}


def _transaction_state(connection: _Connection) -> str:
    if connection.failed:
        return "E"
    return "I" if connection.transaction is None else "T"


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode()
