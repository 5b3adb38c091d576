"""Wire the components of one proxy; start and stop them."""

import asyncio
import random
import time
import typing as t

from rosemaryridge.config import ConfigService
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import reload_settings
from rosemaryridge.group import GroupService
from rosemaryridge.membership import Membership
from rosemaryridge.objects import HttpObjectStore
from rosemaryridge.peer import GrpcPeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.pool import LeaseService
from rosemaryridge.pool import Pools
from rosemaryridge.pool import RetryBudget
from rosemaryridge.pool import SlotService
from rosemaryridge.proxy._adaptive_timeout import AdaptiveTimeout
from rosemaryridge.proxy._admin import register
from rosemaryridge.proxy._connect import Connector
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._factory import SessionFactory
from rosemaryridge.routing import Router
from rosemaryridge.session import SessionDirectory
from rosemaryridge.telemetry import AdminServer
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import Metrics
from rosemaryridge.telemetry import change_logging
from rosemaryridge.timer import LoopTimer
from rosemaryridge.wire import CallerLimits
from rosemaryridge.wire import CallerServer
from rosemaryridge.wire import Login
from rosemaryridge.wire import PgTargetPort

_CONTROL_DATABASE = "postgres"
_BACKLOG = 1024
_SERVICES_KEY = "services"
_LEASE_ALLOCATOR_KEY = "grantor/connections"
_LEASE_ALLOCATOR_CANDIDATES = 3
# A message holds one statement or its parameters, which may be the larger of both.
_MESSAGE_SIZE_FACTOR = 16
# Time for a replaced primary that still works to answer that a write did not run,
# before its connections are closed.
_REPLACED_PRIMARY_GRACE_S = 0.2

log = Log("proxy")


