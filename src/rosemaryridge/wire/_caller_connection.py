"""Serve the PostgreSQL protocol to one caller."""

import asyncio
import struct
import typing as t

import asyncpg
import eliot
from pg_mimic import messages
from pg_mimic.connection import Connection
from pg_mimic.errors import PgError
from pg_mimic.stream import ConnectionClosed

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire import _errors
from rosemaryridge.wire import _messages
from rosemaryridge.wire._caller_session import CallerPortal
from rosemaryridge.wire._caller_session import CallerSession
from rosemaryridge.wire._caller_session import CallerStatement
from rosemaryridge.wire._caller_session import Completion
from rosemaryridge.wire._caller_session import Rows
from rosemaryridge.wire._caller_stream import OVERSIZED
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import Parameters
from rosemaryridge.wire._columns import expand_formats

_NO_STATEMENT = "26000"
_NO_PORTAL = "34000"
_PROTOCOL_VIOLATION = "08P01"
_DUPLICATE_STATEMENT = "42P05"

_RUNS = (messages.QUERY, messages.EXECUTE)
_ANNOUNCED_GRACE_S = 1.0


Handler = t.Callable[["CallerConnection", bytes], t.Awaitable[None]]
_HANDLERS: dict[bytes, Handler] = {}


def _handles(tag: bytes) -> t.Callable[[Handler], Handler]:
    """Register what handles a type of message."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[tag] = handler
        return handler

    return register


class _AnswerWriter:
    """Write one statement's answer to the caller."""

    __slots__ = ("_describe", "_formats", "_stream")

    def __init__(self, stream: t.Any, formats: t.Sequence[int], describe: bool):
        self._stream = stream
        self._formats = formats
        self._describe = describe

    def formats(self, count: int) -> tuple[int, ...]:
        return expand_formats(self._formats, count)

    def columns(self, columns: t.Sequence[Column]) -> None:
        if self._describe and columns:
            formats = self.formats(len(columns))
            self._stream.write(_messages.row_description(columns, formats))

    async def rows(self, rows: Rows) -> None:
        if rows:
            self._stream.write(b"".join(map(_messages.data_row, rows)))
            await self._stream.pace()


