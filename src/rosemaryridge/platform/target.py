"""Connect to the platform's targets."""

import asyncio
import collections
import typing as t

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import TargetCondition
from rosemaryridge.core import TargetInfo
from rosemaryridge.core import TargetLost
from rosemaryridge.core import TransactionState
from rosemaryridge.core import commands
from rosemaryridge.core import enable_keepalive
from rosemaryridge.core import running_timeout
from rosemaryridge.platform import wire

_CAPACITY_FAILURES = (Failure.TOO_MANY_CONNECTIONS, Failure.BUSY)


def _encode_run(command: commands.Run) -> bytes:
    statement = command.statement
    text = statement.text
    if command.name:
        text = wire.execute_text(command.name, statement.rest)
    if command.min_position is not None:
        text = wire.min_position_text(command.min_position, text)
    return wire.encode_query(text, statement.id)


def _encode_begin(command: commands.Begin) -> bytes:
    text = wire.begin_text(command.read_only)
    if command.min_position is not None:
        text = wire.min_position_text(command.min_position, text)
    return wire.encode_query(text)


def _encode_prepare(command: commands.Prepare) -> bytes:
    text = wire.prepare_text(command.name, command.read_only, command.shape)
    return wire.encode_query(text)


_ENCODERS: dict[type, t.Callable[[t.Any], bytes]] = {
    commands.Run: _encode_run,
    commands.Begin: _encode_begin,
    commands.Rollback: lambda command: wire.encode_query(wire.ROLLBACK),
    commands.SetValue: lambda command: wire.encode_query(
        wire.set_text(command.name, command.value)
    ),
    commands.Prepare: _encode_prepare,
    commands.Reset: lambda command: wire.encode_query(wire.RESET),
}


class TargetConnection(asyncio.Protocol):
    """Send commands to a target over one connection and collect their answers."""

    via = ""
    stops_at_failure = False

    def __init__(self, business: str = "") -> None:
        self.business = business
        self.urgency: commands.Urgency | None = None
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.state = TransactionState.IDLE
        self._transport: asyncio.Transport | None = None
        self._reader = wire.AnswerReader()
        self._pending: collections.deque[asyncio.Future[Answer]] = collections.deque()
        self._loop = asyncio.get_running_loop()

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport is None

    @property
    def busy(self) -> bool:
        """Return whether answers are outstanding."""
        return bool(self._pending)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keepalive on the connection."""
        self._transport = t.cast(asyncio.Transport, transport)
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Match received answers to pending commands."""
        try:
            answers = self._reader.feed(data)
        except wire.MalformedMessage:
            return self.close()
        for answer in answers:
            if not self._pending:
                return self.close()
            self.state = answer.state
            fut = self._pending.popleft()
            if not fut.done():
                fut.set_result(answer)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending commands with TargetLost."""
        self._transport = None
        refusal = self._reader.refusal()
        text = f"{refusal[0].value}: {refusal[1]}" if refusal else str(exc or "closed")
        pending, self._pending = self._pending, collections.deque()
        for fut in pending:
            if not fut.done():
                fut.set_exception(TargetLost(text))
                # A disconnected caller never awaits the future; `exception()` marks its
                # error as retrieved.
                fut.exception()

    def refusal(self) -> tuple[Failure, str] | None:
        """Return the failure that the target sent before closing, if any."""
        return self._reader.refusal()

    def send(self, *batch: commands.Command) -> list[asyncio.Future[Answer]]:
        """Send commands in one write and return a future for each answer."""
        futs = [self._loop.create_future() for _ in batch]
        if self._transport is None:
            for fut in futs:
                fut.set_exception(TargetLost("the connection was closed", sent=False))
                fut.exception()
            return futs
        self._pending.extend(futs)
        self._transport.write(b"".join(_ENCODERS[type(c)](c) for c in batch))
        return futs

    def open_session(self, info: TargetInfo) -> asyncio.Future[Answer]:
        """Request a session; the answer's position is that of the target's log."""
        fut = self._loop.create_future()
        self._pending.append(fut)
        if self._transport is not None:
            self._transport.write(
                wire.encode_start(info.service, self.business, info.id)
            )
        return fut

    async def ask_condition(self) -> TargetCondition | None:
        """Return the target's condition; None if it has no free slot to report it."""
        return await self._ask(wire.STATUS)

    async def step_down(self, term: int) -> TargetCondition | None:
        """Demote a primary of a lower term; return its condition.

        None if the target had no free slot to answer.
        """
        return await self._ask(wire.step_down_text(term))

    async def _ask(self, text: bytes) -> TargetCondition | None:
        return wire.decode_condition(await self._query(text))

    async def _query(self, text: bytes) -> Answer:
        fut = self._loop.create_future()
        if self._transport is None:
            raise TargetLost("the connection was closed", sent=False)
        self._pending.append(fut)
        self._transport.write(wire.encode_query(text))
        return await fut

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""
        if self._transport is not None:
            self._transport.abort()


async def connect(
    info: TargetInfo, timeout_s: float, business: str
) -> TargetConnection:
    """Open a connection and check that it reaches this target; raise ConnectFailed.

    The target is told the business, if any, that the connection belongs to.
    """
    loop = asyncio.get_running_loop()
    address = (info.endpoint.host, info.endpoint.port)
    connection: TargetConnection | None = None
    try:
        async with running_timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(business), *address
            )
            answer = await connection.open_session(info)
    except ConnectionRefusedError as exc:
        raise commands.ConnectFailed("nothing listens", refused=True) from exc
    except TargetLost as exc:
        raise _failure_of_lost_connection(connection, str(exc)) from exc
    except (OSError, TimeoutError) as exc:
        if connection is not None:
            connection.close()
        raise commands.ConnectFailed(
            str(exc) or f"no answer within {timeout_s} s"
        ) from exc
    if answer.failure is not None:
        connection.close()
        raise _connect_failed(answer.failure, answer.detail)
    return connection


def _failure_of_lost_connection(
    connection: TargetConnection, reason: str
) -> commands.ConnectFailed:
    refusal = connection.refusal()
    if refusal is None:
        return commands.ConnectFailed(reason)
    return _connect_failed(*refusal)


def _connect_failed(failure: Failure, detail: str) -> commands.ConnectFailed:
    return commands.ConnectFailed(
        f"{failure.value}: {detail}",
        full=failure in _CAPACITY_FAILURES,
        wrong_target=failure is Failure.WRONG_TARGET,
    )
