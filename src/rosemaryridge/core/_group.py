"""Track a group's targets, its primary and the primary's position."""

import asyncio
import collections
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._condition import request_condition
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._freshness import PrimaryHistory
from rosemaryridge.core._leadership import Leadership
from rosemaryridge.core._overload import Overload
from rosemaryridge.core._overload import any_replica_lags
from rosemaryridge.core._pool import SLOTLESS_PRIORITY
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.store import ClaimCache
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# BEGIN takes no slot, so a healthy target answers within two network delays; the
# longest measured delay is 40 ms.
PROBE_TIMEOUT_S = 0.25
# Period of probing every target while no primary is known.
_SEARCH_PERIOD_S = 0.08
# Period of probing an unresponsive target.
_UNRESPONSIVE_PROBE_PERIOD_S = 0.4
# Time that a statement waits before its target is probed. If the target has answered
# nothing since that statement was sent and the probe times out too, the target is
# unresponsive.
_STATEMENT_WAIT_S = 0.15
# A target that refused a connection for being full within this time is not taken
# for unresponsive.
_RECENTLY_FULL_S = 1.0
# Allowance for the resolution of the clock and of timers in the age of a position.
_CLOCK_MARGIN_S = 0.05
# A position is refreshed once its age exceeds this share of the age bound.
_REFRESH_AGE_SHARE = 0.6
_RETRY_AFTER_S = 0.5
# A deposed primary may have no free slot for a while.
_STEP_DOWN_TIMEOUT_S = 1.0
# A replica without a free slot is asked again within this time.
_CONDITION_TIMEOUT_S = 2 * PROBE_TIMEOUT_S
# Limit on the positions that wait for a proof of their primary.
_MAX_UNPROVEN = 16


