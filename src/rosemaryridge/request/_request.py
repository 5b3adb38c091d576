"""Decide the next step and the outcome of a request."""

import enum
import typing as t

from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.model import Outcome
from rosemaryridge.request import _events as events
from rosemaryridge.request._events import Effect
from rosemaryridge.request._events import Event
from rosemaryridge.request._events import RequestKind

_READ_ONLY_TRANSACTION = "25006"
_QUERY_CANCELED = "57014"
# The target closed the connection or reported that the outcome is unknown.
_CONNECTION_LOST_PREFIXES = ("08", "57P0", "40003")
_RECOVERY_CONFLICTS = frozenset(("40001", "40P01"))
_FAILURE_EVENTS = (events.Failed, events.ConnectionLost, events.Refused)


class Stage(enum.IntEnum):
    """Order the stages of a request; a failure's outcome depends on its stage."""

    WAITING = 0
    SENT = 1
    DELIVERING = 2
    ANSWERED = 3
    FINISHED = 4


Handler = t.Callable[["Request", t.Any], Effect]
_HANDLERS: dict[type, Handler] = {}


def _handles(kind: type) -> t.Callable[[Handler], Handler]:
    """Register the handler of an event type."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Request:
    """Track the kind, the attempts and the outcome of a request.

    A request is retried only if the last attempt certainly did not run or if running
    twice is harmless.
    """

    __slots__ = (
        "_complete",
        "_idempotent",
        "_kind",
        "_may_have_run",
        "attempts",
        "cancelled",
        "on_primary",
        "outcome",
        "stage",
        "target",
    )

    def __init__(
        self, kind: RequestKind, idempotent: bool = False, retry_unknown: bool = False
    ):
        self._kind = kind
        self._idempotent = idempotent or retry_unknown
        self._may_have_run = False
        self._complete = False
        self.stage = Stage.WAITING
        self.attempts = 0
        self.cancelled = False
        self.target = ""
        self.on_primary = False
        self.outcome: Outcome | None = None

    def on_event(self, event: Event) -> Effect:
        """Handle an event and return its effect."""
        if self.stage is Stage.FINISHED:
            return events.Continue()
        effect = self._handle(event)
        if isinstance(effect, events.Finish):
            self.stage = Stage.FINISHED
            self.outcome = effect.outcome
        return effect

    def _handle(self, event: Event) -> Effect:
        is_answered_non_read = self.stage is Stage.ANSWERED and not self._is_read
        if is_answered_non_read and isinstance(event, _FAILURE_EVENTS):
            # The target has committed; a later failure does not undo the write.
            return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        return _HANDLERS[type(event)](self, event)

    @property
    def _is_read(self) -> bool:
        return self._kind is RequestKind.READ

    @property
    def _may_run_again(self) -> bool:
        return self._idempotent or not self._may_have_run

    @_handles(events.Sent)
    def _on_sent(self, event: events.Sent) -> Effect:
        # An answered attempt has run, whatever the outcome of the next attempt.
        self._may_have_run |= self.stage is Stage.ANSWERED and not self._is_read
        self.stage = Stage.SENT
        self.attempts += 1
        self.target = event.target
        self.on_primary = event.primary
        return events.Continue()

    @_handles(events.Delivered)
    def _on_delivered(self, event: events.Delivered) -> Effect:
        if self._is_read and self.stage is Stage.ANSWERED:
            self.stage = Stage.DELIVERING
        return events.Continue()

    @_handles(events.Answered)
    def _on_answered(self, event: events.Answered) -> Effect:
        self._complete = event.complete
        if self.stage is Stage.DELIVERING:
            return self._finish_if_complete()
        self.stage = Stage.ANSWERED
        is_replica_read = self._is_read and not self.on_primary
        if is_replica_read or self._kind is RequestKind.IN_TRANSACTION:
            return self._finish_if_complete()
        return events.Confirm()

    def _finish_if_complete(self) -> Effect:
        return self._finish(Outcome.DONE) if self._complete else events.Continue()

    @_handles(events.Confirmed)
    def _on_confirmed(self, event: events.Confirmed) -> Effect:
        if self.stage is not Stage.ANSWERED:
            return events.Continue()
        return self._finish_if_complete()

    @_handles(events.ConfirmFailed)
    def _on_confirm_failed(self, event: events.ConfirmFailed) -> Effect:
        if not self._is_read:
            return self._resolve_unconfirmed_write(event.code)
        return self._retry("unconfirmed_read", codes.request.READ_FAILED)

    def _resolve_unconfirmed_write(self, code: Code) -> Effect:
        self._may_have_run = True
        is_replaced = code is codes.group.PRIMARY_REPLACED
        if is_replaced and self._idempotent and self._kind is RequestKind.WRITE:
            return self._retry("primary_replaced", code)
        return self._finish(Outcome.UNKNOWN, code)

    @_handles(events.Failed)
    def _on_failed(self, event: events.Failed) -> Effect:
        if event.sqlstate.startswith(_CONNECTION_LOST_PREFIXES):
            return self._on_connection_lost(events.ConnectionLost())
        if self.cancelled and event.sqlstate == _QUERY_CANCELED:
            return self._finish_with_target_error()
        is_fenced = event.sqlstate == _READ_ONLY_TRANSACTION
        if self._kind is RequestKind.WRITE and is_fenced and self._may_run_again:
            return self._retry("fenced", codes.group.FENCED)
        if self._is_read and event.sqlstate in _RECOVERY_CONFLICTS:
            return self._retry("recovery_conflict", None)
        return self._finish_with_target_error()

    def _finish_with_target_error(self) -> Effect:
        """Finish with the target's error, which rolled back this attempt."""
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return self._finish(outcome)

    @_handles(events.ConnectionLost)
    def _on_connection_lost(self, event: events.ConnectionLost) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        if self.stage is Stage.WAITING:
            return self._lost_before_sent()
        if self._is_read:
            return self._retry("read_lost", codes.request.READ_FAILED)
        self._may_have_run = True
        if self._idempotent and self._kind is RequestKind.WRITE:
            return self._retry("idempotent_lost", codes.request.CONNECTION_LOST)
        return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)

    @_handles(events.PrimaryReplaced)
    def _on_primary_replaced(self, event: events.PrimaryReplaced) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION or self.stage is Stage.WAITING:
            return self._on_connection_lost(events.ConnectionLost())
        if self._is_read:
            return self._retry("primary_replaced", codes.request.READ_FAILED)
        return self._resolve_unconfirmed_write(codes.group.PRIMARY_REPLACED)

    def _lost_before_sent(self) -> Effect:
        if self._kind is RequestKind.COMMIT:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        return self._retry("not_sent", codes.request.CONNECTION_LOST_NOT_SENT)

    def _retry(self, reason: str, code: Code | None) -> Effect:
        if self.stage is Stage.DELIVERING:
            return self._finish(Outcome.NOT_RUN, codes.request.READ_FAILED)
        if self.cancelled:
            return self._finish_cancelled()
        self.stage = Stage.WAITING
        return events.Retry(reason, code or codes.request.READ_FAILED)

    @_handles(events.Refused)
    def _on_refused(self, event: events.Refused) -> Effect:
        was_sent = self.stage is not Stage.WAITING and not self._is_read
        if self._may_have_run or was_sent:
            return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        return events.Finish(event.code.outcome, event.code, event.retry_after_s)

    @_handles(events.DeadlinePassed)
    def _on_deadline_passed(self, event: events.DeadlinePassed) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        if self.stage is Stage.WAITING and not self._may_have_run:
            return self._finish(Outcome.NOT_RUN, codes.limits.DEADLINE_IN_QUEUE)
        if self._is_read:
            return self._finish(Outcome.NOT_RUN, codes.request.READ_DEADLINE)
        if self.stage is Stage.ANSWERED:
            return self._finish(Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)
        return self._finish(Outcome.UNKNOWN, codes.request.DEADLINE_PASSED)

    @_handles(events.CancelRequested)
    def _on_cancel_requested(self, event: events.CancelRequested) -> Effect:
        self.cancelled = True
        if self.stage in (Stage.SENT, Stage.DELIVERING):
            return events.CancelTarget()
        if self.stage is Stage.WAITING:
            return self._finish_cancelled()
        return events.Continue()

    def _finish_cancelled(self) -> Effect:
        if self._may_have_run:
            return self._finish(Outcome.UNKNOWN, codes.caller.CANCELED)
        return self._finish(Outcome.NOT_RUN, codes.request.CANCELED_NOT_SENT)

    def _finish(self, outcome: Outcome, code: Code | None = None) -> Effect:
        return events.Finish(outcome, code)
