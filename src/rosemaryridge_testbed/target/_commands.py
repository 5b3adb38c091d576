"""Run each kind of statement."""

import asyncio
import dataclasses
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._sql import Kind
from rosemaryridge_testbed.target._sql import Parsed
from rosemaryridge_testbed.target._transaction import Host
from rosemaryridge_testbed.target._transaction import Transaction
from rosemaryridge_testbed.target._verbs import run_verb

Row = tuple[t.Any, ...]


@dataclasses.dataclass(slots=True)
class Result:
    """Hold a statement's tag and the rows not yet handed out."""

    tag: str
    rows: t.Iterator[Row] | None = None

    def take(self, max_rows: int) -> list[Row]:
        """Return the next rows; all of them where `max_rows` is not positive."""
        if max_rows <= 0:
            return list(self.rows)
        return [row for _, row in zip(range(max_rows), self.rows, strict=False)]


Runner = t.Callable[["Commands", Transaction, Parsed, list], t.Awaitable[Result]]
_RUNNERS: dict[Kind, Runner] = {}


def _runs(kind: Kind) -> t.Callable[[Runner], Runner]:
    def register(runner: Runner) -> Runner:
        _RUNNERS[kind] = runner
        return runner

    return register


class Commands:
    """Run statements for all connections of one target."""

    def __init__(self, host: Host):
        self.host = host

    async def run(self, tx: Transaction, parsed: Parsed, values: list) -> Result:
        """Run one statement; raise PgError."""
        await self.host.resumed.wait()
        return await _RUNNERS[parsed.kind](self, tx, parsed, values)

    @_runs(Kind.BEGIN)
    async def _begin(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        tx.begin()
        return Result(parsed.tag)

    @_runs(Kind.COMMIT)
    async def _commit(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        if tx.connection.tx_status == b"E":
            tx.rollback()
            return Result("ROLLBACK")
        tx.commit()
        return Result(parsed.tag)

    @_runs(Kind.ROLLBACK)
    async def _rollback(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        tx.rollback()
        return Result(parsed.tag)

    @_runs(Kind.SAVEPOINT)
    async def _savepoint(
        self, tx: Transaction, parsed: Parsed, _values: list
    ) -> Result:
        if self.host.member.writable:
            await tx.lock()
        tx.savepoint(parsed.args[0])
        return Result(parsed.tag)

    @_runs(Kind.ROLLBACK_TO)
    async def _rollback_to(
        self, tx: Transaction, parsed: Parsed, _values: list
    ) -> Result:
        tx.rollback_to(parsed.args[0])
        return Result(parsed.tag)

    @_runs(Kind.RELEASE)
    async def _release(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        tx.release(parsed.args[0])
        return Result(parsed.tag)

    @_runs(Kind.SET)
    async def _set(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        if parsed.args:
            name, value = parsed.args
            tx.settings[name.lower()] = value.strip().strip("'")
        return Result(parsed.tag)

    @_runs(Kind.SHOW)
    async def _show(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        value = tx.settings.get(parsed.args[0].lower(), "")
        return Result("SHOW", iter([(value,)]))

    @_runs(Kind.RESET)
    async def _reset(self, tx: Transaction, parsed: Parsed, _values: list) -> Result:
        if parsed.tag == "DISCARD ALL" and tx.explicit:
            raise PgError("25001", "DISCARD ALL cannot run inside a transaction block")
        if parsed.tag in ("DISCARD ALL", "RESET"):
            tx.settings.clear()
        return Result(parsed.tag)

    @_runs(Kind.VERB)
    async def _verb(self, _tx: Transaction, parsed: Parsed, values: list) -> Result:
        name, *given = parsed.args
        args = values or [text.strip("'") for text in given]
        row = run_verb(self.host.member, name, args)
        return Result("SELECT 1", iter([row]))

    @_runs(Kind.READ)
    async def _read(self, tx: Transaction, parsed: Parsed, values: list) -> Result:
        if self.host.member.rewinding:
            raise PgError("57P03", "the target is dropping its log's tail")
        async with self.host.gate:
            await self._spend(parsed, values)
            executor = tx.executor()
            cursor = executor.run(parsed.text, _named(values))
            if " FROM " in parsed.text:
                self.host.reads[self.host.member.promise.role.value] += 1
            return Result("SELECT", cursor)

    @_runs(Kind.WRITE)
    async def _write(self, tx: Transaction, parsed: Parsed, values: list) -> Result:
        executor = await tx.lock()
        async with self.host.gate:
            await self._spend(parsed, values)
            params = _named(values)
            cursor = executor.run(parsed.text, params)
            rows = cursor.fetchall()
            tx.calls.append((parsed.text, params))
            if not tx.explicit:
                tx.commit()
        count = len(rows) if parsed.columns is not None else max(cursor.rowcount, 0)
        tag = _counted(parsed.tag, count)
        return Result(tag, iter(rows) if parsed.columns is not None else None)

    async def _spend(self, parsed: Parsed, values: list) -> None:
        delay_s = self.host.knobs.statement_ms / 1000.0
        if parsed.sleeps:
            delay_s += _sleep_s(parsed, values)
        if delay_s > 0.0:
            await asyncio.sleep(delay_s)


def _named(values: list) -> dict[str, t.Any]:
    return {f"p{index + 1}": value for index, value in enumerate(values)}


def _counted(tag: str, count: int) -> str:
    if tag == "INSERT":
        return f"INSERT 0 {count}"
    return f"{tag} {count}" if tag in ("UPDATE", "DELETE", "SELECT") else tag


def _sleep_s(parsed: Parsed, values: list) -> float:
    text = parsed.text.lower().partition("pg_sleep(")[2].partition(")")[0].strip()
    if text.startswith(":p"):
        return float(values[int(text[2:]) - 1])
    return float(text or 0.0)
