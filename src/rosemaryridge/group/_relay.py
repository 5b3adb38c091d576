"""Fetch the views of groups that other proxies watch."""

import asyncio
import typing as t
import zlib

from rosemaryridge.config import GroupSettings
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.group._messages import GroupAnswer
from rosemaryridge.group._messages import GroupQuery
from rosemaryridge.group._messages import GroupRow
from rosemaryridge.group._messages import pack
from rosemaryridge.group._view import GroupView
from rosemaryridge.peer import PeerBus
from rosemaryridge.timer import TimerService

Take = t.Callable[[GroupRow, float], None]
Fail = t.Callable[[tuple[str, ...]], None]


class ViewRelay:
    """Ask watchers in batches, and answer as one."""

    def __init__(
        self,
        cfg: GroupSettings,
        timer: TimerService,
        bus: PeerBus,
        vm: str,
        views: t.Callable[[str], GroupView | None],
        take: Take,
        fail: Fail,
    ):
        self._cfg = cfg
        self._timer = timer
        self._bus = bus
        self._hash = zlib.crc32(vm.encode())
        self._views = views
        self._take = take
        self._fail = fail
        self._tasks: set[asyncio.Task] = set()
        bus.on_ask(GroupQuery, self._answer)

    def fetch(self, wanted: t.Mapping[str, tuple[str, ...]]) -> None:
        """Ask one watcher of each service; `wanted` maps services to watchers."""
        batches: dict[str, list[str]] = {}
        for service, watchers in wanted.items():
            watcher = watchers[self._hash % len(watchers)]
            batches.setdefault(watcher, []).append(service)
        for vm, services in batches.items():
            task = asyncio.get_running_loop().create_task(
                self._ask(vm, tuple(services))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Drop the questions under way."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, vm: str, services: tuple[str, ...]) -> None:
        asked_at = self._timer.now()
        timeout_s = self._cfg.status_timeout_s
        try:
            answer = await self._bus.ask(vm, GroupQuery(services), timeout_s)
        except PeerUnavailable:
            self._fail(services)
            return
        for row in t.cast(GroupAnswer, answer).groups:
            self._take(row, asked_at)

    def _answer(self, vm: str, query: GroupQuery) -> GroupAnswer:
        now = self._timer.now()
        views = [self._views(service) for service in query.services]
        return GroupAnswer(tuple(pack(view, now) for view in views if view is not None))
