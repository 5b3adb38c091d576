"""Commit a transaction and determine its outcome."""

import asyncio
import typing as t

import asyncpg

from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.proxy._running import RunningRequest
from rosemaryridge.proxy._target_selector import TargetSelector
from rosemaryridge.request import Answered
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Effect
from rosemaryridge.request import Finish
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import Sent


class Commit:
    """Send one COMMIT, release its connection and wait for a majority.

    COMMIT is never retried: after a lost connection its outcome is unknown.
    """

    def __init__(
        self,
        selector: TargetSelector,
        placement: Placement,
        options: EffectiveOptions,
        variables: t.Mapping[str, str | None],
    ):
        self.outcome = Outcome.UNKNOWN
        self._request = Request(RequestKind.COMMIT)
        self.running = RunningRequest(self._request)
        self._selector = selector
        self._placement = placement
        self._options = options
        # What the transaction has set on its connection; None for RESET.
        self._variables = variables
        self._tag = ""
        self._error: asyncpg.PostgresError | None = None

    async def run(self, text: str) -> str:
        """Send `text` and return its command tag.

        Raise Refusal, or the asyncpg.PostgresError that the target answered.
        """
        try:
            async with asyncio.timeout_at(self._options.deadline):
                effect = await self._send(text)
                if isinstance(effect, Confirm):
                    effect = self._request.on_event(await self._confirm())
        except TimeoutError:
            effect = self._request.on_event(DeadlinePassed())
        return self._complete(t.cast(Finish, effect))

    def _complete(self, finish: Finish) -> str:
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
                return self._request.on_event(ConnectionLost())
            self._request.on_event(Sent(placement.target, placement.primary))
            self.running.connection = connection
            self._tag = await connection.command(text)
            if self._tag == "COMMIT":
                connection.record_variables(self._variables)
            answered = True
            return self._request.on_event(Answered())
        except asyncpg.PostgresError as exc:
            answered = not placement.replaced
            self._error = exc
            return self._request.on_event(placement.failure_event(exc))
        except CONNECTION_ERRORS as exc:
            return self._request.on_event(placement.failure_event(exc))
        finally:
            self.running.connection = None
            reusable = answered and not connection.in_transaction()
            self._selector.release(placement, ok=answered, reusable=reusable)

    async def _confirm(self) -> Confirmed | ConfirmFailed:
        placement = self._placement
        if self._tag == "ROLLBACK":
            return Confirmed()
        if not placement.primary:
            self._selector.record_replica_read(placement)
            return Confirmed()
        try:
            await self._selector.confirm(placement, self._options)
        except Refusal as exc:
            return ConfirmFailed(exc.code)
        return Confirmed()
