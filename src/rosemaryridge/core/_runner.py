"""Run statements on targets, again only where that is safe."""

import asyncio
import random

from rosemaryridge.core._backoff import Backoff
from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._config import Route
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import Tally
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import Session
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Link
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import Run
from rosemaryridge.model import Position

# A target that owes an answer for this long is asked whether it lives.
_CHECK_AFTER_S = 0.15
# A link whose answer nobody waits for any more is given up after this.
ABANDONED_S = 5.0
# Shorter waits for a connection are not written to the log.
_WAIT_SHOWN_S = 0.02


class Runner:
    """Carry statements to the targets of their group."""

    def __init__(
        self,
        rng: random.Random,
        names: PreparedNames,
        log: EventLog,
        tally: Tally,
    ):
        self._rng = rng
        self._names = names
        self._log = log
        self._tally = tally
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def write(
        self, session: Session, route: Route, group: Group, statement: Statement
    ) -> Answer:
        """Return a write's answer; raise StatementError.

        The write is sent again only after an answer that says it has not run.
        """
        deadline = self._loop.time() + route.timeout_s
        backoff = self.backoff(deadline)
        while True:
            target = await group.wait_for_lead(deadline)
            link = await self.link(session, group, target, route, deadline)
            if link is None:
                await backoff.pause("the primary cannot be reached")
                continue
            answer = await self._write_once(
                session, group, target, link, statement, deadline
            )
            if answer.failure not in NOT_RUN:
                return answer
            self._log.write(
                "write_refused",
                id=statement.id,
                service=group.service,
                target=target.id,
                reason=answer.failure.value,
            )
            if answer.failure is Failure.BUSY:
                # The target's pool waits before the next statement.
                continue
            await backoff.pause(answer.detail, answer.failure)

    async def _write_once(
        self,
        session: Session,
        group: Group,
        target: Target,
        link: Link,
        statement: Statement,
        deadline: float,
    ) -> Answer:
        sent_at = boottime()
        try:
            answer = await self.exchange(
                session, group, target, link, statement, deadline
            )
        except TargetLost as exc:
            target.pool.discard(link)
            group.suspect(target)
            if not exc.sent:
                return Answer(failure=Failure.BUSY, detail=f"{target.id}: {exc}")
            raise StatementError(
                Failure.UNKNOWN_OUTCOME, f"{target.id} was lost: {exc}"
            ) from None
        except TimeoutError:
            target.pool.discard(link)
            raise StatementError(
                Failure.UNKNOWN_OUTCOME, f"{target.id} gave no answer in time"
            ) from None
        self.settle(group, target, link, answer)
        if answer.ok and answer.position is not None:
            group.proved(target, answer.position, sent_at)
            session.committed(answer.position, boottime())
        return answer

    async def link(
        self,
        session: Session,
        group: Group,
        target: Target,
        route: Route,
        deadline: float,
        pinned: bool = False,
    ) -> Link | None:
        """Return a connection to a target, None where it cannot be reached."""
        asked_at = self._loop.time()
        try:
            link = await target.pool.acquire(route.priority, deadline, pinned)
        except PoolClosed as exc:
            session.trail.append(f"{target.id} unreachable: {exc}")
            return None
        except TurnTooLate as exc:
            group.crowded(target)
            raise StatementError(
                Failure.BUSY, f"{target.id} is overloaded: {exc}", exc.wait_s
            ) from None
        except TimeoutError:
            group.crowded(target)
            raise StatementError(
                Failure.BUSY, f"no connection to {target.id} came free", 0.2
            ) from None
        waited_s = self._loop.time() - asked_at
        if waited_s > _WAIT_SHOWN_S:
            session.trail.append(f"waited {waited_s:.2f} s for {target.id}")
        return link

    async def exchange(
        self,
        session: Session,
        group: Group,
        target: Target,
        link: Link,
        statement: Statement,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a statement on a connection; raise TargetLost or TimeoutError."""
        preamble, name = session.preamble(link, statement, self._names)
        *before, fut = link.send(*preamble, Run(statement, after, name))
        started = self._loop.time()
        target.outstanding += 1
        check = self._check_later(group, target)
        try:
            async with asyncio.timeout_at(deadline):
                answer = await fut
        finally:
            target.outstanding -= 1
            check.cancel()
        for one in before:
            if not (await one).ok:
                link.close()
        now = self._loop.time()
        target.heard(now)
        outcome = answer.failure.value if answer.failure else "done"
        took_ms = round(1000 * (now - started))
        session.trail.append(f"{target.id} {outcome} after {took_ms} ms")
        self._tally.inc("target_answers_total", service=group.service, outcome=outcome)
        if answer.failure is Failure.BUSY:
            target.full(now)
            group.crowded(target)
        elif answer.failure not in NOT_RUN:
            target.answered(now - started, now)
        return answer

    def settle(
        self,
        group: Group,
        target: Target,
        link: Link,
        answer: Answer,
        pinned: bool = False,
    ) -> None:
        """Give a connection back and learn from a refusal."""
        self.learn(group, target, link, answer)
        self._give_back(target, link, answer, pinned)

    def learn(self, group: Group, target: Target, link: Link, answer: Answer) -> None:
        """Take in what a refusal tells of its target and connection."""
        if answer.failure is Failure.READ_ONLY:
            group.deposed(target)
        if answer.failure is Failure.UNKNOWN_STATEMENT:
            link.prepared.clear()

    def _give_back(
        self, target: Target, link: Link, answer: Answer, pinned: bool
    ) -> None:
        if answer.state is TransactionState.IDLE:
            target.pool.release(link, pinned)
        else:
            target.pool.discard(link, pinned)

    def _check_later(self, group: Group, target: Target) -> asyncio.TimerHandle:
        sent_at = self._loop.time()

        def check() -> None:
            # A target that has answered others since is only busy.
            if target.heard_at < sent_at:
                self.spawn(group.check(target))

        return self._loop.call_later(_CHECK_AFTER_S, check)

    def spawn(self, work) -> asyncio.Task:
        """Run work that nobody waits for."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def backoff(self, deadline: float) -> Backoff:
        """Return the pauses between the tries of one statement."""
        return Backoff(deadline, self._rng)

    async def begin(
        self,
        group: Group,
        target: Target,
        link: Link,
        deadline: float,
        read_only: bool = False,
        after: Position | None = None,
    ) -> Answer:
        """Open a transaction; raise TargetLost or TimeoutError."""
        sent_at = boottime()
        (fut,) = link.send(Begin(read_only, after))
        check = self._check_later(group, target)
        try:
            async with asyncio.timeout_at(deadline):
                answer = await fut
        finally:
            check.cancel()
        target.heard(self._loop.time())
        if not read_only:
            group.take_begin(target, answer, sent_at)
        return answer

    async def roll_back(self, target: Target, link: Link, pinned: bool = False) -> None:
        """End a transaction and give the connection back."""
        (fut,) = link.send(Rollback())
        try:
            async with asyncio.timeout(ABANDONED_S):
                answer = await fut
        except (TargetLost, TimeoutError):
            target.pool.discard(link, pinned)
            return
        self._give_back(target, link, answer, pinned)
