"""Run every group that this proxy serves or watches."""

import random

from rosemaryridge.codes import group as codes
from rosemaryridge.config import FaultSettings
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.group._acknowledge import Waiter
from rosemaryridge.group._group import Group
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._view import GroupView
from rosemaryridge.model import Position
from rosemaryridge.peer import PeerBus
from rosemaryridge.platform import ObjectStore
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService


class GroupService:
    """Know who leads each group, and acknowledge what a majority holds."""

    def __init__(
        self,
        cfg: GroupSettings,
        timer: TimerService,
        rng: random.Random,
        port: TargetPort,
        bus: PeerBus,
        store: ObjectStore,
        metrics: Metrics,
        faults: FaultSettings | None = None,
    ):
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._port = port
        self._bus = bus
        self._store = store
        self._metrics = metrics
        self._faults = faults or FaultSettings()
        self._groups: dict[str, Group] = {}
        self._ticker: Subscription | None = None

    async def start(self) -> None:
        """Begin to watch."""
        self._ticker = self._timer.every(
            self._cfg.poll_period_s, self._tick, self._cfg.jitter, self._rng
        )

    async def stop(self) -> None:
        """Stop watching."""
        if self._ticker is not None:
            self._ticker.cancel()
        for group in self._groups.values():
            group.stop()

    def adopt(self, service: ServiceConfig) -> None:
        """Serve a new or changed service."""
        group = self._groups.get(service.name)
        if group is not None:
            group.adopt(service)
            return
        group = Group(self._cfg, self._faults, self._timer, self._port, service)
        self._groups[service.name] = group
        group.poll()

    def view(self, service: str) -> GroupView:
        """Return what is known of a service's group."""
        return self._groups[service].view

    async def acknowledge(
        self,
        service: str,
        target: str,
        term: int,
        deadline: float,
        position: Position | None = None,
    ) -> Position:
        """Return the position of a write that has committed, once a majority holds it.

        `position` is the commit's own where the caller knows it. Raises Refusal.
        """
        waiter = Waiter(target, term, self._timer.now(), position)
        return await self._wait(service, waiter, deadline)

    async def confirm_read(
        self,
        service: str,
        target: str,
        term: int,
        position: Position,
        deadline: float,
        since: float | None = None,
    ) -> None:
        """Return once what a primary's read saw is held by a majority in its term.

        `since` is when the read was sent, where the caller knows it. Raises Refusal.
        """
        since = self._timer.now() if since is None else since
        covered = max(position, Position(term, 0))
        await self._wait(service, Waiter(target, term, since, covered, True), deadline)

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Look at a target again at once, on evidence from requests."""
        group = self._groups.get(service)
        if group is not None:
            group.poll()

    async def _wait(self, service: str, waiter: Waiter, deadline: float) -> Position:
        settled = await self._groups[service].wait(waiter, deadline)
        code = codes.ACK_TIMEOUT if settled is None else settled.code
        if code is not None:
            self._metrics.refuse(code, service)
            raise Refusal(code)
        return settled.position

    def _tick(self) -> None:
        for group in self._groups.values():
            group.poll()
