"""Know one group's targets, who leads it and how far its log is."""

import asyncio
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._freshness import PrimaryHistory
from rosemaryridge.core._overload import Overload
from rosemaryridge.core._overload import replicas_lag
from rosemaryridge.core._pool import NO_SLOT
from rosemaryridge.core._pool import PoolClosed
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Link
from rosemaryridge.core.commands import Rollback
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# Opening a transaction takes no slot, so a healthy target answers within two
# network delays; the longest known is 40 ms.
PING_TIMEOUT_S = 0.25
# While no primary is known the targets are asked this often.
_SEARCH_PERIOD_S = 0.08
# A target that has gone silent is asked this often whether it is back.
_SILENT_PERIOD_S = 0.4
# A target is asked when a statement has waited 150 ms; one that answered nothing
# from then until the question ran out is silent.
_UNHEARD_S = 0.15
# A target that refused a connection this recently is full, not silent.
_FULL_RECENT_S = 1.0
# How much older a position may look than it is: the clocks' grain and a timer.
_AGE_MARGIN_S = 0.05
# A fresh position is asked for once the newest is this share of the bound old.
_REFRESH_SHARE = 0.6
_RETRY_AFTER_S = 0.5


class Group:
    """Hold the targets of one service and the evidence about its primary."""

    def __init__(
        self, service: str, log: EventLog, on_trouble: t.Callable[["Group"], None]
    ):
        self.service = service
        self.targets: dict[str, Target] = {}
        self.primary: str | None = None
        # That of the primary's newest position.
        self.term = 0
        self._proved_by: str | None = None
        self._proved_at = float("-inf")
        # Asks a nearby proxy for the position; None where there is none to ask.
        self.ask_home: t.Callable[[Group], t.Awaitable[bool]] | None = None
        self._overload = Overload()
        # Whether this proxy reaches neither the store nor a primary.
        self.cut_off = False
        self._log = log
        self._on_trouble = on_trouble
        self._history = PrimaryHistory()
        self._loop = asyncio.get_running_loop()
        self._found: asyncio.Future[None] | None = None
        self._search: asyncio.Task[None] | None = None
        self._leaderless_since = 0.0
        self._refresh: asyncio.Task[None] | None = None
        self._pings: set[asyncio.Task[t.Any]] = set()

    @property
    def lead(self) -> Target | None:
        """Return the target that is taken for the primary."""
        return self.targets.get(self.primary) if self.primary else None

    def proved(self, target: Target, position: Position | None, sent_at: float) -> None:
        """Take in that a target led after `sent_at`, at a position of its log.

        The position's term is that of the newest commit, which a new primary has
        from one before it; all of the last term may be lost. So the newer proof
        counts, and the higher term only beside an older one.
        """
        if position is None:
            return
        if target.id != self._proved_by:
            if sent_at < self._proved_at and position.term <= self.term:
                return
            self._take_lead(target, position.term)
        self._proved_at = max(self._proved_at, sent_at)
        self.term = max(self.term, position.term)
        self._history.observe(position, sent_at)
        target.applied = max(target.applied, position)

    def claimed(self, target: Target) -> None:
        """Take in that a target says that it leads; proof may tell otherwise."""
        if self.primary is None or self.primary not in self.targets:
            self.primary = target.id
            self._wake()
        elif target.id != self.primary:
            self._watch_over(self.check(target))

    def deposed(self, target: Target) -> None:
        """Take in that a target answered that it does not lead."""
        if target.id == self.primary:
            self._log.write(
                "primary_lost", service=self.service, target=target.id, term=self.term
            )
            self.primary = self._proved_by = None
            self._start_search()

    def suspect(self, target: Target) -> None:
        """Take in that the primary may be down."""
        if target.id == self.primary:
            self._on_trouble(self)

    def crowded(self, target: Target) -> None:
        """Take in that a target had no room for a statement in time."""
        if target.id != self.primary:
            return
        now = self._loop.time()
        self._overload.refused(now)
        if self.needs_replicas(now):
            self._on_trouble(self)

    def needs_replicas(self, now: float) -> bool:
        """Return whether the primary is overloaded while no replica can help."""
        replicas = (one for one in self.targets.values() if one.id != self.primary)
        return self._overload.lasts(now) and replicas_lag(replicas)

    def replicas_keep_up(self) -> None:
        """Take in that a replica was asked and is up to date."""
        self._overload.relieved(self._loop.time())

    def silent(self, target: Target) -> None:
        """Take in that a target did not answer; it is asked until it does."""
        if target.silent_since is None:
            self._log.write("target_silent", service=self.service, target=target.id)
            target.silent(self._loop.time())
            self._watch_over(self._ask_until_heard(target))
        self.suspect(target)

    def refused(self, target: Target) -> None:
        """Take in that nothing listens at a target's address."""
        target.refused_at = self._loop.time()
        self.silent(target)

    async def _ask_until_heard(self, target: Target) -> None:
        while self.targets.get(target.id) is target and target.silent_since is not None:
            await asyncio.sleep(_SILENT_PERIOD_S)
            if target.silent_since is not None:
                await self.check(target)

    def _take_lead(self, target: Target, term: int) -> None:
        self._log.write(
            "primary_found",
            service=self.service,
            target=target.id,
            term=term,
            before=self.primary,
            before_term=self.term,
        )
        if self._proved_at > 0.0:
            # Not the first that is known.
            self._overload.relieved(self._loop.time())
        self.primary = self._proved_by = target.id
        self.term = term
        # What the primary before it committed last may be lost.
        self._history = PrimaryHistory()
        for one in self.targets.values():
            one.applied = ORIGIN
        self._wake()

    def _wake(self) -> None:
        if self._found is not None and not self._found.done():
            self._found.set_result(None)

    async def wait_for_lead(self, deadline: float) -> Target:
        """Return the primary; raise StatementError.

        It answers the load of a failover: statements queue while another primary
        may be expected, and are refused at once where this proxy is cut off.
        """
        while (lead := self._usable_lead()) is None:
            self._start_search()
            if self._found is None or self._found.done():
                self._found = self._loop.create_future()
            if self.cut_off:
                raise StatementError(
                    Failure.BUSY, f"{self.service} is out of reach", _RETRY_AFTER_S
                )
            try:
                async with asyncio.timeout_at(deadline):
                    await asyncio.shield(self._found)
            except TimeoutError:
                raise StatementError(
                    Failure.BUSY, f"{self.service} has no primary", _RETRY_AFTER_S
                ) from None
        return lead

    def set_cut_off(self, cut_off: bool) -> None:
        """Take in whether this proxy is cut off; waiting statements end then."""
        self.cut_off = cut_off
        if cut_off:
            self._wake()

    def leaderless_s(self) -> float:
        """Return for how long no primary has been known, 0 where one is."""
        if self._search is None or self._search.done():
            return 0.0
        return self._loop.time() - self._leaderless_since

    def _start_search(self) -> None:
        if self._search is None or self._search.done():
            self._leaderless_since = self._loop.time()
            self._search = self._loop.create_task(self._find())

    async def _find(self) -> None:
        self._on_trouble(self)
        while self._usable_lead() is None:
            usable = list(self.targets.values())
            if usable:
                await asyncio.wait(
                    [self._watch_over(self.check(one)) for one in usable],
                    timeout=_SEARCH_PERIOD_S,
                )
            await asyncio.sleep(_SEARCH_PERIOD_S)
        self._wake()

    def _usable_lead(self) -> Target | None:
        """Return the primary unless it is known not to answer.

        A write that is sent to a silent primary would end in doubt.
        """
        lead = self.lead
        if lead is None or lead.refused_at is not None:
            return None
        return lead if lead.silent_since is None else None

    def _watch_over(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._pings.add(task)
        task.add_done_callback(self._pings.discard)
        return task

    async def check(self, target: Target) -> bool | None:
        """Ask whether a target leads; None where it does not answer.

        An empty transaction proves the lead and tells the position at no slot.
        """
        deadline = self._loop.time() + PING_TIMEOUT_S
        try:
            link = await target.pool.acquire(NO_SLOT, deadline, pinned=True)
        except (PoolClosed, TurnTooLate):
            return None
        except TimeoutError:
            full_s = self._loop.time() - target.pool.full_at
            # Every connection may be in use by statements that are not answered.
            unheard = target.heard_at < deadline - PING_TIMEOUT_S - _UNHEARD_S
            if full_s > _FULL_RECENT_S and (target.pool.lent == 0 or unheard):
                self.silent(target)
            return None
        return await self._ping(target, link, deadline)

    async def _ping(self, target: Target, link: Link, deadline: float) -> bool | None:
        sent_at = boottime()
        begun, ended = link.send(Begin(), Rollback())
        try:
            async with asyncio.timeout_at(deadline):
                answer = await begun
                await ended
        except (TargetLost, TimeoutError) as exc:
            target.pool.discard(link, pinned=True)
            if isinstance(exc, TimeoutError):
                self.silent(target)
            else:
                self.suspect(target)
            return None
        target.pool.release(link, pinned=True)
        target.heard(self._loop.time())
        return self.take_begin(target, answer, sent_at)

    def take_begin(self, target: Target, answer: Answer, sent_at: float) -> bool | None:
        """Take in a target's answer to a plain BEGIN; return whether it leads."""
        if answer.ok:
            self.proved(target, answer.position, sent_at)
            return True
        if answer.failure is Failure.READ_ONLY:
            self.deposed(target)
            return False
        return None

    async def floor(self, max_age_s: float, deadline: float) -> tuple[Position, float]:
        """Return a position that bounds the age of data, and its own age.

        A log that holds it misses no commit acknowledged longer ago than
        `max_age_s`. Raises StatementError.
        """
        while True:
            now = boottime()
            found = self._history.position_since(now - max_age_s + _AGE_MARGIN_S)
            if found is not None:
                newest = self._history.newest_time()
                if now - newest > _REFRESH_SHARE * max_age_s:
                    self._start_refresh()
                return found[0], now - found[1]
            await self.wait_for_lead(deadline)
            try:
                async with asyncio.timeout_at(deadline):
                    await asyncio.shield(self._start_refresh())
            except TimeoutError:
                raise StatementError(
                    Failure.BUSY, f"{self.service}: the age of data is unknown", 0.5
                ) from None

    def _start_refresh(self) -> "asyncio.Task[None]":
        if self._refresh is None or self._refresh.done():
            self._refresh = self._loop.create_task(self._ask_position())
        return self._refresh

    async def _ask_position(self) -> None:
        if self.ask_home is not None and await self.ask_home(self):
            return
        await self._ask_primary()

    async def _ask_primary(self) -> None:
        lead = self.lead
        if lead is None or await self.check(lead) is None:
            # Without an answer the next try must not follow at once.
            await asyncio.sleep(_SEARCH_PERIOD_S)

    def learned(self, position: Position, proved_at: float) -> bool:
        """Take in a position that another proxy proved; return whether it is newer."""
        before = self._history.newest_time()
        self._history.observe(position, proved_at)
        return self._history.newest_time() > before

    async def newest(self, age_s: float) -> tuple[Position, float] | None:
        """Return the newest position and when it was proved, asking if it is old."""
        if boottime() - self._history.newest_time() > age_s:
            await self._ask_primary()
        return self._history.newest()
