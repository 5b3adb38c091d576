"""Serve the PostgreSQL protocol to one caller."""

import asyncio
import typing as t

from pg_mimic import messages
from pg_mimic.connection import Connection
from pg_mimic.errors import PgError
from pg_mimic.stream import ConnectionClosed

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire import _errors
from rosemaryridge.wire._caller_session import CallerSession
from rosemaryridge.wire._caller_stream import OVERSIZED
from rosemaryridge.wire._statement_messages import HANDLERS

_PROTOCOL_VIOLATION = "08P01"

_RUNS = (messages.QUERY, messages.EXECUTE)
_ANNOUNCED_GRACE_S = 1.0


class CallerConnection(Connection):
    """Run the command loop of one caller's connection."""

    session: CallerSession

    def __init__(self, *args: t.Any, **kwargs: t.Any):
        super().__init__(*args, **kwargs)
        self.skipping = False
        self.pushed: tuple[bytes, bytes] | None = None
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
        self.session.refused(refusal)
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
            self.drop_portals()
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
        elif not self.skipping or tag == messages.SYNC:
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
        pushed, self.pushed = self.pushed, None
        return pushed or await self.stream.read_message()

    async def _ready(self) -> bool:
        self.skipping = False
        for name, value in self.session.parameters().items():
            self.send_parameter(name, value)
        status = self.session.status()
        self.stream.write(messages.make_ready_for_query(status))
        await self.stream.drain()
        self._idle = True
        if self._closing:
            self.close_when_idle()
        return True

    async def _dispatch(self, tag: bytes, payload: bytes) -> None:
        try:
            handler = HANDLERS.get(tag)
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
        self._error(_errors.fields_of(exc))
        self.session.fail()
        self.skipping = True

    def _error(self, fields: _errors.Fields) -> None:
        self.stream.write(messages.make_error_response(fields))

    def drop_portals(self) -> None:
        """Let go of every answer that is not read to its end."""
        for portal in self.portals.values():
            portal.discard()
        self.portals.clear()
