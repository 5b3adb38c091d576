"""Run reads on a verified primary or on any target that is fresh enough."""

import asyncio
import dataclasses
import random

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import Route
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._placement import ReadRequirement
from rosemaryridge.core._placement import choose_for_read
from rosemaryridge.core._placement import choose_near_or_far
from rosemaryridge.core._runner import ABANDONED_TIMEOUT_S
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import required_position
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.zones import Spill
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import ORIGIN

# A read without an answer for this long is also sent to another target. Most reads
# take less than 300 ms.
_HEDGE_DELAY_S = 0.4
# A target in another region needs this much time for an answer.
_MIN_ATTEMPT_S = 0.05


class Reader:
    """Run reads on the targets of their group."""

    def __init__(
        self,
        runner: Runner,
        surroundings: Surroundings,
        metrics: MetricsRegistry,
        rng: random.Random,
    ):
        self._runner = runner
        self._surroundings = surroundings
        self._metrics = metrics
        # By service: the share of reads that leaves the nearest targets. Unused where
        # each region has one failure domain.
        self.spills: dict[str, Spill] = {}
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def read(self, execution: Execution, route: Route, group: Group) -> Answer:
        """Return a read's answer; raise StatementError."""
        deadline = self._loop.time() + route.timeout_s
        if route.consistency is Consistency.PRIMARY:
            return await self._read_from_primary(execution, route, group, deadline)
        return await self._read_from_any(execution, route, group, deadline)

    async def _read_from_primary(
        self, execution: Execution, route: Route, group: Group, deadline: float
    ) -> Answer:
        backoff = self._runner.backoff(deadline)
        while True:
            with execution.steps.measure("primary"):
                target = await group.wait_for_proven_primary(deadline)
            link = await self._runner.acquire_link(
                execution, group, target, route, deadline
            )
            reason, failure = "the primary cannot be reached", Failure.BUSY
            if link is not None:
                answer = await self._read_in_transaction(
                    execution, group, target, link, deadline
                )
                if answer is not None and answer.failure not in NOT_RUN:
                    return answer
                if answer is not None:
                    if answer.retry_after_s is not None:
                        raise StatementError(
                            Failure.BUSY, answer.detail, answer.retry_after_s
                        )
                    reason, failure = answer.detail, answer.failure
            await backoff.pause(reason, failure)

    async def _read_in_transaction(
        self,
        execution: Execution,
        group: Group,
        target: Target,
        link: TargetLink,
        deadline: float,
    ) -> Answer | None:
        # A deposed primary answers a plain read from its outdated log, but refuses to
        # open a transaction, unless it is cut off and goes on.
        requested_at = boottime()
        at_once = link.stops_at_failure
        try:
            if not at_once:
                answer = await self._runner.begin(
                    execution.session,
                    group,
                    target,
                    link,
                    deadline,
                    statement=execution.statement,
                )
                if not answer.ok:
                    self._runner.release(group, target, link, answer)
                    return answer
            answer = await self._runner.exchange(
                execution, group, target, link, deadline, in_transaction=at_once
            )
        except TargetLost:
            target.pool.discard(link)
            group.suspect(target)
            return None
        except TimeoutError:
            target.pool.discard(link)
            raise StatementError(
                Failure.TIMEOUT,
                f"{target.id} did not answer a read before the deadline",
            ) from None
        except asyncio.CancelledError:
            target.pool.discard(link)
            raise
        if at_once:
            self._runner.release(group, target, link, answer)
        else:
            self._runner.apply_answer(group, target, link, answer)
            self._runner.spawn(self._runner.roll_back(target, link))
        if at_once and answer.failure in NOT_RUN:
            return answer
        if at_once and answer.ok:
            # A failure may be that of BEGIN, which an owner answers for the read too.
            group.record_primary(target, answer.position, requested_at)
        with execution.steps.measure("proof"):
            is_proven = await group.confirm_primary(target, requested_at)
        if not is_proven:
            return Answer(
                failure=Failure.BUSY, detail=f"{target.id} may have been replaced"
            )
        return answer.in_state(TransactionState.IDLE)

    async def _read_from_any(
        self, execution: Execution, route: Route, group: Group, deadline: float
    ) -> Answer:
        read = _HedgedRead()
        try:
            return await self._read_hedged(read, execution, route, group, deadline)
        finally:
            read.ended = True

    async def _read_hedged(
        self,
        read: "_HedgedRead",
        execution: Execution,
        route: Route,
        group: Group,
        deadline: float,
    ) -> Answer:
        tried: set[str] = set()
        backoff = self._runner.backoff(deadline)
        running: set[asyncio.Task[Answer | None]] = set()
        target_of: dict[asyncio.Task[Answer | None], str] = {}
        last_failure = (Failure.BUSY, "no target could be reached")
        # Expected waits of the tried targets whose queues are too long.
        waits: dict[str, float] = {}
        while True:
            requirement = await self.read_requirement(execution, route, group, deadline)
            target = self.choose_target(group, requirement, tried)
            if target is None and not running:
                if last_failure[0] is Failure.LAGGING:
                    # A promotion may have rolled back the session's writes; the
                    # primary has every commit that survived.
                    return await self._read_from_primary(
                        execution, route, group, deadline
                    )
                if waits and len(waits) == len(tried):
                    if read.accepts_late:
                        wait_s = min(waits.values())
                        raise StatementError(Failure.BUSY, last_failure[1], wait_s)
                    # None can answer within the aim; a late answer is of some use.
                    read.accepts_late = True
                    tried.difference_update([min(waits, key=waits.__getitem__)])
                    waits.clear()
                    continue
                tried.clear()
                waits.clear()
                await backoff.pause(last_failure[1], last_failure[0])
                continue
            if not running and deadline - self._loop.time() < _MIN_ATTEMPT_S:
                # Another attempt would leave it unknown whether the read ran.
                raise StatementError(last_failure[0], last_failure[1], 0.2)
            if target is not None:
                tried.add(target.id)
                attempt = self._read_from(
                    read, execution, route, group, target, requirement, deadline
                )
                task = self._runner.spawn(attempt)
                target_of[task] = target.id
                running.add(task)
            remaining_s = deadline - self._loop.time()
            timeout_s = (
                remaining_s if target is None else min(remaining_s, _HEDGE_DELAY_S)
            )
            done, running = await asyncio.wait(
                running, timeout=max(0.0, timeout_s), return_when="FIRST_COMPLETED"
            )
            for task in done:
                answer = task.result()
                if answer is not None and answer.failure not in NOT_RUN:
                    return answer
                if answer is not None:
                    last_failure = (answer.failure, answer.detail)
                    if answer.retry_after_s is not None:
                        waits[target_of[task]] = answer.retry_after_s
            if self._loop.time() >= deadline:
                if read.sent and running:
                    raise StatementError(
                        Failure.TIMEOUT, "no target answered before the deadline"
                    )
                raise StatementError(last_failure[0], last_failure[1], 0.2)

    async def _read_from(
        self,
        read: "_HedgedRead",
        execution: Execution,
        route: Route,
        group: Group,
        target: Target,
        requirement: ReadRequirement,
        deadline: float,
    ) -> Answer | None:
        try:
            link = await self._runner.acquire_link(
                execution, group, target, route, deadline
            )
        except StatementError as exc:
            return Answer(
                failure=exc.failure,
                detail=exc.detail,
                retry_after_s=exc.retry_after_s,
            )
        if link is None:
            return None
        if read.ended:
            # The caller has its answer, and its session may have changed since.
            target.pool.release(link)
            return None
        read.sent = True
        if not read.accepts_late:
            link.urgency = dataclasses.replace(link.urgency, accepts_late=False)
        answer_deadline = max(deadline, self._loop.time() + ABANDONED_TIMEOUT_S)
        try:
            answer = await self._runner.exchange(
                execution,
                group,
                target,
                link,
                answer_deadline,
                requirement.position,
            )
        except (TargetLost, TimeoutError):
            target.pool.discard(link)
            group.suspect(target)
            return None
        self._runner.release(group, target, link, answer)
        if answer.ok and answer.state is not TransactionState.IDLE:
            # It ran in a transaction of which this session knows nothing.
            return None
        self.record_answer(target, requirement, answer)
        return answer

    def record_answer(
        self, target: Target, requirement: ReadRequirement, answer: Answer
    ) -> None:
        """Record whether the answer shows that the target's log holds the position."""
        if answer.failure is Failure.LAGGING:
            target.record_missing_position(requirement.age_s, self._loop.time())
        elif answer.ok:
            target.record_held_position(
                requirement.age_s, max(requirement.position, answer.position or ORIGIN)
            )

    def choose_target(
        self, group: Group, requirement: ReadRequirement, tried: set[str]
    ) -> Target | None:
        """Return the best untried target for a read, None if there is none."""
        targets, now = tuple(group.targets.values()), self._loop.time()
        if not self._surroundings.has_neighbours:
            return choose_for_read(
                targets,
                group.primary,
                requirement,
                self._surroundings.failure_domain,
                tried,
                now,
                self._rng,
            )
        target = choose_near_or_far(
            targets,
            group.primary,
            requirement,
            self._surroundings,
            self.spills.setdefault(group.service, Spill()),
            tried,
            now,
            self._rng,
        )
        if target is not None:
            distance = self._surroundings.distance_to(target.info.failure_domain)
            name = distance.name.lower()
            self._metrics.inc("reads_placed_total", distance=name)
        return target

    async def read_requirement(
        self, execution: Execution, route: Route, group: Group, deadline: float
    ) -> ReadRequirement:
        """Return the position that a read requires of its target.

        Raises StatementError if no recent position of the primary is known before the
        deadline.
        """
        with execution.steps.measure("position"):
            required = await group.fetch_min_position(route.max_age_s, deadline)
        if route.consistency is Consistency.SESSION:
            required = required_position(execution.session, required, boottime())
        execution.trail.append(
            f"requires position {required[0]}, {required[1]:.2f} s old"
        )
        return ReadRequirement(*required)


class _HedgedRead:
    """Record whether a read was sent to any target and whether it has ended."""

    __slots__ = ("accepts_late", "ended", "sent")

    def __init__(self) -> None:
        self.ended = False
        self.sent = False
        # Whether every target was found too busy to answer within the aim.
        self.accepts_late = False
