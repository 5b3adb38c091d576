"""Store the hint that names a group's primary."""

import asyncio

import msgspec

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError
from rosemaryridge.objects import ObjectStore
from rosemaryridge.telemetry import Log
from rosemaryridge.timer import TimerService

KIND = "group"
_RETRY_S = 2.0

log = Log("group")


class GroupHint(msgspec.Struct, frozen=True):
    """Name a group's primary and its term."""

    term: int
    primary: str


class HintWriter:
    """Write each group's hint in the background; failover does not wait for it."""

    def __init__(self, timer: TimerService, store: ObjectStore):
        self._timer = timer
        self._store = store
        self._pending: dict[str, GroupHint] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._stopped = False

    def write(self, service: str, hint: GroupHint) -> None:
        """Schedule a hint to be written; it replaces one that is still pending."""
        self._pending[service] = hint
        self._start_write(service)

    def stop(self) -> None:
        """Cancel the writes under way and discard pending hints."""
        self._stopped = True
        for task in self._tasks.values():
            task.cancel()

    def _start_write(self, service: str) -> None:
        if self._stopped or service in self._tasks or service not in self._pending:
            return
        loop = asyncio.get_running_loop()
        self._tasks[service] = loop.create_task(self._write_pending(service))

    async def _write_pending(self, service: str) -> None:
        hint = self._pending[service]
        try:
            is_stored = await self._store_hint(service, hint)
        except StoreConflict:
            is_stored = False
        except StoreError:
            log.debug(
                "Writing a group's hint failed and will be retried.", service=service
            )
            is_stored = False
        del self._tasks[service]
        if is_stored and self._pending[service] is hint:
            del self._pending[service]
        elif is_stored:
            self._start_write(service)
        else:
            self._timer.after(_RETRY_S, lambda: self._start_write(service))

    async def _store_hint(self, service: str, hint: GroupHint) -> bool:
        stored = await self._store.get(KIND, service)
        if stored.version and decode(stored.value).term >= hint.term:
            return True
        value = msgspec.json.encode(hint)
        await self._store.put(KIND, service, value, stored.version)
        return True


def decode(value: bytes) -> GroupHint:
    """Decode a hint; return a hint of term 0 if the value is unreadable."""
    try:
        return msgspec.json.decode(value, type=GroupHint)
    except msgspec.MsgspecError:
        return GroupHint(0, "")