class Group:
    """Track the targets of one service and which of them is the primary."""

    def __init__(
        self, service: str, log: EventLog, on_suspect: t.Callable[["Group"], None]
    ):
        self.service = service
        self.targets: dict[str, Target] = {}
        # Replicas that receive a commit before it is acknowledged.
        self.sync_replicas = 0
        # Ids of targets whose entries have gone since the primary was last confirmed.
        # They may hold commits that it acknowledged.
        self.departed: set[str] = set()
        self.primary: str | None = None
        # The term of the primary's newest known position.
        self.term = 0
        # The target that last confirmed that it is the primary, and the time at which
        # the request that it answered was sent, on the clock of `boottime`.
        self._confirmed_primary_id: str | None = None
        # The last target that has done so, also after it has lost the role.
        self.last_primary = ""
        self._confirmation_requested_at = float("-inf")
        # Requests the position from a position relay; None without peers.
        self.request_position: t.Callable[[Group], t.Awaitable[bool]] | None = None
        self._overload = Overload()
        # Whether this proxy has been isolated for so long that it refuses statements
        # without a primary at once.
        self.cut_off = False
        self._log = log
        self._on_suspect = on_suspect
        self._history = PrimaryHistory()
        # None where no claims are read.
        self._leadership: Leadership | None = None
        # Whether a deposed primary may go on, so that nothing that it says is trusted
        # without a proof. Commits with synchronous replicas need one in any case.
        self._deposed_go_on = False
        # Positions of the primary without a proof yet, and when they were requested.
        self._unproven: collections.deque[tuple[Position, float]] = collections.deque(
            maxlen=_MAX_UNPROVEN
        )
        self._stepping_down: set[str] = set()
        self._loop = asyncio.get_running_loop()
        self._primary_found: asyncio.Future[None] | None = None
        self._search_task: asyncio.Task[None] | None = None
        self._without_primary_since = 0.0
        self._refresh_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()

    @property
    def primary_target(self) -> Target | None:
        """Return the presumed primary, None if there is none."""
        return self.targets.get(self.primary) if self.primary else None

    def require_proof(self, claims: ClaimCache, deposed_go_on: bool = True) -> None:
        """Trust the primary only as long as it is proven not to be replaced.

        Unless a deposed primary may go on, this is in force only for commits with
        synchronous replicas: they survive only if the successor has received them.
        """
        self._deposed_go_on = deposed_go_on
        self._leadership = Leadership(
            self.service,
            claims,
            lambda name: [other for other in self.targets if other != name],
            self._probe_by_id,
            self._log,
            self._step_down_unproven if deposed_go_on else lambda name: None,
            self._ask_condition_by_id,
        )

    async def confirm_primary(self, target: Target, led_at: float) -> bool:
        """Return whether a target is proven to have led at a time that has passed.

        `led_at` is on the clock of `boottime`.
        """
        if self._leadership is None or not self._deposed_go_on:
            return True
        return await self._confirm_lead(self._leadership, target, led_at)

    async def confirm_commit(
        self, target: Target, position: Position | None, answered_at: float
    ) -> bool:
        """Return whether a commit that a target answered is proven to be kept.

        `position` is the target's then, and `answered_at` on the clock of `boottime`.
        """
        if self._leadership is None or not self.sync_replicas:
            return await self.confirm_primary(target, answered_at)
        return await self._leadership.confirm_commit(target.id, position, answered_at)

    async def may_commit(self, target: Target) -> bool:
        """Return whether a commit that is sent now may be proven to be kept."""
        if self._leadership is None or not (self._deposed_go_on or self.sync_replicas):
            return True
        return await self._confirm_lead(self._leadership, target, boottime())

    def has_unsettled_claim(self) -> bool:
        """Return whether the primary leads on under a claim that names another target.

        Its commits of synchronous replicas need the receipts of all others until then.
        """
        return (
            self._leadership is not None
            and self.sync_replicas > 0
            and self.primary is not None
            and self._leadership.is_unsettled(self.primary)
        )

    async def _confirm_lead(
        self, leadership: Leadership, target: Target, led_at: float
    ) -> bool:
        confirmed = await leadership.confirm(target.id, led_at)
        if self.has_unsettled_claim():
            self._on_suspect(self)
        if target.id == self.primary:
            self._observe_proven()
        return confirmed

    def _observe_proven(self) -> None:
        if self.primary is None:
            return
        proven_until = self._proven_until(self.primary)
        while self._unproven and self._unproven[0][1] <= proven_until:
            self._history.observe(*self._unproven.popleft())

    def _proven_until(self, name: str) -> float:
        if self._leadership is None or not self._deposed_go_on:
            return float("inf")
        return self._leadership.proven_until(name)

    async def _probe_by_id(self, name: str) -> bool | None:
        target, primary = self.targets.get(name), self.primary_target
        if self.term == 0 and primary is not None and primary is not target:
            # A denial counts only beside the primary's term, not known yet.
            await self.probe_primary(primary)
        return None if target is None else await self.probe_primary(target)

    async def _ask_condition_by_id(self, name: str) -> TargetCondition | None:
        target = self.targets.get(name)
        if target is None:
            return None
        return await request_condition(
            target, lambda link: link.ask_condition(), _CONDITION_TIMEOUT_S
        )

    def record_primary(
        self, target: Target, position: Position | None, requested_at: float
    ) -> None:
        """Record a confirmation that a target was the primary after `requested_at`.

        `requested_at` is the time at which the answered request was sent. The
        position's term is that of the newest commit in the target's log. A new primary
        has that commit from an earlier primary, and all commits of the last term may
        be lost. So a later confirmation is accepted at any term, and an earlier one
        only if its term is higher.
        """
        if position is None:
            return
        if target.id != self._confirmed_primary_id:
            if (
                requested_at < self._confirmation_requested_at
                and position.term <= self.term
            ):
                return
            if self._is_superseded(target):
                self._start_step_down(target)
                return
            self._adopt_primary(target, position.term)
        self._confirmation_requested_at = max(
            self._confirmation_requested_at, requested_at
        )
        self.term = max(self.term, position.term)
        self.departed.clear()
        self._unproven.append((position, requested_at))
        self._observe_proven()
        target.applied = max(target.applied, position)

    def _is_superseded(self, target: Target) -> bool:
        """Return whether the confirmed primary has replaced a target that goes on."""
        if self._leadership is None or self._confirmed_primary_id is None:
            return False
        if not self._deposed_go_on:
            return False
        successor = self._leadership.superseded_by(target.id)
        return successor == self._confirmed_primary_id

    def _step_down_unproven(self, name: str) -> None:
        """Step a primary down whose successor by the last claim is not listed."""
        target = self.targets.get(name)
        if target is not None:
            self._start_step_down(target)

    def _start_step_down(self, target: Target) -> None:
        if target.id not in self._stepping_down:
            self._stepping_down.add(target.id)
            self._spawn(self._step_down(target))

    async def _step_down(self, target: Target) -> None:
        term, requested_at = self._leadership.step_down_term, boottime()
        condition = await request_condition(
            target, lambda link: link.step_down(term), _STEP_DOWN_TIMEOUT_S
        )
        self._stepping_down.discard(target.id)
        if condition is None:
            return
        self._log.write(
            "deposed_primary_stepped_down",
            service=self.service,
            target=target.id,
            term=term,
            done=not condition.primary,
        )
        if not condition.primary:
            # A search for the primary starts if this was the one.
            self.record_not_primary(target)
        elif (
            self.targets.get(target.id) is target
            and requested_at >= self._confirmation_requested_at
        ):
            # It leads a later term: the known claims are outdated.
            self._confirmation_requested_at = requested_at
            self._adopt_primary(target, condition.term)

    def record_primary_registration(self, target: Target) -> None:
        """Record that a target registered as the primary.

        The registration is accepted without a confirmation only while no primary is
        known; otherwise the target is probed.
        """
        if self.primary is None or self.primary not in self.targets:
            self.primary = target.id
            self._wake_waiters()
        elif target.id != self.primary:
            self._spawn(self.probe_primary(target))

    def record_not_primary(self, target: Target) -> None:
        """Record that a target answered that it is not the primary."""
        if target.id == self.primary:
            self._log.write(
                "primary_lost", service=self.service, target=target.id, term=self.term
            )
            self.primary = self._confirmed_primary_id = None
            self._start_search()

    def suspect(self, target: Target) -> None:
        """Report a suspicion if the target is the primary."""
        if target.id == self.primary:
            self._on_suspect(self)

    def record_overload(self, target: Target) -> None:
        """Record that a target had no free slot for a statement in time."""
        if target.id != self.primary:
            return
        now = self._loop.time()
        self._overload.record_refusal(now)
        if self.is_primary_overloaded(now):
            self._on_suspect(self)

    def is_primary_overloaded(self, now: float) -> bool:
        """Return whether the primary is overloaded while its replicas lag."""
        replicas = (tgt for tgt in self.targets.values() if tgt.id != self.primary)
        return self._overload.is_lasting(now) and any_replica_lags(replicas)

    def record_replica_up_to_date(self) -> None:
        """Record that some replica reported a low lag."""
        self._overload.reset(self._loop.time())

    def record_unresponsive(self, target: Target) -> None:
        """Record that a target did not answer in time; probe it until it answers."""
        if target.unresponsive_since is None:
            self._log.write("target_silent", service=self.service, target=target.id)
            target.mark_unresponsive(self._loop.time())
            # They may have fallen silent while the target works: probe a new one.
            target.pool.close_idle()
            self._spawn(self._probe_until_response(target))
        self.suspect(target)

    def record_refused_connection(self, target: Target) -> None:
        """Record that a target's address refuses connections or is another target's."""
        target.refused_at = self._loop.time()
        self.record_unresponsive(target)

    async def _probe_until_response(self, target: Target) -> None:
        while (
            self.targets.get(target.id) is target
            and target.unresponsive_since is not None
        ):
            await asyncio.sleep(_UNRESPONSIVE_PROBE_PERIOD_S)
            if target.unresponsive_since is not None:
                await self.probe_primary(target)

    def _adopt_primary(self, target: Target, term: int) -> None:
        self._log.write(
            "primary_found",
            service=self.service,
            target=target.id,
            term=term,
            before=self.primary,
            before_term=self.term,
        )
        if self._confirmation_requested_at > 0.0:
            # Only a change of the primary counts as a promotion, not the first
            # confirmation.
            self._overload.reset(self._loop.time())
        self.primary = self._confirmed_primary_id = self.last_primary = target.id
        self.term = term
        # The last commits of the former primary may be lost.
        self._history = PrimaryHistory()
        self._unproven.clear()
        for tgt in self.targets.values():
            tgt.applied = ORIGIN
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        if self._primary_found is not None and not self._primary_found.done():
            self._primary_found.set_result(None)

    async def wait_for_primary(self, deadline: float) -> Target:
        """Return the primary once it is known; raise StatementError.

        During a failover, statements wait here for the new primary until `deadline`.
        If this proxy is cut off, they are refused at once.
        """
        while (primary := self._usable_primary()) is None:
            self._start_search()
            if self._primary_found is None or self._primary_found.done():
                self._primary_found = self._loop.create_future()
            if self.cut_off:
                raise StatementError(
                    Failure.BUSY,
                    f"this proxy is cut off from service {self.service}",
                    _RETRY_AFTER_S,
                )
            if self._has_no_successor():
                raise StatementError(
                    Failure.BUSY,
                    f"the primary of service {self.service} is leaving and no other "
                    "target answers",
                    _RETRY_AFTER_S,
                )
            try:
                async with asyncio.timeout_at(deadline):
                    await asyncio.shield(self._primary_found)
            except TimeoutError:
                raise StatementError(
                    Failure.BUSY,
                    f"no primary of service {self.service} found in time",
                    _RETRY_AFTER_S,
                ) from None
        return primary

    async def wait_for_proven_primary(
        self, deadline: float, commits: bool = False
    ) -> Target:
        """Return the primary once it is proven not to be replaced.

        With `commits`, its commits can be proven to be kept as well. Raises
        StatementError, at once unless a promotion may be under way.
        """
        while True:
            primary = await self.wait_for_primary(deadline)
            if commits:
                confirmed = await self.may_commit(primary)
            else:
                confirmed = await self.confirm_primary(primary, boottime())
            if confirmed:
                return primary
            handing_over = (
                self._leadership is not None
                and self._leadership.is_handing_over(primary.id)
            )
            may_wait = handing_over or primary is not self.primary_target
            if not may_wait or self._loop.time() + _SEARCH_PERIOD_S >= deadline:
                raise StatementError(
                    Failure.BUSY,
                    f"{primary.id} may have been replaced as the primary of "
                    f"{self.service}",
                    _RETRY_AFTER_S,
                )
            await asyncio.sleep(_SEARCH_PERIOD_S)

    def set_cut_off(self, cut_off: bool) -> None:
        """Set whether this proxy is cut off; if so, refuse the waiting statements."""
        self.cut_off = cut_off
        if cut_off:
            self._wake_waiters()

    def without_primary_s(self) -> float:
        """Return for how long no primary has been known, in seconds; 0 if one is."""
        if self._search_task is None or self._search_task.done():
            return 0.0
        return self._loop.time() - self._without_primary_since

    def _start_search(self) -> None:
        if self._search_task is None or self._search_task.done():
            self._without_primary_since = self._loop.time()
            self._search_task = self._loop.create_task(self._search_primary())

    async def _search_primary(self) -> None:
        self._on_suspect(self)
        while self._usable_primary() is None:
            targets = list(self.targets.values())
            if targets:
                await asyncio.wait(
                    [self._spawn(self.probe_primary(tgt)) for tgt in targets],
                    timeout=_SEARCH_PERIOD_S,
                )
            await asyncio.sleep(_SEARCH_PERIOD_S)
        self._wake_waiters()

    def _usable_primary(self) -> Target | None:
        """Return the primary unless it is unresponsive or gets no new work.

        A write sent to an unresponsive primary would be of unknown outcome.
        """
        primary = self.primary_target
        if primary is None or primary.refused_at is not None:
            return None
        if not primary.takes_work(self._loop.time()):
            return None
        return primary if primary.unresponsive_since is None else None

    def _has_no_successor(self) -> bool:
        """Return whether a leaving primary gets no work and nothing can replace it."""
        primary = self.primary_target
        if primary is None or primary.takes_work(self._loop.time()):
            return False
        return all(
            tgt.unresponsive_since is not None
            for tgt in self.targets.values()
            if tgt is not primary
        )

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def probe_primary(self, target: Target) -> bool | None:
        """Probe a target; return True if it is the primary, False if it denies this.

        None if the answer is unclear or none arrives.

        An empty transaction needs no slot, confirms that the target is the primary and
        returns its position.
        """
        deadline = self._loop.time() + PROBE_TIMEOUT_S
        try:
            link = await target.pool.acquire(SLOTLESS_PRIORITY, deadline, pinned=True)
        except (PoolClosed, TurnTooLate):
            return None
        except TimeoutError:
            since_full_s = self._loop.time() - target.pool.full_at
            # All connections may be in use by statements that never get an answer.
            has_not_answered_recently = (
                target.last_response_at < deadline - PROBE_TIMEOUT_S - _STATEMENT_WAIT_S
            )
            if since_full_s > _RECENTLY_FULL_S and (
                target.pool.in_use == 0 or has_not_answered_recently
            ):
                self.record_unresponsive(target)
            return None
        return await self._exchange_probe(target, link, deadline)

    async def _exchange_probe(
        self, target: Target, link: TargetLink, deadline: float
    ) -> bool | None:
        requested_at = boottime()
        begun, ended = link.send(Begin(), Rollback())
        try:
            async with asyncio.timeout_at(deadline):
                answer = await begun
                await ended
        except (TargetLost, TimeoutError) as exc:
            target.pool.discard(link, pinned=True)
            if isinstance(exc, TimeoutError):
                self.record_unresponsive(target)
            else:
                self.suspect(target)
            return None
        target.pool.release(link, pinned=True)
        if answer.retry_after_s is not None:
            # The target's owner answered in its place.
            return None
        target.record_response(self._loop.time())
        return self.record_begin_answer(target, answer, requested_at)

    def record_begin_answer(
        self, target: Target, answer: Answer, requested_at: float
    ) -> bool | None:
        """Record a target's answer to a plain BEGIN.

        Returns True if the target is the primary, False if it answers that it is not,
        None if the answer shows neither.
        """
        if answer.ok:
            self.record_primary(target, answer.position, requested_at)
            return True
        if answer.failure is Failure.READ_ONLY:
            self.record_not_primary(target)
            # A log of a newer term than the primary's shows that the primary may have
            # been replaced, although this target does not lead.
            outdated = answer.position is not None and answer.position.term > self.term
            return None if outdated else False
        return None

    async def fetch_min_position(
        self, max_age_s: float, deadline: float
    ) -> tuple[Position, float]:
        """Return the minimum position for reads with an age bound, and its age.

        A log that holds the position has every commit that was acknowledged more than
        `max_age_s` seconds ago. Raises StatementError.
        """
        while True:
            now = boottime()
            found = self._history.position_since(now - max_age_s + _CLOCK_MARGIN_S)
            if found is not None:
                newest = self._history.newest_time()
                if now - newest > _REFRESH_AGE_SHARE * max_age_s:
                    self._start_refresh()
                return found[0], now - found[1]
            await self.wait_for_primary(deadline)
            try:
                async with asyncio.timeout_at(deadline):
                    await asyncio.shield(self._start_refresh())
            except TimeoutError:
                raise StatementError(
                    Failure.BUSY,
                    f"no recent position of service {self.service} known",
                    0.5,
                ) from None

    def _start_refresh(self) -> "asyncio.Task[None]":
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = self._loop.create_task(self._refresh_position())
        return self._refresh_task

    async def _refresh_position(self) -> None:
        if self.request_position is not None and await self.request_position(self):
            return
        await self._probe_presumed_primary()

    async def _probe_presumed_primary(self) -> None:
        primary, requested_at = self.primary_target, boottime()
        if (
            primary is None
            or await self.probe_primary(primary) is None
            or not await self.confirm_primary(primary, requested_at)
        ):
            # A caller that repeats a failed probe must not do so at once.
            await asyncio.sleep(_SEARCH_PERIOD_S)

    def record_peer_position(self, position: Position, requested_at: float) -> bool:
        """Record a position from another proxy; return whether its request is newer."""
        before = self._history.newest_time()
        self._history.observe(position, requested_at)
        return self._history.newest_time() > before

    async def fetch_newest_position(
        self, max_age_s: float
    ) -> tuple[Position, float] | None:
        """Return the newest position and when it was requested.

        Probes the primary first if that is longer ago than `max_age_s`.
        """
        if boottime() - self._history.newest_time() > max_age_s:
            await self._probe_presumed_primary()
        return self._history.newest()
