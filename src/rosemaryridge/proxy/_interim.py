"""Stand in for parts of the proxy that are not there yet."""

import asyncio

from rosemaryridge import codes
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus

_POLL_S = 0.02


class Seen:
    """Hold a status and when it was asked for."""

    def __init__(self, status: TargetStatus, seen_at: float):
        self.status = status
        self.seen_at = seen_at


class View:
    """Hold the newest statuses."""

    def __init__(self, service: ServiceConfig):
        self.service = service.name
        self.term = 0
        self.primary: str | None = None
        self.statuses: dict[str, Seen] = {}


class InterimGroup:
    """Poll each target and wait for a majority; it replaces no primary."""

    def __init__(self, timer, port):
        self._timer = timer
        self._port = port
        self._views: dict[str, View] = {}
        self._tasks: list[asyncio.Task] = []

    def adopt(self, service: ServiceConfig) -> None:
        """Poll a service's targets from now on."""
        view = self._views[service.name] = View(service)
        for target in service.targets:
            task = asyncio.get_running_loop().create_task(self._poll(view, target))
            self._tasks.append(task)

    def view(self, service: str) -> View:
        """Return what is known of a group."""
        return self._views[service]

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.cancel()

    async def _poll(self, view: View, target) -> None:
        while True:
            sent = self._timer.now()
            try:
                status = await self._port.status(target, 0.5)
            except TargetUnavailable:
                await asyncio.sleep(_POLL_S)
                continue
            view.statuses[target.name] = Seen(status, sent)
            if status.role is Role.PRIMARY and status.term >= view.term:
                view.term, view.primary = status.term, target.name
            await asyncio.sleep(_POLL_S)

    async def acknowledge(self, service, target, term, deadline) -> Position:
        """Wait for a majority."""
        view, since = self._views[service], self._timer.now()
        position = None
        while self._timer.now() < deadline:
            seen = view.statuses[target]
            if position is None and seen.seen_at >= since:
                position = seen.status.received
            if position is not None:
                held = [s for s in view.statuses.values() if self._holds(s, position)]
                if len(held) > len(view.statuses) // 2:
                    return position
            await asyncio.sleep(0.005)
        raise Refusal(codes.group.ACK_TIMEOUT)

    @staticmethod
    def _holds(seen: Seen, position: Position) -> bool:
        return seen.status.received >= position

    async def confirm_read(self, service, target, term, position, deadline) -> None:
        """Trust the primary."""


class InterimDirectory:
    """Remember sessions in this process alone."""

    def __init__(self):
        self._known: dict[tuple[str, str], Position] = {}

    async def required(self, service, session, view):
        """Return what is known here."""
        return self._known.get((service, session))

    def record(self, service, session, position) -> None:
        """Remember here."""
        key = (service, session)
        self._known[key] = max(position, self._known.get(key, ORIGIN))
