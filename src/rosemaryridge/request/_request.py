"""Decide how one request goes on and how it ended."""

import enum
import typing as t

from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.model import Outcome
from rosemaryridge.request import _events as events
from rosemaryridge.request._events import Effect
from rosemaryridge.request._events import Event
from rosemaryridge.request._events import RequestKind

_READ_ONLY_TARGET = "25006"
_CANCELED = "57014"
# The target went away, or says itself that the outcome is not known.
_CONNECTION_CLASSES = ("08", "57P0", "40003")
_RECOVERY_CONFLICTS = frozenset(("40001", "40P01"))
_FAILURES = (events.Failed, events.Lost, events.Refused)


class Stage(enum.IntEnum):
    """Order the cut points of a request."""

    WAITING = 0
    SENT = 1
    DELIVERING = 2
    ANSWERED = 3
    FINISHED = 4


Rule = t.Callable[["Request", t.Any], Effect]
_RULES: dict[type, Rule] = {}


def _on(kind: type) -> t.Callable[[Rule], Rule]:
    """Register what an event leads to."""

    def register(rule: Rule) -> Rule:
        _RULES[kind] = rule
        return rule

    return register


class Request:
    """Be one request: its class, its attempts and its outcome.

    A retry follows only where the last attempt is proven not to have run, or where
    running twice does no harm.
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
        """Take in an event and return what follows."""
        if self.stage is Stage.FINISHED:
            return events.Continue()
        effect = self._decide(event)
        if isinstance(effect, events.Finish):
            self.stage = Stage.FINISHED
            self.outcome = effect.outcome
        return effect

    def _decide(self, event: Event) -> Effect:
        answered = self.stage is Stage.ANSWERED and not self._is_read
        if answered and isinstance(event, _FAILURES):
            # The target has committed; no later failure takes that back.
            return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        return _RULES[type(event)](self, event)

    @property
    def _is_read(self) -> bool:
        return self._kind is RequestKind.READ

    @property
    def _may_run_again(self) -> bool:
        return self._idempotent or not self._may_have_run

    @_on(events.Sent)
    def _sent(self, event: events.Sent) -> Effect:
        # An attempt that was answered has run, whatever the next one meets.
        self._may_have_run |= self.stage is Stage.ANSWERED and not self._is_read
        self.stage = Stage.SENT
        self.attempts += 1
        self.target = event.target
        self.on_primary = event.primary
        return events.Continue()

    @_on(events.Delivered)
    def _delivered(self, event: events.Delivered) -> Effect:
        if self._is_read and self.stage is Stage.ANSWERED:
            self.stage = Stage.DELIVERING
        return events.Continue()

    @_on(events.Answered)
    def _answered(self, event: events.Answered) -> Effect:
        self._complete = event.complete
        if self.stage is Stage.DELIVERING:
            return self._finish_if_complete()
        self.stage = Stage.ANSWERED
        replica_read = self._is_read and not self.on_primary
        if replica_read or self._kind is RequestKind.IN_TRANSACTION:
            return self._finish_if_complete()
        return events.Confirm()

    def _finish_if_complete(self) -> Effect:
        return self._finish(Outcome.DONE) if self._complete else events.Continue()

    @_on(events.Confirmed)
    def _confirmed(self, event: events.Confirmed) -> Effect:
        if self.stage is not Stage.ANSWERED:
            return events.Continue()
        return self._finish_if_complete()

    @_on(events.ConfirmFailed)
    def _confirm_failed(self, event: events.ConfirmFailed) -> Effect:
        if not self._is_read:
            return self._unconfirmed_write(event.code)
        return self._again("unconfirmed_read", codes.request.READ_FAILED)

    def _unconfirmed_write(self, code: Code) -> Effect:
        self._may_have_run = True
        replaced = code is codes.group.PRIMARY_REPLACED
        if replaced and self._idempotent and self._kind is RequestKind.WRITE:
            return self._again("primary_replaced", code)
        return self._finish(Outcome.UNKNOWN, code)

    @_on(events.Failed)
    def _failed(self, event: events.Failed) -> Effect:
        if event.sqlstate.startswith(_CONNECTION_CLASSES):
            return self._lost(events.Lost())
        if self.cancelled and event.sqlstate == _CANCELED:
            return self._not_run()
        fenced = event.sqlstate == _READ_ONLY_TARGET
        if self._kind is RequestKind.WRITE and fenced and self._may_run_again:
            return self._again("fenced", codes.group.FENCED)
        if self._is_read and event.sqlstate in _RECOVERY_CONFLICTS:
            return self._again("recovery_conflict", None)
        return self._not_run()

    def _not_run(self) -> Effect:
        """End with the target's own error; it took back what this attempt did."""
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return self._finish(outcome)

    @_on(events.Lost)
    def _lost(self, event: events.Lost) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        if self.stage is Stage.WAITING:
            return self._lost_before_sent()
        if self._is_read:
            return self._again("read_lost", codes.request.READ_FAILED)
        self._may_have_run = True
        if self._idempotent and self._kind is RequestKind.WRITE:
            return self._again("idempotent_lost", codes.request.CONNECTION_LOST)
        return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)

    @_on(events.Replaced)
    def _replaced(self, event: events.Replaced) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION or self.stage is Stage.WAITING:
            return self._lost(events.Lost())
        if self._is_read:
            return self._again("primary_replaced", codes.request.READ_FAILED)
        return self._unconfirmed_write(codes.group.PRIMARY_REPLACED)

    def _lost_before_sent(self) -> Effect:
        if self._kind is RequestKind.COMMIT:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        return self._again("not_sent", codes.request.CONNECTION_LOST_NOT_SENT)

    def _again(self, reason: str, code: Code | None) -> Effect:
        if self.stage is Stage.DELIVERING:
            return self._finish(Outcome.NOT_RUN, codes.request.READ_FAILED)
        if self.cancelled:
            return self._cancelled()
        self.stage = Stage.WAITING
        return events.Retry(reason, code or codes.request.READ_FAILED)

    @_on(events.Refused)
    def _refused(self, event: events.Refused) -> Effect:
        sent = self.stage is not Stage.WAITING and not self._is_read
        if self._may_have_run or sent:
            return self._finish(Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        return events.Finish(event.code.outcome, event.code, event.retry_after_s)

    @_on(events.DeadlinePassed)
    def _deadline(self, event: events.DeadlinePassed) -> Effect:
        if self._kind is RequestKind.IN_TRANSACTION:
            return self._finish(Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        if self.stage is Stage.WAITING and not self._may_have_run:
            return self._finish(Outcome.NOT_RUN, codes.limits.DEADLINE_IN_QUEUE)
        if self._is_read:
            return self._finish(Outcome.NOT_RUN, codes.request.READ_DEADLINE)
        if self.stage is Stage.ANSWERED:
            return self._finish(Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)
        return self._finish(Outcome.UNKNOWN, codes.request.DEADLINE_PASSED)

    @_on(events.CancelAsked)
    def _cancel_asked(self, event: events.CancelAsked) -> Effect:
        self.cancelled = True
        if self.stage in (Stage.SENT, Stage.DELIVERING):
            return events.CancelTarget()
        if self.stage is Stage.WAITING:
            return self._cancelled()
        return events.Continue()

    def _cancelled(self) -> Effect:
        if self._may_have_run:
            return self._finish(Outcome.UNKNOWN, codes.caller.CANCELED)
        return self._finish(Outcome.NOT_RUN, codes.request.CANCELED_NOT_SENT)

    def _finish(self, outcome: Outcome, code: Code | None = None) -> Effect:
        return events.Finish(outcome, code)
