"""Select the target of a request and lease a connection to it."""

import typing as t

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Position
from rosemaryridge.pool import PooledConnection
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import EffectiveOptions
from rosemaryridge.proxy._caller_state import ReadMark
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.routing import TargetRequirement
from rosemaryridge.telemetry import STAGE_SECONDS
from rosemaryridge.telemetry import Log
from rosemaryridge.wire import TargetConnection

_RETRY_AFTER_S = 0.5
# Limit on the wait of a read for the first status of its group.
_FIRST_STATUS_WAIT_S = 2.0

log = Log("request")


class TargetSelector:
    """Select targets for one caller's requests with session consistency.

    A caller never reads a state older than one that it has read or written.
    """

    def __init__(self, ctx: ProxyContext, state: CallerState):
        self._ctx = ctx
        self._state = state
        self.on_notice: t.Callable[[t.Any], None] | None = None

    async def acquire(
        self,
        write: bool,
        options: EffectiveOptions,
        exclude: frozenset[str] = frozenset(),
    ) -> Placement:
        """Return a placement on a target that meets the requirements of a request.

        Raise Refusal, or one of CONNECTION_ERRORS if the connection was lost before
        the request used it.
        """
        while True:
            placement = await self._select(write, options, exclude)
            if not self._is_outdated(placement):
                return await self._prepare_placement(placement, options)
            # The primary was replaced while the request waited for a connection.
            placement.lease.discard()

    def _is_outdated(self, placement: Placement) -> bool:
        view = self._ctx.group.view(self._state.service)
        return placement.primary and placement.term < view.term

    async def _select(
        self, write: bool, options: EffectiveOptions, exclude: frozenset[str]
    ) -> Placement:
        ctx, state = self._ctx, self._state
        view = ctx.group.view(state.service)
        requirement = await self._requirement(view, write, options, exclude)
        service = ctx.policy(state.service).service
        if not write:
            await self._wait_until_known(service, view, requirement, options)
        target = ctx.router.choose(service, view, requirement, ctx.timer.now())
        is_to_primary = target == view.primary
        if is_to_primary and await self._wait_for_replica(
            service, view, requirement, options
        ):
            target = ctx.router.choose(service, view, requirement, ctx.timer.now())
        term, primary = view.term, target == view.primary
        started_at = ctx.timer.now()
        lease = await self._lease_connection(target, options)
        self._observe("queue", started_at)
        return Placement(target, term, primary, ctx.timer.now(), lease)

    async def _prepare_placement(
        self, placement: Placement, options: EffectiveOptions
    ) -> Placement:
        """Apply the caller's variables and record the read mark of its session."""
        ctx, service = self._ctx, self._state.service
        target, primary = placement.target, placement.primary
        ctx.in_flight.add(service, placement)
        try:
            await self._apply_variables(placement.connection)
            placement.raise_if_replaced()
            if not primary:
                await self._record_mark(target, options)
        except BaseException:
            ctx.in_flight.discard(service, placement)
            placement.lease.discard()
            raise
        placement.connection.notice_handler = self.on_notice
        placement.started_at = ctx.timer.now()
        ctx.router.started(service, target)
        term = placement.term
        log.note("A target is chosen.", target=target, term=term, primary=primary)
        return placement

    async def _wait_until_known(
        self, service, view, requirement: TargetRequirement, options: EffectiveOptions
    ) -> None:
        """Wait until a target can serve a read or the primary is known.

        A proxy that has just started admits callers before enough targets have
        answered.
        """
        ctx = self._ctx
        wait_until = min(options.deadline, ctx.timer.now() + _FIRST_STATUS_WAIT_S)
        while view.primary is None and not ctx.router.has_replica(
            service, view, requirement, ctx.timer.now()
        ):
            if not await ctx.group.next_status(service.name, wait_until):
                break

    async def _wait_for_replica(
        self, service, view, requirement: TargetRequirement, options: EffectiveOptions
    ) -> bool:
        """Wait while a replica is expected to catch up; return whether it waited."""
        if requirement.write:
            return False
        ctx = self._ctx
        has_waited = False
        wait_s = options.replica_wait_s
        wait_until = min(options.deadline, ctx.timer.now() + wait_s)
        while ctx.router.replica_expected(
            service, view, requirement, wait_s, ctx.timer.now()
        ):
            has_waited = True
            if not await ctx.group.next_status(service.name, wait_until):
                break
        return has_waited

    async def _lease_connection(
        self, target: str, options: EffectiveOptions
    ) -> PooledConnection:
        ctx, state = self._ctx, self._state
        try:
            return await ctx.pools.acquire(
                state.service,
                target,
                state.business,
                options.priority,
                options.deadline,
            )
        except Refusal as exc:
            if exc.code is codes.limits.NO_TARGET:
                ctx.router.failed(state.service, target)
            raise

    async def _requirement(
        self, view, write: bool, options: EffectiveOptions, exclude
    ) -> TargetRequirement:
        if write:
            return TargetRequirement(write=True, exclude=exclude)
        if self._ctx.faults.ignore_token:
            return TargetRequirement(max_age_s=options.max_age_s, exclude=exclude)
        self._resolve_mark(view)
        position = await self._required_position(view, options)
        if position is None:
            return TargetRequirement(write=True, exclude=exclude)
        return TargetRequirement(
            position=position,
            max_age_s=options.max_age_s,
            exclude=exclude | self._possibly_lagging(view),
        )

    async def _required_position(
        self, view, options: EffectiveOptions
    ) -> Position | None:
        state = self._state
        if not options.session:
            return state.session.required
        found = await self._ctx.directory.find(state.service, options.session)
        if found is None:
            return None
        state.session.observe(found.position)
        if found.replica and not self._adopt_shared_mark(found.replica):
            return None
        return state.session.required

    def _adopt_shared_mark(self, replica: str) -> bool:
        """Adopt the replica that another proxy read from for the session.

        Return False if the caller's last read was from a different replica: only one
        mark can be held, so that the read must go to the primary.
        """
        mark = self._state.read_mark
        if mark is not None:
            return mark.target == replica
        self._state.read_mark = ReadMark(replica, self._ctx.timer.now())
        return True

    def _resolve_mark(self, view) -> None:
        """Replace the read mark by a position once its target has reported one.

        The last read observed at most the position that its target reports later.
        """
        mark = self._state.read_mark
        observed = view.statuses.get(mark.target) if mark else None
        if observed is None or observed.seen_at < mark.at:
            return
        self._state.read_mark = None
        self._state.session.observe(observed.status.applied)

    def _possibly_lagging(self, view) -> frozenset[str]:
        """Return the replicas that may lag behind the replica of the last read."""
        mark = self._state.read_mark
        if mark is None:
            return frozenset()
        names = view.statuses.keys() - {mark.target, view.primary}
        return frozenset(names)

    async def _apply_variables(self, connection: TargetConnection) -> None:
        """Set the caller's variables on a connection, and reset all others."""
        variables = self._state.variables
        if connection.variables == variables:
            return
        for name in connection.variables.keys() - variables.keys():
            await connection.command(f"RESET {name}")
            del connection.variables[name]
        for name, value in variables.items():
            if connection.variables.get(name) != value:
                await connection.command(f"SET {name} = {value}")
                connection.variables[name] = value

    async def _record_mark(self, target: str, options: EffectiveOptions) -> None:
        """Record which replica the session reads from; raise Refusal."""
        if options.session and not self._ctx.faults.ignore_token:
            state = self._state
            await self._ctx.directory.mark(
                state.service,
                options.session,
                state.session.required,
                target,
                options.deadline,
            )

    def record_replica_read(self, placement: Placement) -> None:
        """Record that a replica answered a read now, at a position not known yet."""
        self._state.read_mark = ReadMark(placement.target, self._ctx.timer.now())

    async def confirm(self, placement: Placement, options: EffectiveOptions) -> None:
        """Wait until a majority holds the primary's current position; raise Refusal.

        Reads on the primary need the confirmation too: a caller must not observe
        data that a failover can still lose.
        """
        started_at = self._ctx.timer.now()
        position = await self._ctx.group.acknowledge(
            self._state.service, placement.target, placement.term, options.deadline
        )
        self._observe("acknowledge", started_at)
        log.note("A majority holds the position.", position=position)
        self._state.read_mark = None
        self._state.session.observe(position)
        if options.session:
            await self._ctx.directory.record(
                self._state.service, options.session, position, options.deadline
            )

    async def advance_position(self, options: EffectiveOptions) -> None:
        """Advance the session's position to cover every earlier read; raise Refusal."""
        ctx, state = self._ctx, self._state
        view = ctx.group.view(state.service)
        self._resolve_mark(view)
        if state.read_mark is None:
            return
        if view.primary is None:
            raise Refusal(codes.group.NO_PRIMARY, retry_after_s=_RETRY_AFTER_S)
        # The primary holds every change that a replica has applied.
        try:
            position = await ctx.group.acknowledge(
                state.service, view.primary, view.term, options.deadline
            )
        except Refusal as exc:
            # No write was sent, so that a code with the outcome of a write would be
            # wrong here.
            raise Refusal(codes.group.NO_PRIMARY, retry_after_s=_RETRY_AFTER_S) from exc
        state.read_mark = None
        state.session.observe(position)

    def report_lost(self, placement: Placement) -> None:
        """Report a lost connection to the group; close the target's idle connections.

        They may be broken as well.
        """
        service = self._state.service
        self._ctx.group.suspect(service, placement.target, "connection lost")
        self._ctx.pools.pool(service, placement.target).close_idle()

    def release(self, placement: Placement, ok: bool, reusable: bool) -> None:
        """Return the connection to its pool if it is reusable, else close it.

        `ok` counts as a success of the target in routing.
        """
        ctx = self._ctx
        ctx.in_flight.discard(self._state.service, placement)
        self._observe("target", placement.started_at)
        log.note("The target has finished the request.", target=placement.target, ok=ok)
        latency_s = ctx.timer.now() - placement.started_at
        ctx.router.finished(self._state.service, placement.target, latency_s, ok)
        connection = placement.connection
        connection.notice_handler = None
        reusable = reusable and not placement.replaced
        if reusable or ctx.faults.reuse_abandoned:
            placement.lease.release()
        else:
            placement.lease.discard()

    def _observe(self, stage: str, started_at: float) -> None:
        duration_s = self._ctx.timer.now() - started_at
        self._ctx.metrics.observe(STAGE_SECONDS, duration_s, stage, self._state.service)
