"""Fetch the types of a statement's parameters and columns from a target."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._query import Query
from rosemaryridge.request import PrimaryReplaced
from rosemaryridge.wire import Description
from rosemaryridge.wire import formats_of

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._session import ProxySession

_MAX_ATTEMPTS = 3


async def describe(session: "ProxySession", query: Query) -> Description:
    """Return the description of a statement, from the cache if possible.

    Raise Refusal, or the asyncpg.PostgresError that the target answered.
    """
    options = session.effective_options(query)
    transaction = session.transaction
    if transaction is not None:
        return await transaction.describe(query.text, options)
    key = description_key(session, query)
    now = session.ctx.timer.now()
    description = session.ctx.descriptions.get(key, now)
    if description is None:
        description = await _fetch(session, query, options)
        session.ctx.descriptions.put(key, description, now)
    return description


def description_key(session: "ProxySession", query: Query) -> tuple:
    """Return the cache key of a statement's description."""
    return (session.state.service, session.policy.service.revision, query.text)


async def _fetch(
    session: "ProxySession", query: Query, options: EffectiveOptions
) -> Description:
    try:
        async with asyncio.timeout_at(options.deadline):
            for _ in range(_MAX_ATTEMPTS):
                description = await _try_fetch(session, query, options)
                if description is not None:
                    return description
    except TimeoutError:
        raise Refusal(codes.limits.DEADLINE_IN_QUEUE) from None
    raise Refusal(codes.request.CONNECTION_LOST_NOT_SENT)


async def _try_fetch(
    session: "ProxySession", query: Query, options: EffectiveOptions
) -> Description | None:
    """Return the description, or None if the connection was lost."""
    write = not session.is_read(query)
    try:
        placement = await session.selector.acquire(write, options)
    except CONNECTION_ERRORS:
        return None
    ok = False
    try:
        prepared = await placement.connection.prepare(query.text, formats_of((), ()))
        ok = True
    except asyncpg.PostgresError as exc:
        if isinstance(placement.failure_event(exc), PrimaryReplaced):
            return None
        ok = True
        raise
    except CONNECTION_ERRORS:
        return None
    finally:
        reusable = ok and not placement.connection.in_transaction()
        session.selector.release(placement, ok, reusable)
    return prepared.description
