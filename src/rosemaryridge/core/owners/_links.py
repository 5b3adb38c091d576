"""Offer a target behind an owner as if it were connected directly."""

import asyncio
import collections.abc

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Command
from rosemaryridge.core.commands import Prepare
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import Run
from rosemaryridge.core.commands import SetValue
from rosemaryridge.core.commands import Urgency
from rosemaryridge.core.owners._messages import FAILURES
from rosemaryridge.core.owners._messages import STATES
from rosemaryridge.core.owners._messages import VERBS
from rosemaryridge.core.owners._messages import AnswerFrame
from rosemaryridge.core.owners._messages import Batch
from rosemaryridge.core.owners._messages import BeginStep
from rosemaryridge.core.owners._messages import Condition
from rosemaryridge.core.owners._messages import ConditionStep
from rosemaryridge.core.owners._messages import Done
from rosemaryridge.core.owners._messages import NotRun
from rosemaryridge.core.owners._messages import RollbackStep
from rosemaryridge.core.owners._messages import RunStep
from rosemaryridge.core.owners._messages import Step
from rosemaryridge.core.owners._messages import ToSender
from rosemaryridge.core.owners._messages import to_ms
from rosemaryridge.core.owners._reachability import Reachability
from rosemaryridge.core.owners._streams import SenderStream
from rosemaryridge.model import Position

# Urgency of what carries none, such as probes: before any statement.
_UNTIMED_PRIORITY = -1
_UNTIMED_S = 1.0
_SETUP = (SetValue, Prepare)


class OwnedLink:
    """Send commands to a target through its owner.

    It holds no connection outside a transaction. The session's values and the prepared
    shape go along with each statement, so the owner may run it on any connection.
    """

    stops_at_failure = True

    def __init__(
        self,
        info: TargetInfo,
        business: str,
        stream: SenderStream,
        reply_margin_s: float,
        reachability: Reachability,
    ):
        self.business = business
        self.via = stream.vm
        self.urgency: Urgency | None = None
        self._stream = stream
        # The owner gives up this long before the deadline: its reply is in time.
        self._reply_margin_s = reply_margin_s
        self._reachability = reachability
        self._link = stream.new_link()
        self._place = stream.place(info.service, info.id, business)
        self._closed = False
        self._pending = 0
        self._sent_at = 0.0
        self.state = TransactionState.IDLE
        self._loop = asyncio.get_running_loop()

    @property
    def values(self) -> dict[bytes, bytes]:
        """Return no values: each statement brings all of its session's."""
        return {}

    @property
    def prepared(self) -> set[bytes]:
        """Return no names: each statement brings its shape."""
        return set()

    @property
    def closed(self) -> bool:
        """Return whether the link has ended, or must not be used again."""
        is_idle = self.state is TransactionState.IDLE and not self._pending
        return self._closed or self._stream.ended or is_idle and self._stream.stopping

    @property
    def busy(self) -> bool:
        """Return whether answers are outstanding."""
        return self._pending > 0

    def send(self, *batch: Command) -> list[asyncio.Future[Answer]]:
        """Send commands as one batch and return a future for each answer."""
        futs: list[asyncio.Future[Answer]] = [self._loop.create_future() for _ in batch]
        if self._closed:
            _fail(futs, TargetLost("the link was closed", sent=False))
            return futs
        setup = [fut for fut, cmd in zip(futs, batch, strict=True) if _is_setup(cmd)]
        main = [fut for fut, cmd in zip(futs, batch, strict=True) if not _is_setup(cmd)]
        values = {cmd.name: cmd.value for cmd in batch if isinstance(cmd, SetValue)}
        shapes = {cmd.name: cmd for cmd in batch if isinstance(cmd, Prepare)}
        steps = [_encode_step(cmd, shapes) for cmd in batch if not _is_setup(cmd)]
        reply = self._send_batch(steps, values)
        reply.add_done_callback(lambda fut: self._on_reply(fut, setup, main))
        return futs

    async def ask_condition(self) -> TargetCondition | None:
        """Return the target's condition; None if it has no free slot to report it."""
        return await self._ask(ConditionStep())

    async def step_down(self, term: int) -> TargetCondition | None:
        """Demote a primary of a lower term; return its condition.

        None if the target had no free slot to answer.
        """
        return await self._ask(ConditionStep(term))

    def close(self) -> None:
        """Close the link; the owner rolls back an open transaction."""
        if self._closed:
            return
        self._closed = True
        if self._pending:
            waited_since = max(self._sent_at, self._stream.resumed_at)
            self._reachability.record_abandoned(waited_since, self._loop.time())
        if self._pending or self.state is not TransactionState.IDLE:
            self._stream.close_link(self._link)

    def _send_batch(
        self, steps: list[Step], values: dict[bytes, bytes]
    ) -> "asyncio.Future[ToSender]":
        now = self._loop.time()
        until = now + _UNTIMED_S
        urgency = self.urgency or Urgency(_UNTIMED_PRIORITY, until, until)
        # The next user of the link may be a probe, which has no deadline of its own.
        self.urgency = None
        self._pending += 1
        self._sent_at = now
        # The owner replies in time for these.
        ends_at = now + self._reply_margin_s
        return self._stream.send_batch(
            lambda number: Batch(
                self._link,
                number,
                self._place,
                urgency.priority,
                to_ms(boottime()),
                to_ms(urgency.aim - ends_at),
                to_ms(urgency.deadline - ends_at),
                urgency.accepts_late,
                values,
                tuple(steps),
            )
        )

    async def _ask(self, step: ConditionStep) -> TargetCondition | None:
        sent = self._send_batch([step], {})
        sent.add_done_callback(self._on_asked)
        reply = await asyncio.shield(sent)
        if isinstance(reply, Condition):
            return _decode_condition(reply)
        if isinstance(reply, NotRun):
            if reply.unreachable:
                self._reachability.record_unreachable(self._loop.time())
                raise TargetLost(reply.reason, sent=False)
            return None
        raise TargetLost(getattr(reply, "reason", "unexpected reply"))

    def _on_asked(self, reply: "asyncio.Future[ToSender]") -> None:
        self._pending -= 1
        # Marks an error as retrieved: the asker may have given up.
        reply.exception()

    def _on_reply(
        self,
        reply: "asyncio.Future[ToSender]",
        setup: list[asyncio.Future[Answer]],
        main: list[asyncio.Future[Answer]],
    ) -> None:
        self._pending -= 1
        exc = reply.exception()
        if exc is not None:
            self._closed = True
            _fail(setup + main, exc)
            return
        _resolve(setup, [Answer()] * len(setup))
        frame = reply.result()
        self._reachability.record_reply(self._loop.time())
        if isinstance(frame, Done) and len(frame.answers) == len(main):
            answers = [_decode_answer(answer) for answer in frame.answers]
            self.state = answers[-1].state
            _resolve(main, answers)
        elif isinstance(frame, NotRun) and not frame.unreachable:
            refusal = Answer(
                failure=Failure.BUSY,
                detail=frame.reason,
                state=self.state,
                retry_after_s=frame.wait_s,
            )
            _resolve(main, [refusal] * len(main))
        else:
            self._closed = True
            sent = not isinstance(frame, NotRun) and getattr(frame, "sent", True)
            if not sent:
                self._reachability.record_unreachable(self._loop.time())
            reason = getattr(frame, "reason", "unexpected reply")
            _fail(main, TargetLost(reason, sent=sent))


