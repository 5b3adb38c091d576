"""Exchange the views of groups between watchers and other proxies."""

import asyncio
import typing as t
import zlib

from rosemaryridge.config import GroupSettings
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.group._messages import GroupAnswer
from rosemaryridge.group._messages import GroupQuery
from rosemaryridge.group._messages import GroupRow
from rosemaryridge.group._messages import encode_view
from rosemaryridge.group._view import GroupView
from rosemaryridge.peer import PeerBus
from rosemaryridge.timer import TimerService

OnRow = t.Callable[[GroupRow, float], None]
OnFailure = t.Callable[[tuple[str, ...]], None]


class ViewExchange:
    """Fetch views from watchers in batches and answer such requests of other proxies.

    `on_row` gets each fetched view and the time at which its request was sent,
    `on_failure` the services whose watcher did not answer. `get_view` returns the
    view of a service that this proxy watches, None for any other.
    """

    def __init__(
        self,
        cfg: GroupSettings,
        timer: TimerService,
        bus: PeerBus,
        vm: str,
        get_view: t.Callable[[str], GroupView | None],
        on_row: OnRow,
        on_failure: OnFailure,
    ):
        self._cfg = cfg
        self._timer = timer
        self._bus = bus
        self._vm_hash = zlib.crc32(vm.encode())
        self._get_view = get_view
        self._on_row = on_row
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()
        bus.on_ask(GroupQuery, self._answer)

    def fetch(self, watchers_by_service: t.Mapping[str, tuple[str, ...]]) -> None:
        """Request the view of each service from one of its watchers."""
        batches: dict[str, list[str]] = {}
        for service, watchers in watchers_by_service.items():
            watcher = watchers[self._vm_hash % len(watchers)]
            batches.setdefault(watcher, []).append(service)
        for vm, services in batches.items():
            task = asyncio.get_running_loop().create_task(
                self._ask(vm, tuple(services))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the requests under way."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, vm: str, services: tuple[str, ...]) -> None:
        asked_at = self._timer.now()
        timeout_s = self._cfg.status_timeout_s
        try:
            answer = await self._bus.ask(vm, GroupQuery(services), timeout_s)
        except PeerUnavailable:
            self._on_failure(services)
            return
        for row in t.cast(GroupAnswer, answer).groups:
            self._on_row(row, asked_at)

    def _answer(self, vm: str, query: GroupQuery) -> GroupAnswer:
        now = self._timer.now()
        views = [self._get_view(service) for service in query.services]
        return GroupAnswer(
            tuple(encode_view(view, now) for view in views if view is not None)
        )
