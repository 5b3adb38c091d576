"""Run statements by kind."""

import asyncio
import dataclasses
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._sql import Kind
from rosemaryridge_testbed.target._sql import ParsedStatement
from rosemaryridge_testbed.target._transaction import TargetContext
from rosemaryridge_testbed.target._transaction import Transaction
from rosemaryridge_testbed.target._verbs import run_verb

Row = tuple[t.Any, ...]


@dataclasses.dataclass(slots=True)
class Result:
    """Hold a statement's tag and its remaining rows."""

    tag: str
    rows: t.Iterator[Row] | None = None

    def fetch(self, max_rows: int) -> list[Row]:
        """Return up to `max_rows` rows; all rows if it is not positive."""
        if max_rows <= 0:
            return list(self.rows)
        return [row for _, row in zip(range(max_rows), self.rows, strict=False)]


Runner = t.Callable[
    ["Commands", Transaction, ParsedStatement, list], t.Awaitable[Result]
]
_RUNNERS: dict[Kind, Runner] = {}


def _runner_for(kind: Kind) -> t.Callable[[Runner], Runner]:
    def register(runner: Runner) -> Runner:
        _RUNNERS[kind] = runner
        return runner

    return register


class Commands:
    """Run statements for all connections of one target."""

    def __init__(self, context: TargetContext):
        self.context = context

    async def run(
        self, tx: Transaction, parsed: ParsedStatement, values: list
    ) -> Result:
        """Run one statement; raise PgError."""
        await self.context.resumed.wait()
        return await _RUNNERS[parsed.kind](self, tx, parsed, values)

    @_runner_for(Kind.BEGIN)
    async def _begin(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        tx.begin()
        return Result(parsed.tag)

    @_runner_for(Kind.COMMIT)
    async def _commit(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        if tx.connection.tx_status == b"E":
            tx.rollback()
            return Result("ROLLBACK")
        tx.commit()
        return Result(parsed.tag)

    @_runner_for(Kind.ROLLBACK)
    async def _rollback(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        tx.rollback()
        return Result(parsed.tag)

    @_runner_for(Kind.SAVEPOINT)
    async def _savepoint(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        if self.context.member.writable:
            await tx.acquire_write_lock()
        tx.savepoint(parsed.args[0])
        return Result(parsed.tag)

    @_runner_for(Kind.ROLLBACK_TO)
    async def _rollback_to(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        tx.rollback_to(parsed.args[0])
        return Result(parsed.tag)

    @_runner_for(Kind.RELEASE)
    async def _release(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        tx.release(parsed.args[0])
        return Result(parsed.tag)

    @_runner_for(Kind.SET)
    async def _set(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        if parsed.args:
            name, value = parsed.args
            tx.set_value(name.lower(), value.strip().strip("'"))
        return Result(parsed.tag)

    @_runner_for(Kind.SHOW)
    async def _show(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        value = tx.settings.get(parsed.args[0].lower(), "")
        return Result("SHOW", iter([(value,)]))

    @_runner_for(Kind.RESET)
    async def _reset(
        self, tx: Transaction, parsed: ParsedStatement, _values: list
    ) -> Result:
        if parsed.tag == "DISCARD ALL" and tx.in_transaction:
            raise PgError("25001", "DISCARD ALL cannot run inside a transaction block")
        name = parsed.args[0].lower() if parsed.args else "all"
        if name != "all":
            tx.settings.pop(name, None)
        elif parsed.tag in ("DISCARD ALL", "RESET"):
            tx.settings.clear()
        return Result(parsed.tag)

    @_runner_for(Kind.VERB)
    async def _verb(
        self, _tx: Transaction, parsed: ParsedStatement, values: list
    ) -> Result:
        name, *literals = parsed.args
        args = values or [text.strip("'") for text in literals]
        row = run_verb(self.context.member, name, args)
        return Result("SELECT 1", iter([row]))

    @_runner_for(Kind.READ)
    async def _read(
        self, tx: Transaction, parsed: ParsedStatement, values: list
    ) -> Result:
        if self.context.member.rewinding:
            raise PgError("57P03", "the target is rewinding its log; retry later")
        async with self.context.statement_limit:
            await self._simulate_duration(parsed, values)
            executor = tx.executor()
            cursor = executor.run(parsed.text, _named_params(values))
            if " FROM " in parsed.text:
                self.context.reads[self.context.member.promise.role.value] += 1
            return Result("SELECT", cursor)

    @_runner_for(Kind.WRITE)
    async def _write(
        self, tx: Transaction, parsed: ParsedStatement, values: list
    ) -> Result:
        executor = await tx.acquire_write_lock()
        async with self.context.statement_limit:
            await self._simulate_duration(parsed, values)
            params = _named_params(values)
            cursor = executor.run(parsed.text, params)
            rows = cursor.fetchall()
            tx.statements.append((parsed.text, params))
            if not tx.in_transaction:
                tx.commit()
        count = len(rows) if parsed.columns is not None else max(cursor.rowcount, 0)
        tag = _tag_with_count(parsed.tag, count)
        return Result(tag, iter(rows) if parsed.columns is not None else None)

    async def _simulate_duration(self, parsed: ParsedStatement, values: list) -> None:
        delay_s = self.context.knobs.statement_ms / 1000.0
        if parsed.sleeps:
            delay_s += _sleep_duration_s(parsed, values)
        if delay_s > 0.0:
            await asyncio.sleep(delay_s)


def _named_params(values: list) -> dict[str, t.Any]:
    return {f"p{index + 1}": value for index, value in enumerate(values)}


def _tag_with_count(tag: str, count: int) -> str:
    if tag == "INSERT":
        return f"INSERT 0 {count}"
    return f"{tag} {count}" if tag in ("UPDATE", "DELETE", "SELECT") else tag


def _sleep_duration_s(parsed: ParsedStatement, values: list) -> float:
    text = parsed.text.lower().partition("pg_sleep(")[2].partition(")")[0].strip()
    if text.startswith(":p"):
        return float(values[int(text[2:]) - 1])
    return float(text or 0.0)
