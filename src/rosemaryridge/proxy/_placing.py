"""Choose the target of a request and get a connection to it."""

import typing as t

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Position
from rosemaryridge.pool import PoolLease
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import ReadMark
from rosemaryridge.proxy._caller_state import Terms
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.routing import Need
from rosemaryridge.telemetry import STAGE_SECONDS
from rosemaryridge.telemetry import Log
from rosemaryridge.wire import TargetConnection

_RETRY_AFTER_S = 0.5

log = Log("request")


class Placer:
    """Place one caller's requests so that it never goes back in time."""

    def __init__(self, parts: Parts, state: CallerState):
        self._parts = parts
        self._state = state
        self.on_notice: t.Callable[[t.Any], None] | None = None

    async def place(
        self, write: bool, terms: Terms, exclude: frozenset[str] = frozenset()
    ) -> Placement:
        """Return a connection to a fitting target; raise Refusal.

        A connection error tells that the connection was lost before it was used.
        """
        while True:
            placement = await self._choose(write, terms, exclude)
            if not self._is_outdated(placement):
                return await self._ready(placement, terms)
            # The primary was replaced while a connection was waited for.
            placement.lease.discard()

    def _is_outdated(self, placement: Placement) -> bool:
        view = self._parts.group.view(self._state.service)
        return placement.primary and placement.term < view.term

    async def _choose(
        self, write: bool, terms: Terms, exclude: frozenset[str]
    ) -> Placement:
        parts, state = self._parts, self._state
        view = parts.group.view(state.service)
        need = await self._need(view, write, terms, exclude)
        service = parts.policy(state.service).service
        target = parts.router.choose(service, view, need, parts.timer.now())
        to_primary = target == view.primary
        if to_primary and await self._await_replica(service, view, need, terms):
            target = parts.router.choose(service, view, need, parts.timer.now())
        term, primary = view.term, target == view.primary
        begin = parts.timer.now()
        lease = await self._acquire(target, terms)
        self._observe("queue", begin)
        return Placement(target, term, primary, parts.timer.now(), lease)

    async def _ready(self, placement: Placement, terms: Terms) -> Placement:
        """Make a connection fit for its caller."""
        parts, service = self._parts, self._state.service
        target, primary = placement.target, placement.primary
        parts.in_flight.add(service, placement)
        try:
            await self._prepare(placement.connection)
            placement.check()
            if not primary:
                await self._share_mark(target, terms)
        except BaseException:
            parts.in_flight.discard(service, placement)
            placement.lease.discard()
            raise
        placement.connection.notice_handler = self.on_notice
        placement.started_at = parts.timer.now()
        parts.router.started(service, target)
        term = placement.term
        log.note("A target is chosen.", target=target, term=term, primary=primary)
        return placement

    async def _await_replica(self, service, view, need: Need, terms: Terms) -> bool:
        """Wait while a replica is about to catch up; return whether it was waited."""
        if need.write:
            return False
        parts = self._parts
        waited = False
        wait_s = terms.replica_wait_s
        until = min(terms.deadline, parts.timer.now() + wait_s)
        while parts.router.replica_expected(
            service, view, need, wait_s, parts.timer.now()
        ):
            waited = True
            if not await parts.group.next_status(service.name, until):
                break
        return waited

    async def _acquire(self, target: str, terms: Terms) -> PoolLease:
        parts, state = self._parts, self._state
        try:
            return await parts.pools.acquire(
                state.service, target, state.business, terms.priority, terms.deadline
            )
        except Refusal as exc:
            if exc.code is codes.limits.NO_TARGET:
                parts.router.failed(state.service, target)
            raise

    async def _need(self, view, write: bool, terms: Terms, exclude) -> Need:
        if write:
            return Need(write=True, exclude=exclude)
        if self._parts.faults.ignore_token:
            return Need(max_age_s=terms.max_age_s, exclude=exclude)
        self._resolve_mark(view)
        position = await self._required(view, terms)
        if position is None:
            return Need(write=True, exclude=exclude)
        return Need(
            position=position,
            max_age_s=terms.max_age_s,
            exclude=exclude | self._others(view),
        )

    async def _required(self, view, terms: Terms) -> Position | None:
        state = self._state
        if not terms.session:
            return state.session.required
        found = await self._parts.directory.find(state.service, terms.session)
        if found is None:
            return None
        state.session.observe(found.position)
        if found.replica and not self._mark_shared(found.replica):
            return None
        return state.session.required

    def _mark_shared(self, replica: str) -> bool:
        """Note where another proxy read for the session; say if one mark is enough."""
        mark = self._state.mark
        if mark is not None:
            return mark.target == replica
        self._state.mark = ReadMark(replica, self._parts.timer.now())
        return True

    def _resolve_mark(self, view) -> None:
        """Learn what the last read had seen at most, once its target tells."""
        mark = self._state.mark
        seen = view.statuses.get(mark.target) if mark else None
        if seen is None or seen.seen_at < mark.at:
            return
        self._state.mark = None
        self._state.session.observe(seen.status.applied)

    def _others(self, view) -> frozenset[str]:
        """Return the replicas that may lag behind what was read last."""
        mark = self._state.mark
        if mark is None:
            return frozenset()
        names = view.statuses.keys() - {mark.target, view.primary}
        return frozenset(names)

    async def _prepare(self, connection: TargetConnection) -> None:
        """Give a connection the caller's own settings."""
        wanted = self._state.variables
        if connection.variables == wanted:
            return
        for name in connection.variables.keys() - wanted.keys():
            await connection.command(f"RESET {name}")
            del connection.variables[name]
        for name, value in wanted.items():
            if connection.variables.get(name) != value:
                await connection.command(f"SET {name} = {value}")
                connection.variables[name] = value

    async def _share_mark(self, target: str, terms: Terms) -> None:
        """Let other proxies know what the session reads from; raise Refusal."""
        if terms.session and not self._parts.faults.ignore_token:
            state = self._state
            await self._parts.directory.mark(
                state.service,
                terms.session,
                state.session.required,
                target,
                terms.deadline,
            )

    def read_from_replica(self, placement: Placement) -> None:
        """Note that a replica answered a read now, at a position not known yet."""
        self._state.mark = ReadMark(placement.target, self._parts.timer.now())

    async def confirm(self, placement: Placement, terms: Terms) -> None:
        """Wait until a majority holds all that the primary has now; raise Refusal.

        It serves reads as well as writes: what a caller has seen must last.
        """
        begin = self._parts.timer.now()
        position = await self._parts.group.acknowledge(
            self._state.service, placement.target, placement.term, terms.deadline
        )
        self._observe("acknowledge", begin)
        log.note("A majority holds the position.", position=position)
        self._state.mark = None
        self._state.session.observe(position)
        if terms.session:
            await self._parts.directory.record(
                self._state.service, terms.session, position, terms.deadline
            )

    async def settle(self, terms: Terms) -> None:
        """Raise the session's position above all that it has read; raise Refusal."""
        parts, state = self._parts, self._state
        view = parts.group.view(state.service)
        self._resolve_mark(view)
        if state.mark is None:
            return
        if view.primary is None:
            raise Refusal(codes.group.NO_PRIMARY, retry_after_s=_RETRY_AFTER_S)
        # Whatever a replica has applied, the primary has as well.
        try:
            position = await parts.group.acknowledge(
                state.service, view.primary, view.term, terms.deadline
            )
        except Refusal as exc:
            # Nothing was sent, so that the codes of writes would say too much.
            raise Refusal(codes.group.NO_PRIMARY, retry_after_s=_RETRY_AFTER_S) from exc
        state.mark = None
        state.session.observe(position)

    def lost(self, placement: Placement) -> None:
        """Doubt the target's other connections and have its state looked at."""
        service = self._state.service
        self._parts.group.suspect(service, placement.target, "connection lost")
        self._parts.pools.pool(service, placement.target).close_idle()

    def done(self, placement: Placement, ok: bool, reusable: bool) -> None:
        """Give the connection back, or close it."""
        parts = self._parts
        parts.in_flight.discard(self._state.service, placement)
        self._observe("target", placement.started_at)
        log.note("The target is done.", target=placement.target, ok=ok)
        latency_s = parts.timer.now() - placement.started_at
        parts.router.finished(self._state.service, placement.target, latency_s, ok)
        connection = placement.connection
        connection.notice_handler = None
        reusable = reusable and not placement.replaced
        if reusable or parts.faults.reuse_abandoned:
            placement.lease.release()
        else:
            placement.lease.discard()

    def _observe(self, stage: str, begin: float) -> None:
        passed_s = self._parts.timer.now() - begin
        self._parts.metrics.observe(STAGE_SECONDS, passed_s, stage, self._state.service)
