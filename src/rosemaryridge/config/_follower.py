"""Adopt published services on this proxy."""

import asyncio
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.config._catalog import AdoptionResult
from rosemaryridge.config._catalog import Catalog
from rosemaryridge.config._exchange import CatalogBus
from rosemaryridge.config._exchange import Exchange
from rosemaryridge.config._messages import RevisionValue
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._settings import ServicesSettings
from rosemaryridge.config._watch import StoreWatch
from rosemaryridge.objects import ObjectStore
from rosemaryridge.telemetry import REVISIONS
from rosemaryridge.telemetry import SERVICE_REVISION
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

log = Log("config")

OnChange = t.Callable[[ServiceConfig], None]


class ConfigService:
    """Receive published services from the object API and from peers.

    `is_watcher` returns whether this proxy is one of the few that watch the object
    API on behalf of all proxies.
    """

    def __init__(
        self,
        cfg: ServicesSettings,
        timer: TimerService,
        rng: random.Random,
        store: ObjectStore,
        bus: CatalogBus,
        metrics: Metrics,
        is_watcher: t.Callable[[], bool],
    ):
        self._metrics = metrics
        self._catalog = Catalog()
        self._callbacks: list[OnChange] = []
        self._exchange = Exchange(
            cfg, timer, rng, bus, self._catalog, self._on_peer_values
        )
        self._watch = StoreWatch(
            cfg, timer, rng, store, is_watcher, lambda: self.complete, self._on_read
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def complete(self) -> bool:
        """Return whether every service published before the start is stored here."""
        return self._exchange.complete

    def current(self) -> t.Mapping[str, ServiceConfig]:
        """Return a read-only view of the services in force, by name."""
        return self._catalog.current()

    def on_change(self, callback: OnChange) -> None:
        """Register a callback that receives each adopted service."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Start to follow published services; return without waiting for them."""
        self._exchange.start()
        self._task = asyncio.get_running_loop().create_task(self._watch.run())
        self._task.add_done_callback(_log_failure)

    async def stop(self) -> None:
        """Stop following published services; those in force stay in force."""
        self._exchange.stop()
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, t.Any]:
        """Return the services section of the status page."""
        services = {name: self._service_status(name) for name in self._catalog.names()}
        return {
            "complete": self.complete,
            "object_api_reachable": self._watch.reachable,
            "services": services,
        }

    def _service_status(self, name: str) -> dict[str, t.Any]:
        service = self._catalog.current().get(name)
        rejection = self._catalog.rejection(name)
        return {
            "revision": service.revision if service else 0,
            "newest": self._catalog.newest(name),
            "rejected": list(rejection.faults) if rejection else [],
        }

    def _on_read(self, values: tuple[RevisionValue, ...]) -> None:
        self._offer_all("store", values)
        self._exchange.complete = True

    def _on_peer_values(self, _vm: str, values: tuple[RevisionValue, ...]) -> None:
        self._offer_all("peer", values)

    def _offer_all(self, source: str, values: tuple[RevisionValue, ...]) -> None:
        before = {
            value.service: self._catalog.newest(value.service) for value in values
        }
        for value in values:
            result = self._catalog.offer(value)
            self._metrics.inc(REVISIONS, source, result.value)
            self._handle_result(result, value)
        newer = [n for n, rev in before.items() if self._catalog.newest(n) > rev]
        self._exchange.announce(newer)

    def _handle_result(self, result: AdoptionResult, value: RevisionValue) -> None:
        name = value.service
        if result is AdoptionResult.ADOPTED:
            self._adopt(self._catalog.current()[name])
        elif result is AdoptionResult.REJECTED:
            self._metrics.refuse(codes.config.REVISION_REJECTED, name)
            log.error(
                "A published revision failed its checks and was rejected.",
                service=name,
                revision=value.revision,
            )

    def _adopt(self, service: ServiceConfig) -> None:
        self._metrics.set(SERVICE_REVISION, service.revision, service.name)
        log.info(
            "A published revision was adopted.",
            service=service.name,
            revision=service.revision,
        )
        for callback in self._callbacks:
            self._notify(callback, service)

    def _notify(self, callback: OnChange, service: ServiceConfig) -> None:
        # A callback that fails on one service must not stop the other callbacks, nor
        # the adoption of other services.
        try:
            callback(service)
        except Exception as exc:
            log.error(
                "A callback failed on an adopted revision.",
                service=service.name,
                error=exc,
            )


def _log_failure(task: asyncio.Task[None]) -> None:
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        log.error("The task that reads the object API failed.", error=exc)
