"""Learn the types of a statement's parameters and columns from a target."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._query import Query
from rosemaryridge.request import Replaced
from rosemaryridge.wire import Description
from rosemaryridge.wire import formats_of

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._session import ProxySession

_ATTEMPTS = 3


async def describe(session: "ProxySession", query: Query) -> Description:
    """Return a statement's types; raise Refusal or the target's error."""
    terms = session.terms(query)
    transaction = session.transaction
    if transaction is not None:
        return await transaction.describe(query.text, terms)
    key = description_key(session, query)
    now = session.parts.timer.now()
    known = session.parts.descriptions.get(key, now)
    if known is None:
        known = await _ask(session, query, terms)
        session.parts.descriptions.put(key, known, now)
    return known


def description_key(session: "ProxySession", query: Query) -> tuple:
    """Return what a statement's types are remembered by."""
    return (session.state.service, session.policy.service.revision, query.text)


async def _ask(session: "ProxySession", query: Query, terms: Terms) -> Description:
    try:
        async with asyncio.timeout_at(terms.deadline):
            for _ in range(_ATTEMPTS):
                found = await _ask_once(session, query, terms)
                if found is not None:
                    return found
    except TimeoutError:
        raise Refusal(codes.limits.DEADLINE_IN_QUEUE) from None
    raise Refusal(codes.request.CONNECTION_LOST_NOT_SENT)


async def _ask_once(
    session: "ProxySession", query: Query, terms: Terms
) -> Description | None:
    """Return the types, None where the connection was lost."""
    write = not session.is_read(query)
    try:
        placement = await session.placer.place(write, terms)
    except CONNECTION_ERRORS:
        return None
    ok = False
    try:
        prepared = await placement.connection.prepare(query.text, formats_of((), ()))
        ok = True
    except asyncpg.PostgresError as exc:
        if isinstance(placement.failure(exc), Replaced):
            return None
        ok = True
        raise
    except CONNECTION_ERRORS:
        return None
    finally:
        reusable = ok and not placement.connection.in_transaction()
        session.placer.done(placement, ok, reusable)
    return prepared.description