class CallerConnection(Connection):
    """Run the command loop of one caller's connection."""

    session: CallerSession

    def __init__(self, *args: t.Any, **kwargs: t.Any):
        super().__init__(*args, **kwargs)
        self._pushed: tuple[bytes, bytes] | None = None
        self._idle = False
        self._closing = False
        self._announced = False

    def request_cancel(self) -> None:
        """Cancel the statement that runs now, and no other."""
        self.session.request_cancel()

    def close_when_idle(self) -> None:
        """Close between two transactions, at once where the caller is idle.

        A caller that has only prepared a statement is about to run it, and is
        given a while to do so.
        """
        self._closing = True
        if not self._may_close():
            return
        if self._announced:
            loop = asyncio.get_running_loop()
            loop.call_later(_ANNOUNCED_GRACE_S, self._close_if_idle)
            return
        self._say_goodbye()

    def _may_close(self) -> bool:
        waiting = self.stream.has_unread()
        return self._idle and not waiting and self.session.status() == b"I"

    def _close_if_idle(self) -> None:
        if self._may_close():
            self._say_goodbye()

    def send_notice(self, fields: _errors.Fields) -> None:
        """Hand on a notice."""
        self.stream.write(messages.make_notice_response(fields))

    def send_parameter(self, name: str, value: str) -> None:
        """Tell the caller of a parameter's new value."""
        self.stream.write(messages.make_parameter_status(name, value))

    def _say_goodbye(self) -> None:
        refusal = Refusal(codes.caller.SHUTTING_DOWN)
        self._error(_errors.refusal_fields(refusal, "FATAL"))
        self.stream.flush()
        self.stream.writer.close()

    async def refuse(self, refusal: Refusal) -> None:
        """Answer the login with a refusal."""
        self._error(_errors.refusal_fields(refusal, "FATAL"))
        await self.stream.drain()

    async def serve(self) -> None:
        """Serve a caller that has logged in, until it leaves."""
        try:
            self.stream.write(messages.make_authentication_ok())
            await self._send_startup_completion()
            await self.session.init(self)
            self._idle = True
            await self._command_loop()
        except ConnectionClosed:
            pass
        finally:
            self._drop_portals()
            await self.session.close()

    async def _command_loop(self) -> None:
        try:
            while await self._serve_message():
                pass
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            raise ConnectionClosed from exc

    async def _serve_message(self) -> bool:
        tag, payload = await self._read()
        if tag == messages.TERMINATE:
            return False
        self._idle = False
        if tag == OVERSIZED:
            tag = payload
            self._fail(Refusal(codes.caller.STATEMENT_TOO_LARGE))
        elif not self._ignore_until_sync or tag == messages.SYNC:
            await self._dispatch(tag, payload)
        if tag in _RUNS:
            self._announced = False
        elif tag == messages.PARSE:
            self._announced = True
        if tag in (messages.QUERY, messages.SYNC):
            return await self._ready()
        if tag == messages.FLUSH:
            await self.stream.drain()
        return True

    async def _read(self) -> tuple[bytes, bytes]:
        pushed, self._pushed = self._pushed, None
        return pushed or await self.stream.read_message()

    async def _ready(self) -> bool:
        self._ignore_until_sync = False
        status = self.session.status()
        self.stream.write(messages.make_ready_for_query(status))
        await self.stream.drain()
        self._idle = True
        if self._closing:
            self.close_when_idle()
        return True

    async def _dispatch(self, tag: bytes, payload: bytes) -> None:
        try:
            handler = _HANDLERS.get(tag)
            if handler is None:
                raise PgError(_PROTOCOL_VIOLATION, f"unsupported message type {tag!r}")
            await handler(self, payload)
        except ConnectionError as exc:
            raise ConnectionClosed from exc
        except ConnectionClosed:
            raise
        except Exception as exc:
            self._fail(exc)

    def _fail(self, exc: Exception) -> None:
        if isinstance(exc, Refusal):
            self.session.refused(exc)
        self._error(_fields_of(exc))
        self.session.fail()
        self._ignore_until_sync = True

    def _error(self, fields: _errors.Fields) -> None:
        self.stream.write(messages.make_error_response(fields))

    def _complete(self, completion: Completion) -> None:
        if completion.suspended:
            self.stream.write(messages.make_portal_suspended())
        elif completion.tag:
            self.stream.write(messages.make_command_complete(completion.tag))
        else:
            self.stream.write(messages.make_empty_query_response())

    @_handles(messages.QUERY)
    async def _query(self, payload: bytes) -> None:
        queries = self.session.split(messages.parse_query(payload))
        if not queries:
            self.stream.write(messages.make_empty_query_response())
            return
        failed = True
        try:
            for query in queries:
                await self._run_simple(query, len(queries) == 1)
            failed = False
        finally:
            await self.session.sync(failed)

    async def _run_simple(self, query: t.Any, alone: bool) -> None:
        statement = CallerStatement(self.session, query)
        portal = CallerPortal(statement, Parameters(), ())
        answer = _AnswerWriter(self.stream, (), describe=True)
        self._complete(await self.session.execute(portal, 0, alone, answer))

    @_handles(messages.PARSE)
    async def _parse(self, payload: bytes) -> None:
        parsed = messages.parse_parse(payload)
        if parsed.statement_name and parsed.statement_name in self.statements:
            text = f'prepared statement "{parsed.statement_name}" already exists'
            raise PgError(_DUPLICATE_STATEMENT, text)
        oids = tuple(oid & 0xFFFFFFFF for oid in parsed.param_oids)
        statement = await self.session.prepare(parsed.sql, oids)
        self.statements[parsed.statement_name] = statement
        self.stream.write(messages.make_parse_complete())

    @_handles(messages.BIND)
    async def _bind(self, payload: bytes) -> None:
        bound = messages.parse_bind(payload)
        statement = self._statement(bound.statement_name)
        formats = expand_formats(bound.param_format_codes, len(bound.params))
        params = Parameters(tuple(bound.params), formats)
        old = self.portals.pop(bound.portal_name, None)
        if old is not None:
            old.discard()
        portal = CallerPortal(statement, params, bound.result_format_codes)
        self.portals[bound.portal_name] = portal
        self.stream.write(messages.make_bind_complete())

    @_handles(messages.DESCRIBE)
    async def _describe(self, payload: bytes) -> None:
        parsed = messages.parse_describe(payload)
        formats: t.Sequence[int] = ()
        if parsed.kind == messages.TARGET_STATEMENT:
            description = await self._statement(parsed.name).describe_fully()
            oids = description.param_oids
            self.stream.write(_messages.parameter_description(oids))
        else:
            portal = self._portal(parsed.name)
            description = await portal.statement.describe_fully()
            formats = portal.result_formats
        if not description.columns:
            self.stream.write(messages.make_no_data())
            return
        formats = expand_formats(formats, len(description.columns))
        self.stream.write(_messages.row_description(description.columns, formats))

    @_handles(messages.EXECUTE)
    async def _execute(self, payload: bytes) -> None:
        parsed = messages.parse_execute(payload)
        portal = self._portal(parsed.portal_name)
        alone = await self._next_is_sync()
        answer = _AnswerWriter(self.stream, portal.result_formats, describe=False)
        max_rows = max(0, parsed.max_rows)
        completion = await self.session.execute(portal, max_rows, alone, answer)
        self._complete(completion)

    async def _next_is_sync(self) -> bool:
        # A caller cannot count on an answer before it sends Sync or Flush.
        if self._pushed is None:
            self._pushed = await self.stream.read_message()
        return self._pushed[0] == messages.SYNC

    @_handles(messages.CLOSE)
    async def _close(self, payload: bytes) -> None:
        parsed = messages.parse_close(payload)
        if parsed.kind == messages.TARGET_STATEMENT:
            self.statements.pop(parsed.name, None)
        else:
            portal = self.portals.pop(parsed.name, None)
            if portal is not None:
                portal.discard()
        self.stream.write(messages.make_close_complete())

    @_handles(messages.SYNC)
    async def _sync(self, payload: bytes) -> None:
        await self.session.sync(self._ignore_until_sync)
        if self.session.status() == b"I":
            self._drop_portals()

    def _drop_portals(self) -> None:
        for portal in self.portals.values():
            portal.discard()
        self.portals.clear()

    @_handles(messages.FLUSH)
    async def _flush(self, payload: bytes) -> None:
        await self.stream.drain()

    def _statement(self, name: str) -> CallerStatement:
        statement = self.statements.get(name)
        if statement is None:
            text = f'prepared statement "{name}" does not exist'
            raise PgError(_NO_STATEMENT, text)
        return statement

    def _portal(self, name: str) -> CallerPortal:
        portal = self.portals.get(name)
        if portal is None:
            raise PgError(_NO_PORTAL, f'portal "{name}" does not exist')
        return portal


def _fields_of(exc: Exception) -> _errors.Fields:
    if isinstance(exc, Refusal):
        return _errors.refusal_fields(exc)
    if isinstance(exc, asyncpg.PostgresError):
        return _errors.target_fields(exc)
    if isinstance(exc, PgError):
        return {**_errors.plain_fields(exc.sqlstate, exc.message), **exc.fields}
    if isinstance(exc, UnicodeDecodeError):
        return _errors.plain_fields("22021", "the message is not UTF-8")
    if isinstance(exc, struct.error | IndexError):
        return _errors.plain_fields(_PROTOCOL_VIOLATION, "the message is malformed")
    eliot.write_traceback()
    return _errors.plain_fields("XX000", f"internal error: {type(exc).__name__}")
