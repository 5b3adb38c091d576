"""Stand in for parts of the proxy that are not there yet."""

import asyncio

from rosemaryridge.config import decode_service
from rosemaryridge.exceptions import StoreError
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

_POLL_S = 1.0


class InterimConfigService:
    """Poll the object API for published services."""

    def __init__(self, store):
        self._store = store
        self._callbacks = []
        self._known = {}
        self._task = None

    def current(self):
        """Return the services in force."""
        return self._known

    def on_change(self, callback) -> None:
        """Call back with each service that is adopted."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                for one in await self._store.list("service"):
                    self._take(decode_service(one.value, one.version))
            except StoreError:
                pass
            await asyncio.sleep(_POLL_S)

    def _take(self, service) -> None:
        known = self._known.get(service.name)
        if known is not None and known.revision >= service.revision:
            return
        self._known[service.name] = service
        for callback in self._callbacks:
            callback(service)


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
