"""Commit a transaction and learn its outcome."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._placing import Placer
from rosemaryridge.proxy._running import Running
from rosemaryridge.request import Answered
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Effect
from rosemaryridge.request import Finish
from rosemaryridge.request import Lost
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import Sent


class Commit:
    """Send one COMMIT, give its connection back and wait for a majority."""

    def __init__(self, placer: Placer, placement: Placement, terms: Terms):
        self.outcome = Outcome.UNKNOWN
        self._request = Request(RequestKind.COMMIT)
        self.running = Running(self._request)
        self._placer = placer
        self._placement = placement
        self._terms = terms
        self._tag = ""
        self._error: asyncpg.PostgresError | None = None

    async def run(self, text: str) -> str:
        """Return the tag; raise the target's error or Refusal."""
        try:
            async with asyncio.timeout_at(self._terms.deadline):
                effect = await self._send(text)
                if isinstance(effect, Confirm):
                    effect = self._request.on_event(await self._confirm())
        except TimeoutError:
            effect = self._request.on_event(DeadlinePassed())
        return self._conclude(t.cast(Finish, effect))

    def _conclude(self, finish: Finish) -> str:
        rolled_back = self._tag == "ROLLBACK"
        self.outcome = Outcome.NOT_RUN if rolled_back else finish.outcome
        if finish.code is not None:
            raise Refusal(finish.code)
        if self._error is not None:
            raise self._error
        return self._tag

    async def _send(self, text: str) -> Effect:
        placement, connection = self._placement, self._placement.connection
        answered = False
        try:
            if connection.is_closed():
                return self._request.on_event(Lost())
            self._request.on_event(Sent(placement.target, placement.primary))
            self.running.connection = connection
            self._tag = await connection.command(text)
            answered = True
            return self._request.on_event(Answered())
        except asyncpg.PostgresError as exc:
            answered = not placement.replaced
            self._error = exc
            return self._request.on_event(placement.failure(exc))
        except CONNECTION_ERRORS as exc:
            return self._request.on_event(placement.failure(exc))
        finally:
            self.running.connection = None
            reusable = answered and not connection.in_transaction()
            self._placer.done(placement, ok=answered, reusable=reusable)

    async def _confirm(self) -> Confirmed | ConfirmFailed:
        placement = self._placement
        if self._tag == "ROLLBACK":
            return Confirmed()
        if not placement.primary:
            self._placer.read_from_replica(placement)
            return Confirmed()
        try:
            await self._placer.confirm(placement, self._terms)
        except Refusal as exc:
            return ConfirmFailed(exc.code)
        return Confirmed()
