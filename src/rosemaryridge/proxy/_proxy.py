"""Hold the settings of one proxy and wire its parts."""

import asyncio
import dataclasses
import random

from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.pool import Pools
from rosemaryridge.pool import RetryBudget
from rosemaryridge.proxy._connect import Connector
from rosemaryridge.proxy._factory import SessionFactory
from rosemaryridge.proxy._interim import InterimDirectory
from rosemaryridge.proxy._interim import InterimGroup
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.routing import Router
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge.wire import CallerLimits
from rosemaryridge.wire import CallerServer
from rosemaryridge.wire import Login
from rosemaryridge.wire import PgTargetPort

_CONTROL_DATABASE = "postgres"
_BACKLOG = 1024


class Proxy:
    """Be the one object that holds the settings and every part."""

    def __init__(self, cfg: ProxySettings):
        self.cfg = cfg
        self.timer = LoopTimer()
        self.rng = random.Random(cfg.seed or None)
        self.metrics = Metrics()
        targets = cfg.targets
        self.connector = Connector(targets)
        login = Login(targets.user, targets.password, _CONTROL_DATABASE)
        self.port = PgTargetPort(login)
        self.group = InterimGroup(self.timer, self.port)
        self.directory = InterimDirectory()
        self.pools = Pools(
            dataclasses.replace(cfg.pool, fleet_size=1),
            self.timer,
            self.rng,
            self.connector.open,
            self.metrics,
            self.connector.check,
        )
        self.router = Router(
            self.timer, self.rng, self.metrics, failure_domain=cfg.failure_domain
        )
        self.budget = RetryBudget()
        self.parts = self._parts()
        self.server = CallerServer(SessionFactory(self.parts), self._limits())

    def _parts(self) -> Parts:
        return Parts(
            self.cfg,
            self.timer,
            self.rng,
            self.metrics,
            self.pools,
            self.router,
            self.group,
            self.directory,
            self.budget,
        )

    def _limits(self) -> CallerLimits:
        callers = self.cfg.callers
        return CallerLimits(
            max_callers=callers.max_callers,
            max_message_bytes=16 * callers.max_statement_bytes,
            login_timeout_s=callers.login_timeout_s,
        )

    def adopt(self, service: ServiceConfig) -> None:
        """Take over a new or changed service, in the parts' order."""
        self.group.adopt(service)
        self.pools.adopt(service)
        self.budget.adopt(service)
        self.parts.adopt(service)

    async def start(self) -> None:
        """Start the parts, the callers' listener last."""
        listen = self.cfg.callers.listen
        await self.server.start_server(listen.host, listen.port, backlog=_BACKLOG)

    async def stop(self) -> None:
        """Let open transactions end by the deadline, then stop in reverse order."""
        self.server.drain()
        try:
            async with asyncio.timeout(self.cfg.drain.deadline_s):
                await self.server.drained()
        except TimeoutError:
            self.server.close()
        await self.pools.close()
        await self.group.stop()
        self.port.close()
