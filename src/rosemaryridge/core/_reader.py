"""Run reads: on the primary with proof that it leads, or where data are fresh."""

import asyncio
import random

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import Route
from rosemaryridge.core._group import Group
from rosemaryridge.core._placement import ReadNeed
from rosemaryridge.core._placement import choose_for_read
from rosemaryridge.core._runner import ABANDONED_TIMEOUT_S
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import Session
from rosemaryridge.core._session import needed_position
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Link
from rosemaryridge.model import ORIGIN

# A read that has waited this long is sent to another target as well; the work of
# most reads ends within 300 ms.
_SECOND_TRY_S = 0.4


class Reader:
    """Carry reads to the targets of their group."""

    def __init__(self, runner: Runner, failure_domain: str, rng: random.Random):
        self._runner = runner
        self._failure_domain = failure_domain
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def read(
        self, session: Session, route: Route, group: Group, statement: Statement
    ) -> Answer:
        """Return a read's answer; raise StatementError."""
        deadline = self._loop.time() + route.timeout_s
        if route.consistency is Consistency.PRIMARY:
            return await self.on_primary(session, route, group, statement, deadline)
        return await self.anywhere(session, route, group, statement, deadline)

    async def on_primary(
        self,
        session: Session,
        route: Route,
        group: Group,
        statement: Statement,
        deadline: float,
    ) -> Answer:
        backoff = self._runner.backoff(deadline)
        while True:
            target = await group.wait_for_lead(deadline)
            link = await self._runner.acquire_link(
                session, group, target, route, deadline
            )
            reason, failure = "the primary cannot be reached", Failure.BUSY
            if link is not None:
                answer = await self._guarded(
                    session, group, target, link, statement, deadline
                )
                if answer is not None and answer.failure not in NOT_RUN:
                    return answer
                if answer is not None:
                    reason, failure = answer.detail, answer.failure
            await backoff.pause(reason, failure)

    async def _guarded(
        self,
        session: Session,
        group: Group,
        target: Target,
        link: Link,
        statement: Statement,
        deadline: float,
    ) -> Answer | None:
        # A deposed primary answers a plain read from its old log; in a transaction
        # it refuses.
        try:
            answer = await self._runner.begin(group, target, link, deadline)
            if not answer.ok:
                self._runner.release(group, target, link, answer)
                return answer
            answer = await self._runner.exchange(
                session, group, target, link, statement, deadline
            )
        except TargetLost:
            target.pool.discard(link)
            group.suspect(target)
            return None
        except TimeoutError:
            target.pool.discard(link)
            raise StatementError(
                Failure.TIMEOUT, f"{target.id} gave no answer in time"
            ) from None
        self._runner.handle_refusal(group, target, link, answer)
        self._runner.spawn(self._runner.roll_back(target, link))
        return answer.in_state(TransactionState.IDLE)

    async def anywhere(
        self,
        session: Session,
        route: Route,
        group: Group,
        statement: Statement,
        deadline: float,
    ) -> Answer:
        race = _Race()
        try:
            return await self._race(race, session, route, group, statement, deadline)
        finally:
            race.over = True

    async def _race(
        self,
        race: "_Race",
        session: Session,
        route: Route,
        group: Group,
        statement: Statement,
        deadline: float,
    ) -> Answer:
        tried: set[str] = set()
        backoff = self._runner.backoff(deadline)
        running: set[asyncio.Task[Answer | None]] = set()
        last = (Failure.BUSY, "no target could be reached")
        while True:
            need = await self.need(session, route, group, deadline)
            target = self.choose(group, need, tried)
            if target is None and not running:
                if last[0] is Failure.LAGGING:
                    # What the session wrote may have been rolled back by a
                    # promotion; the primary has all that was kept.
                    return await self.on_primary(
                        session, route, group, statement, deadline
                    )
                tried.clear()
                await backoff.pause(last[1], last[0])
                continue
            if target is not None:
                tried.add(target.id)
                running.add(
                    self._runner.spawn(
                        self._try_read(
                            race,
                            session,
                            route,
                            group,
                            target,
                            need,
                            statement,
                            deadline,
                        )
                    )
                )
            left_s = deadline - self._loop.time()
            wait_s = left_s if target is None else min(left_s, _SECOND_TRY_S)
            done, running = await asyncio.wait(
                running, timeout=max(0.0, wait_s), return_when="FIRST_COMPLETED"
            )
            for task in done:
                answer = task.result()
                if answer is not None and answer.failure not in NOT_RUN:
                    return answer
                if answer is not None:
                    last = (answer.failure, answer.detail)
            if self._loop.time() >= deadline:
                if race.sent and running:
                    raise StatementError(Failure.TIMEOUT, "no target answered in time")
                raise StatementError(last[0], last[1], 0.2)

    async def _try_read(
        self,
        race: "_Race",
        session: Session,
        route: Route,
        group: Group,
        target: Target,
        need: ReadNeed,
        statement: Statement,
        deadline: float,
    ) -> Answer | None:
        try:
            link = await self._runner.acquire_link(
                session, group, target, route, deadline
            )
        except StatementError as exc:
            return Answer(failure=exc.failure, detail=exc.detail)
        if link is None:
            return None
        if race.over:
            # The caller has its answer and may have changed its session since.
            target.pool.release(link)
            return None
        race.sent = True
        patience = max(deadline, self._loop.time() + ABANDONED_TIMEOUT_S)
        try:
            answer = await self._runner.exchange(
                session, group, target, link, statement, patience, need.position
            )
        except (TargetLost, TimeoutError):
            target.pool.discard(link)
            group.suspect(target)
            return None
        self.learn(target, need, answer)
        self._runner.release(group, target, link, answer)
        return answer

    def learn(self, target: Target, need: ReadNeed, answer: Answer) -> None:
        """Take in whether a target's log held what a read needs."""
        if answer.failure is Failure.LAGGING:
            target.lacked(need.age_s, self._loop.time())
        elif answer.ok:
            target.held(need.age_s, max(need.position, answer.position or ORIGIN))

    def choose(self, group: Group, need: ReadNeed, tried: set[str]) -> Target | None:
        """Return the target that should answer a read."""
        return choose_for_read(
            tuple(group.targets.values()),
            group.primary,
            need,
            self._failure_domain,
            tried,
            self._loop.time(),
            self._rng,
        )

    async def need(
        self, session: Session, route: Route, group: Group, deadline: float
    ) -> ReadNeed:
        """Return what a read's target must hold; raise StatementError."""
        floor = await group.floor(route.max_age_s, deadline)
        if route.consistency is Consistency.SESSION:
            floor = needed_position(session, floor, boottime())
        session.trail.append(f"needs {floor[0]} of {floor[1]:.2f} s ago")
        return ReadNeed(*floor)


class _Race:
    """Note whether a read was sent to any target, and whether it has ended."""

    __slots__ = ("over", "sent")

    def __init__(self) -> None:
        self.over = False
        self.sent = False
