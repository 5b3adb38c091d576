"""Emulate a whole platform on loopback: store, targets and promotion API."""

import asyncio
import dataclasses
import itertools
import json
import pathlib
import typing as t

from aiohttp import web

from rosemaryridge_testbed.fleet import free_ports
from rosemaryridge_testbed.site._store import MetadataStore
from rosemaryridge_testbed.site._target import SiteGroup
from rosemaryridge_testbed.site._target import SiteTarget

ROUTES = {"orders": "primary", "browse": "bounded_staleness", "own": "read_your_writes"}


@dataclasses.dataclass(frozen=True, slots=True)
class SiteBusiness:
    """Describe a business of the configuration."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 1000.0
    burst: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class SiteOptions:
    """Set the size and timing of an emulated platform."""

    services: tuple[str, ...] = ("books",)
    targets_per_service: int = 3
    lag_s: float = 0.01
    promotion_delay_s: float = 0.1
    max_connections: int = 45
    # Whether the promotion API checks fences; without, deposed primaries may go on.
    fenced: bool = True
    timeout_ms: int = 1000
    max_staleness_ms: int = 1500
    tx_idle_ms: int = 500
    sync_replicas: int = 0
    drain_ms: int = 7000
    grace_s: float = 6
    # Without businesses, no session needs a key.
    businesses: tuple[SiteBusiness, ...] = ()
    quota_window_s: int = 5
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    strict_revocation: bool = False
    # Time within which a configuration must be in force; None leaves it out.
    config_apply_ms: int | None = None


class Site:
    """Run the store, the targets and the promotion API of one platform."""

    def __init__(self, options: SiteOptions = SiteOptions()):
        self.options = options
        self.store = MetadataStore()
        self.groups: dict[str, SiteGroup] = {}
        self.promotions: list[tuple[str, str, str, int]] = []
        self.promotions_to_drop = 0
        self.store_address = ""
        self.cloud_api_address = ""
        self._highest_fences: dict[str, int] = {}
        self._config: dict[str, t.Any] = {}
        self._sequence = itertools.count(1)
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start the servers and publish the first configuration."""
        self.store_address = await self._serve(self.store.application())
        cloud_api = web.Application()
        cloud_api.router.add_post("/promote", self._promote)
        self.cloud_api_address = await self._serve(cloud_api)
        for service in self.options.services:
            await self._start_group(service)
        self.publish(1)

    async def stop(self) -> None:
        """Stop the targets and the HTTP servers."""
        for group in self.groups.values():
            for target in group.targets.values():
                await target.crash()
        for runner in self._runners:
            await runner.cleanup()

    def publish(
        self,
        version: int,
        without: t.Collection[str] = (),
        added: t.Collection[str] = (),
        businesses: t.Sequence[SiteBusiness] | None = None,
        **fields: t.Any,
    ) -> None:
        """Publish a configuration without the routes of the databases in `without`.

        The databases in `added` have routes to the first service. `businesses` replace
        those of the options; an empty list of them is written as such. `fields`
        override fields of every route.
        """
        routes = [
            self._route(f"{service}-{name}", service, consistency) | fields
            for service in self.options.services
            for name, consistency in ROUTES.items()
            if f"{service}-{name}" not in without
        ]
        routes += [
            self._route(database, self.options.services[0], "read_your_writes") | fields
            for database in added
        ]
        services = [
            {
                "name": service,
                "max_conns": self.options.max_connections,
                "sync_replicas": self.options.sync_replicas,
            }
            for service in self.options.services
        ]
        limits = {"tx_idle_ms": self.options.tx_idle_ms}
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        if businesses is None:
            businesses = self.options.businesses or None
        if businesses is not None:
            spec["tenants"] = [
                {
                    "name": business.name,
                    "api_keys": list(business.keys),
                    "priority": 1,
                    "rate_per_s": business.rate_per_s,
                    "burst": business.burst,
                }
                for business in businesses
            ]
        self._config = spec
        self.store.write("config", "main", spec)

    def write_again(self) -> None:
        """Write what the operator and the targets wrote, after a restored copy."""
        self.store.write("config", "main", self._config)
        for group in self.groups.values():
            for target in group.targets.values():
                self.register(target)

    def write_settings(
        self,
        path: pathlib.Path,
        vm: str,
        front: int,
        ready: int,
        first_start: bool = True,
    ) -> None:
        """Write the settings file of one proxy."""
        data = {
            "node_name": vm,
            "bootstrap": first_start,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "bind_addrs": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
            },
            "internal_port_range": [0, 0],
            "limits": {"memory_mb": 222, "max_fds": 1600},
            "heartbeat_ms": 1200,
            "bounds": {
                "grace_s": self.options.grace_s,
                "drain_ms": self.options.drain_ms,
                "enforce_fencing": self.options.fenced,
                "config_apply_ms": self.options.config_apply_ms or 0,
                **self._business_bounds(),
            },
            "platform": {"address": self.store_address},
            "cloud_api": {"address": self.cloud_api_address, "duty_per_s": 50.0},
        }
        path.write_text(json.dumps(data))

    def _business_bounds(self) -> dict[str, t.Any]:
        if not self.options.businesses:
            return {}
        return {
            "quota_window_s": self.options.quota_window_s,
            "quota_overage": self.options.quota_overage,
            "quota_slack": self.options.quota_slack,
            "strict_revocation": self.options.strict_revocation,
            "revoke_ms": 5000,
        }

    def register(self, target: SiteTarget) -> None:
        """Write a target's entry to the store."""
        spec = {
            "service": target.group.service,
            "address": target.address,
            "zone": "a",
            "version": "v1",
            "capacity": 3,
            "phase": "draining" if target.draining else "ready",
            "warmup_left_ms": 0,
            "db_role": "primary" if target.is_primary else "replica",
            "sequence": next(self._sequence),
            "born": 1,
        }
        self.store.write("servers", target.name, spec)

    async def _start_group(self, service: str) -> None:
        group = SiteGroup(
            service,
            self.options.lag_s,
            self.options.promotion_delay_s,
            not self.options.fenced,
            self.options.sync_replicas,
        )
        self.groups[service] = group
        names = [
            f"{service}-{number}" for number in range(self.options.targets_per_service)
        ]
        # A restarted target listens on its previous port, so the port must be reserved.
        for name, port in free_ports(names).items():
            target = SiteTarget(
                name,
                group,
                max_connections=self.options.max_connections,
                report=self.register,
            )
            await target.start(port)
        group.primary = f"{service}-0"
        for target in group.targets.values():
            self.register(target)

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def _promote(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        service, name = body["service"], body["id"]
        holder = request.headers["X-Rosemaryridge-Lease-Holder"]
        fence = int(request.headers["X-Rosemaryridge-Fencing-Token"])
        self.promotions.append((service, name, holder, fence))
        if self.options.fenced and fence < self._highest_fences.get(service, 0):
            return web.Response(status=409)
        self._highest_fences[service] = fence
        if self.promotions_to_drop:
            self.promotions_to_drop -= 1
            request.transport.abort()
            return web.Response()
        task = asyncio.ensure_future(self.groups[service].promote(name))
        task.add_done_callback(lambda done: done.exception())
        return web.Response()

    def _route(self, database: str, service: str, consistency: str) -> dict[str, t.Any]:
        return {
            "name": f"r-{database}",
            "database": database,
            "path_prefix": "/",
            "type": consistency,
            "timeout_ms": self.options.timeout_ms,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "retry_attempts": 2,
            "max_staleness_ms": self.options.max_staleness_ms,
        }