def _is_setup(command: Command) -> bool:
    return isinstance(command, _SETUP)


def _resolve(
    futs: collections.abc.Sequence[asyncio.Future[Answer]], answers: list[Answer]
) -> None:
    for fut, answer in zip(futs, answers, strict=True):
        if not fut.done():
            fut.set_result(answer)


def _fail(futs: list[asyncio.Future[Answer]], exc: BaseException) -> None:
    for fut in futs:
        if not fut.done():
            fut.set_exception(exc)
            # Marks the error as retrieved: a caller may have left.
            fut.exception()


def _encode_position(position: Position | None) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.lsn)


def _encode_step(command: Command, shapes: dict[bytes, Prepare]) -> Step:
    if isinstance(command, Begin):
        return BeginStep(command.read_only, _encode_position(command.min_position))
    if isinstance(command, Rollback):
        return RollbackStep()
    if not isinstance(command, Run):
        raise TypeError(f"{type(command).__name__} needs a connection of its own")
    statement = command.statement
    prepared = shapes.get(command.name)
    return RunStep(
        statement.id,
        VERBS.index(statement.verb),
        statement.rest if prepared else statement.text,
        statement.read_only,
        _encode_position(command.min_position),
        prepared.shape if prepared else None,
        prepared.read_only if prepared else False,
    )


def _decode_answer(frame: AnswerFrame) -> Answer:
    return Answer(
        frame.rows,
        frame.signature,
        None if frame.failure is None else FAILURES[frame.failure],
        frame.detail,
        STATES[frame.state],
        None if frame.position is None else Position(*frame.position),
    )


def _decode_condition(reply: Condition) -> TargetCondition | None:
    if reply.fields is None:
        return None
    primary, term, received, held_term, lag_s, busy, connections = reply.fields
    return TargetCondition(
        primary, term, Position(*received), held_term, lag_s, busy, connections
    )