class Proxy:
    """Hold the settings and all components of one proxy."""

    def __init__(self, cfg: ProxySettings):
        self.cfg = cfg
        self.timer = LoopTimer()
        self.rng = random.Random(cfg.seed or None)
        self.metrics = Metrics()
        self.store = HttpObjectStore(cfg.platform, self.timer, self.metrics)
        self.identity = _identity(cfg)
        self.bus = GrpcPeerBus(cfg.peers.bus, self.timer, self.rng, self.identity)
        self.membership = self._membership()
        self.config = self._config()
        self.port = PgTargetPort(_control_login(cfg))
        self.group = self._group()
        self.directory = SessionDirectory(
            self.timer, self.bus, self.membership, self.group, cfg.vm
        )
        self.pools = self._pools()
        self.leases = self._leases()
        self.limits = self._slot_limits()
        self.budget = RetryBudget()
        self.router = self._router()
        self.ctx = self._context()
        self.server = CallerServer(SessionFactory(self.ctx), _limits(cfg))
        self.draining = False
        self.admin = AdminServer(cfg.admin.listen, self.metrics, register(self))
        self.on_drain: t.Callable[[], None] = lambda: None
        self.group.on_primary(self._on_primary_change)
        self.config.on_change(self.adopt)

    def _membership(self) -> Membership:
        return Membership(
            self.cfg.membership,
            self.timer,
            self.rng,
            self.identity,
            self.bus,
            self.store,
            self.cfg.peers.seeds,
        )

    def _config(self) -> ConfigService:
        return ConfigService(
            self.cfg.services,
            self.timer,
            self.rng,
            self.store,
            self.bus,
            self.metrics,
            self._is_services_watcher,
        )

    def _is_services_watcher(self) -> bool:
        watchers = self.membership.holders(_SERVICES_KEY, self.cfg.services.watchers)
        return self.cfg.vm in watchers

    def _group(self) -> GroupService:
        return GroupService(
            self.cfg.group,
            self.timer,
            self.rng,
            self.port,
            self.bus,
            self.store,
            self.metrics,
            self.cfg.faults,
            self.cfg.vm,
            self.membership.watchers,
            self.membership.observe_target,
        )

    def _pools(self) -> Pools:
        connector = Connector(self.cfg.targets)
        return Pools(
            self.cfg.pool,
            self.timer,
            self.rng,
            connector.open,
            self.metrics,
            connector.check,
        )

    def _leases(self) -> LeaseService:
        return LeaseService(
            self.cfg.pool,
            self.timer,
            self.rng,
            self.identity,
            self.bus,
            lambda: self.membership.holders(
                _LEASE_ALLOCATOR_KEY, _LEASE_ALLOCATOR_CANDIDATES
            ),
            self.store,
            self.pools,
        )

    def _slot_limits(self) -> SlotService:
        return SlotService(
            self.timer,
            self.rng,
            self.identity,
            self.bus,
            self.membership.watchers,
            self.pools,
        )

    def _router(self) -> Router:
        return Router(
            self.timer,
            self.rng,
            self.metrics,
            self.membership.is_target_draining,
            self.cfg.failure_domain,
        )

    def _context(self) -> ProxyContext:
        return ProxyContext(
            self.cfg,
            self.timer,
            self.rng,
            self.metrics,
            self.pools,
            self.router,
            self.group,
            self.directory,
            self.budget,
            AdaptiveTimeout(self.cfg.targets.silent_timeout_s),
        )

    def adopt(self, service: ServiceConfig) -> None:
        """Apply a new or changed service; callers can use it only as the last step."""
        self.group.adopt(service)
        self.pools.adopt(service)
        self.budget.adopt(service)
        self.ctx.adopt(service)
        log.info("A service was applied.", service=service.name)

    def _on_primary_change(self, service: str, term: int, primary: str | None) -> None:
        end_replaced = self.ctx.in_flight.on_primary_change
        self.timer.after(
            _REPLACED_PRIMARY_GRACE_S, lambda: end_replaced(service, term, primary)
        )

    def reload(self, new: ProxySettings) -> None:
        """Apply the changed settings that need no restart, and log the others."""
        change = reload_settings(self.cfg, new)
        self.cfg = self.ctx.cfg = change.settings
        self.server.set_limits(_limits(self.cfg))
        change_logging(self.cfg.log)
        applied, waiting = ", ".join(change.applied), ", ".join(change.waiting)
        log.info("The settings were reloaded.", applied=applied)
        if waiting:
            log.warning(
                "Changed settings take effect only after a restart.", settings=waiting
            )

    def begin_drain(self) -> None:
        """Ask the process to drain and exit."""
        self.on_drain()

    async def start(self) -> None:
        """Start all components, the callers' listener last."""
        await self.admin.start()
        await self.bus.start()
        await self.membership.start()
        await self.config.start()
        await self.group.start()
        await self.directory.start()
        await self.leases.start()
        await self.limits.start()
        listen = self.cfg.callers.listen
        await self.server.start_server(listen.host, listen.port, backlog=_BACKLOG)
        log.info("The proxy accepts callers.", endpoint=str(listen))

    async def stop(self) -> None:
        """Drain until the deadline, then stop the components in reverse order.

        Transactions that are still open at the deadline are lost.
        """
        log.info("The proxy is draining.")
        self.draining = True
        self.membership.drain()
        self.server.drain()
        try:
            async with asyncio.timeout(self.cfg.drain.deadline_s):
                await self.server.drained()
        except TimeoutError:
            log.warning(
                "The drain deadline passed; the remaining callers are disconnected.",
                callers=self.server.callers,
            )
            self.server.close()
        await self._stop_components()
        log.info("The proxy has stopped.")

    async def _stop_components(self) -> None:
        await self.limits.stop()
        await self.leases.stop()
        await self.directory.stop()
        await self.group.stop()
        await self.config.stop()
        await self.membership.stop()
        await self.pools.close()
        self.port.close()
        await self.bus.stop()
        await self.store.close()
        await self.admin.stop()


def _identity(cfg: ProxySettings) -> PeerIdentity:
    # Two processes on the same VM differ only in the wall-clock time of their start.
    incarnation = time.time_ns() // 1_000_000
    return PeerIdentity(
        cfg.vm, incarnation, cfg.failure_domain, cfg.region, cfg.peers.listen
    )


def _control_login(cfg: ProxySettings) -> Login:
    return Login(cfg.targets.user, cfg.targets.password, _CONTROL_DATABASE)


def _limits(cfg: ProxySettings) -> CallerLimits:
    callers = cfg.callers
    return CallerLimits(
        max_callers=callers.max_callers,
        max_message_bytes=_MESSAGE_SIZE_FACTOR * callers.max_statement_bytes,
        login_timeout_s=callers.login_timeout_s,
    )
