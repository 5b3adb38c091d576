"""Handle the messages of the simple and the extended query protocol."""

import typing as t

from pg_mimic import messages
from pg_mimic.errors import PgError

from rosemaryridge.wire import _messages
from rosemaryridge.wire._answer_writer import AnswerWriter
from rosemaryridge.wire._caller_session import CallerPortal
from rosemaryridge.wire._caller_session import CallerStatement
from rosemaryridge.wire._caller_session import Completion
from rosemaryridge.wire._columns import Parameters
from rosemaryridge.wire._columns import expand_formats

if t.TYPE_CHECKING:
    from rosemaryridge.wire._caller_connection import CallerConnection

_UNDEFINED_STATEMENT = "26000"
_UNDEFINED_PORTAL = "34000"
_DUPLICATE_STATEMENT = "42P05"

Handler = t.Callable[["CallerConnection", bytes], t.Awaitable[None]]
HANDLERS: dict[bytes, Handler] = {}


def handles(tag: bytes) -> t.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of a message tag."""

    def register(handler: Handler) -> Handler:
        HANDLERS[tag] = handler
        return handler

    return register


def _write_completion(conn: "CallerConnection", completion: Completion) -> None:
    if completion.suspended:
        conn.stream.write(messages.make_portal_suspended())
    elif completion.tag:
        conn.stream.write(messages.make_command_complete(completion.tag))
    else:
        conn.stream.write(messages.make_empty_query_response())


@handles(messages.QUERY)
async def _query(conn: "CallerConnection", payload: bytes) -> None:
    queries = conn.session.split(messages.parse_query(payload))
    if not queries:
        conn.stream.write(messages.make_empty_query_response())
        return
    failed = True
    try:
        for query in queries:
            await _run_simple(conn, query, len(queries) == 1)
        failed = False
    finally:
        await conn.session.sync(failed)


async def _run_simple(conn: "CallerConnection", query: t.Any, alone: bool) -> None:
    statement = CallerStatement(conn.session, query)
    portal = CallerPortal(statement, Parameters(), ())
    answer = AnswerWriter(conn.stream, (), describe=True)
    _write_completion(conn, await conn.session.execute(portal, 0, alone, answer))


@handles(messages.PARSE)
async def _parse(conn: "CallerConnection", payload: bytes) -> None:
    parsed = messages.parse_parse(payload)
    if parsed.statement_name and parsed.statement_name in conn.statements:
        text = f'prepared statement "{parsed.statement_name}" already exists'
        raise PgError(_DUPLICATE_STATEMENT, text)
    oids = tuple(oid & 0xFFFFFFFF for oid in parsed.param_oids)
    statement = await conn.session.prepare(parsed.sql, oids)
    conn.statements[parsed.statement_name] = statement
    conn.stream.write(messages.make_parse_complete())


@handles(messages.BIND)
async def _bind(conn: "CallerConnection", payload: bytes) -> None:
    bound = messages.parse_bind(payload)
    statement = _get_statement(conn, bound.statement_name)
    formats = expand_formats(bound.param_format_codes, len(bound.params))
    params = Parameters(tuple(bound.params), formats)
    old = conn.portals.pop(bound.portal_name, None)
    if old is not None:
        old.discard()
    portal = CallerPortal(statement, params, bound.result_format_codes)
    conn.portals[bound.portal_name] = portal
    conn.stream.write(messages.make_bind_complete())


@handles(messages.DESCRIBE)
async def _describe(conn: "CallerConnection", payload: bytes) -> None:
    parsed = messages.parse_describe(payload)
    formats: t.Sequence[int] = ()
    if parsed.kind == messages.TARGET_STATEMENT:
        description = await _get_statement(conn, parsed.name).describe_fully()
        oids = description.param_oids
        conn.stream.write(_messages.parameter_description(oids))
    else:
        portal = _get_portal(conn, parsed.name)
        description = await portal.statement.describe_fully()
        formats = portal.result_formats
    if not description.columns:
        conn.stream.write(messages.make_no_data())
        return
    formats = expand_formats(formats, len(description.columns))
    conn.stream.write(_messages.row_description(description.columns, formats))


@handles(messages.EXECUTE)
async def _execute(conn: "CallerConnection", payload: bytes) -> None:
    parsed = messages.parse_execute(payload)
    portal = _get_portal(conn, parsed.portal_name)
    alone = await _next_is_sync(conn)
    answer = AnswerWriter(conn.stream, portal.result_formats, describe=False)
    max_rows = max(0, parsed.max_rows)
    completion = await conn.session.execute(portal, max_rows, alone, answer)
    _write_completion(conn, completion)


async def _next_is_sync(conn: "CallerConnection") -> bool:
    # Waiting for the next message cannot deadlock: the protocol promises no answer
    # before the caller sends Sync or Flush.
    if conn.peeked is None:
        conn.peeked = await conn.stream.read_message()
    return conn.peeked[0] == messages.SYNC


@handles(messages.CLOSE)
async def _close(conn: "CallerConnection", payload: bytes) -> None:
    parsed = messages.parse_close(payload)
    if parsed.kind == messages.TARGET_STATEMENT:
        conn.statements.pop(parsed.name, None)
    else:
        portal = conn.portals.pop(parsed.name, None)
        if portal is not None:
            portal.discard()
    conn.stream.write(messages.make_close_complete())


@handles(messages.SYNC)
async def _sync(conn: "CallerConnection", payload: bytes) -> None:
    await conn.session.sync(conn.skipping_until_sync)
    if conn.session.status() == b"I":
        conn.discard_portals()


@handles(messages.FLUSH)
async def _flush(conn: "CallerConnection", payload: bytes) -> None:
    await conn.stream.drain()


def _get_statement(conn: "CallerConnection", name: str) -> CallerStatement:
    statement = conn.statements.get(name)
    if statement is None:
        text = f'prepared statement "{name}" does not exist'
        raise PgError(_UNDEFINED_STATEMENT, text)
    return statement


def _get_portal(conn: "CallerConnection", name: str) -> CallerPortal:
    portal = conn.portals.get(name)
    if portal is None:
        raise PgError(_UNDEFINED_PORTAL, f'portal "{name}" does not exist')
    return portal
