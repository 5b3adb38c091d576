"""Assemble the components that serve statements."""

import asyncio
import random
import typing as t

from rosemaryridge.core._caller import Caller
from rosemaryridge.core._config import ConfigHolder
from rosemaryridge.core._config import FleetConfig
from rosemaryridge.core._config import Route
from rosemaryridge.core._directory import Directory
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import Labels
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._reader import Reader
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import Session
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._shutdown import Shutdown
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core.businesses import ANONYMOUS
from rosemaryridge.core.businesses import Business
from rosemaryridge.core.businesses import fingerprint
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.zones import Surroundings

if t.TYPE_CHECKING:
    from rosemaryridge.core.quotas.service import Quotas

# Callers that open a session give up after 2 s without an answer.
_READY_TIMEOUT_S = 1.8
# Limit on the most recent events of a statement that its log line contains.
_MAX_TRAIL_LOGGED = 8
# Targets drop the connections of crashed proxies after 3 s. Until then, a proxy that
# has just started uses half its share.
_HALF_SHARE_PERIOD_S = 3.3
# Retry-After while the configuration is too old to authorize callers.
_STALE_CONFIG_RETRY_S = 0.5


class Proxy:
    """Own the components of the data path and open sessions for callers."""

    def __init__(
        self,
        surroundings: Surroundings,
        connect: Connect,
        rng: random.Random,
        log: EventLog,
        on_suspect: t.Callable[[Group], None],
        shares: Shares,
    ):
        self.log = log
        self.metrics = MetricsRegistry()
        self.metrics.add_gauges(self._gauges)
        self.config = ConfigHolder()
        self.shares = shares
        self.directory = Directory(connect, log, on_suspect, self.shares, rng)
        self.runner = Runner(
            rng, PreparedNames(), log, self.metrics, self._check_business
        )
        self.shutdown: Shutdown | None = None
        # Keeps the businesses within their quotas; None where the platform sets none.
        self.quotas: Quotas | None = None
        # Whether callers need a key. Once the settings or any configuration have told
        # so, a later version without businesses takes keys away and opens nothing.
        self.requires_keys = False
        # Returns the age of the configuration in seconds, and the greatest with which
        # callers are authorized; infinite unless revocation is strict.
        self.config_age_s: t.Callable[[], float] = lambda: 0.0
        self.max_config_age_s = float("inf")
        self.reader = Reader(self.runner, surroundings, self.metrics, rng)
        asyncio.get_running_loop().call_later(
            _HALF_SHARE_PERIOD_S, self._use_full_share
        )
        self._ready_fut: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def ready(self) -> bool:
        """Return whether the configuration and the targets are known."""
        return self.config.is_received and self.directory.is_loaded

    def adopt_config(self, config: FleetConfig) -> None:
        """Apply a configuration if it is newer than the current one."""
        if not self.config.offer(config):
            return
        self.log.write(
            "config_adopted", version=config.version, routes=len(config.routes)
        )
        for problem in config.key_ring.problems:
            self.log.write("business_unusable", reason=problem)
        if config.has_businesses or config.key_ring:
            self.requires_keys = True
        self.directory.adopt_services(config)
        self.check_ready()

    def check_ready(self) -> None:
        """Admit callers once the configuration and the targets are known."""
        if self.ready and not self._ready_fut.done():
            self.log.write("ready", version=self.config.current.version)
            self._ready_fut.set_result(None)

    async def open(self, database: bytes, key: bytes = b"") -> Caller:
        """Return a caller with a new session; raise StatementError."""
        if not self._ready_fut.done():
            try:
                async with asyncio.timeout(_READY_TIMEOUT_S):
                    await asyncio.shield(self._ready_fut)
            except TimeoutError:
                raise StatementError(
                    Failure.BUSY, "the configuration or targets are not known yet", 1.0
                ) from None
        self.route(database)
        try:
            self.find_business(database, key)
        except StatementError as exc:
            self._record_refused_caller(database, exc)
            raise
        return Caller(self, database, key)

    def _record_refused_caller(self, database: bytes, exc: StatementError) -> None:
        self.metrics.inc("callers_refused_total", reason=exc.failure.value)
        # The id puts the line among those that are left out first: anyone can cause it.
        self.log.write("caller_refused", id="-", database=database, reason=exc.detail)

    def find_business(self, database: bytes, key: bytes) -> Business:
        """Return the business that a caller belongs to; raise StatementError."""
        config = self.config.current
        if not self.requires_keys:
            return ANONYMOUS
        if self.config_age_s() > self.max_config_age_s:
            raise StatementError(
                Failure.BUSY,
                "the configuration may be outdated",
                _STALE_CONFIG_RETRY_S,
            )
        business = config.key_ring.find(key)
        if business is not None:
            return business
        route = config.routes.get(database)
        if route is not None and route.open_to_all:
            return ANONYMOUS
        raise StatementError(
            Failure.NOT_AUTHORIZED, f"no business holds key {fingerprint(key)}"
        )

    def authorize(self, session: Session) -> None:
        """Set the business that a session runs as; raise StatementError."""
        session.business = self.find_business(session.database, session.key)

    async def admit(self, session: Session, route: Route, statement: Statement) -> None:
        """Return once an operation fits in its quota; raise StatementError."""
        if self.quotas is not None:
            await self.quotas.admit(
                session.business,
                self.config.current.version,
                route.priority,
                statement.id,
            )

    def _check_business(self, session: Session) -> None:
        """Raise StatementError if a session's key has been revoked or moved."""
        business = self.find_business(session.database, session.key)
        if business.name != session.business.name:
            raise StatementError(
                Failure.BUSY, "the key has moved to another business", 0.0
            )

    def route(self, database: bytes) -> tuple[Route, Group]:
        """Return a database's route and group; raise StatementError."""
        route = self.config.current.routes.get(database)
        if route is None:
            name = database.decode(errors="replace")
            raise StatementError(
                Failure.UNKNOWN_DATABASE, f"database {name} has no configured route"
            )
        return route, self.directory.group(route.service)

    def record_statement(
        self, execution: Execution, answer: Answer, elapsed_s: float
    ) -> None:
        """Count a statement, and log it if it failed or was slow."""
        session, statement = execution.session, execution.statement
        outcome = answer.failure.value if answer.failure else "done"
        verb = statement.verb.value
        self.metrics.inc("statements_total", verb=verb, outcome=outcome)
        self.metrics.observe("statement_seconds", elapsed_s, verb=verb)
        for step, step_s in execution.steps.elapsed_s.items():
            self.metrics.observe("statement_step_seconds", step_s, step=step)
        route = self.config.current.routes.get(session.database)
        slow = route is not None and elapsed_s > route.latency_target_s
        if answer.ok and not slow:
            return
        self.log.write(
            "statement",
            id=statement.id,
            database=session.database,
            business=session.business.name or None,
            service=route.service if route else None,
            verb=verb,
            outcome=outcome if answer.failure else "slow",
            detail=answer.detail,
            trail=execution.trail[-_MAX_TRAIL_LOGGED:],
            trail_length=len(execution.trail),
            took_ms=round(elapsed_s * 1000),
            sent=execution.sent,
            steps_ms=execution.steps.milliseconds(),
            config=self.config.current.version,
        )

    def set_proxy_count(self, proxy_count: int) -> None:
        """Set the number of proxies that share the targets' connections."""
        before = self.shares.proxy_count
        if proxy_count != before:
            self.log.write("proxies_counted", proxies=proxy_count, before=before)
            self.shares.proxy_count = proxy_count
            self.directory.resize_pools()

    def _gauges(self) -> t.Iterator[tuple[str, Labels, float]]:
        yield "proxies", (), self.shares.proxy_count
        yield "config_version", (), self.config.current.version
        yield "log_lines_left_out", (), self.log.left_out
        now = asyncio.get_running_loop().time()
        for group in self.directory.groups.values():
            service = (("service", group.service),)
            spill = self.reader.spills.get(group.service)
            if spill is not None:
                yield "spill_share", service, spill.share
            yield "group_term", service, group.term
            yield "without_primary_seconds", service, group.without_primary_s()
            for target in group.targets.values():
                labels = (*service, ("target", target.id))
                yield "target_leads", labels, target.id == group.primary
                yield "target_lag_seconds", labels, target.lag_s
                yield "target_latency_seconds", labels, target.expected_latency_s(now)
                yield "target_connections", labels, target.pool.size
                yield "target_waiting", labels, target.pool.waiting
                yield "target_lanes", labels, target.pool.admission.concurrency_limit

    def _use_full_share(self) -> None:
        self.shares.just_started = False
        self.directory.resize_pools()
