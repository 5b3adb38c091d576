"""Handle the PostgreSQL protocol of one caller's connection."""

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

_EXECUTION_TAGS = (messages.QUERY, messages.EXECUTE)
_AWAITED_EXECUTE_GRACE_S = 1.0


class CallerConnection(Connection):
    """Read and dispatch the messages of one caller."""

    session: CallerSession

    def __init__(self, *args: t.Any, **kwargs: t.Any):
        super().__init__(*args, **kwargs)
        self.skipping_until_sync = False
        self.peeked: tuple[bytes, bytes] | None = None
        self._idle = False
        self._close_requested = False
        self._awaits_execute = False

    def request_cancel(self) -> None:
        """Cancel the running statement, if any; later statements are unaffected."""
        self.session.request_cancel()

    def close_when_idle(self) -> None:
        """Close the connection once no transaction is open.

        An idle caller is disconnected at once. A caller that has sent Parse but not
        yet Execute is about to run a statement and gets a grace period to send it.
        """
        self._close_requested = True
        if not self._can_close():
            return
        if self._awaits_execute:
            loop = asyncio.get_running_loop()
            loop.call_later(_AWAITED_EXECUTE_GRACE_S, self._close_if_still_idle)
            return
        self._send_shutdown_and_close()

    def _can_close(self) -> bool:
        waiting = self.stream.has_unread()
        return self._idle and not waiting and self.session.status() == b"I"

    def _close_if_still_idle(self) -> None:
        if self._can_close():
            self._send_shutdown_and_close()

    def send_notice(self, fields: _errors.Fields) -> None:
        """Forward a notice to the caller."""
        self.stream.write(messages.make_notice_response(fields))

    def send_parameter(self, name: str, value: str) -> None:
        """Send ParameterStatus with a parameter's new value."""
        self.stream.write(messages.make_parameter_status(name, value))

    def _send_shutdown_and_close(self) -> None:
        refusal = Refusal(codes.caller.SHUTTING_DOWN)
        self.session.refused(refusal)
        self._write_error(_errors.refusal_fields(refusal, "FATAL"))
        self.stream.flush()
        self.stream.writer.close()

    async def refuse(self, refusal: Refusal) -> None:
        """Reject the login with a FATAL error."""
        self._write_error(_errors.refusal_fields(refusal, "FATAL"))
        await self.stream.drain()

    async def serve(self) -> None:
        """Serve an authenticated caller until its connection closes."""
        try:
            self.stream.write(messages.make_authentication_ok())
            await self._send_startup_completion()
            await self.session.init(self)
            self._idle = True
            await self._command_loop()
        except ConnectionClosed:
            pass
        finally:
            self.discard_portals()
            await self.session.close()

    async def _command_loop(self) -> None:
        try:
            while await self._serve_message():
                pass
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            raise ConnectionClosed from exc

    async def _serve_message(self) -> bool:
        tag, payload = await self._next_message()
        if tag == messages.TERMINATE:
            return False
        self._idle = False
        if tag == OVERSIZED:
            tag = payload
            self._handle_failure(Refusal(codes.caller.STATEMENT_TOO_LARGE))
        elif not self.skipping_until_sync or tag == messages.SYNC:
            await self._dispatch(tag, payload)
        if tag in _EXECUTION_TAGS:
            self._awaits_execute = False
        elif tag == messages.PARSE:
            self._awaits_execute = True
        if tag in (messages.QUERY, messages.SYNC):
            return await self._send_ready()
        if tag == messages.FLUSH:
            await self.stream.drain()
        return True

    async def _next_message(self) -> tuple[bytes, bytes]:
        peeked, self.peeked = self.peeked, None
        return peeked or await self.stream.read_message()

    async def _send_ready(self) -> bool:
        self.skipping_until_sync = False
        for name, value in self.session.parameters().items():
            self.send_parameter(name, value)
        status = self.session.status()
        self.stream.write(messages.make_ready_for_query(status))
        await self.stream.drain()
        self._idle = True
        if self._close_requested:
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
            self._handle_failure(exc)

    def _handle_failure(self, exc: Exception) -> None:
        if isinstance(exc, Refusal):
            self.session.refused(exc)
        self._write_error(_errors.error_fields(exc))
        self.session.fail()
        self.skipping_until_sync = True

    def _write_error(self, fields: _errors.Fields) -> None:
        self.stream.write(messages.make_error_response(fields))

    def discard_portals(self) -> None:
        """Close every portal and discard its unread rows."""
        for portal in self.portals.values():
            portal.discard()
        self.portals.clear()
