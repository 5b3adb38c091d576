"""Serve the status, conditions, commands and gauges of a proxy's admin port."""

import dataclasses
import typing as t

import rosemaryridge
from rosemaryridge.config import ProxySettings
from rosemaryridge.exceptions import Refusal
from rosemaryridge.group import GroupView
from rosemaryridge.model import target_key
from rosemaryridge.proxy._explain import explain
from rosemaryridge.proxy._relay import register_relay
from rosemaryridge.telemetry import CALLERS
from rosemaryridge.telemetry import CONNECTED_PEERS
from rosemaryridge.telemetry import GROUP_TERM
from rosemaryridge.telemetry import LIVE_PROXIES
from rosemaryridge.telemetry import POOL_CONNECTIONS
from rosemaryridge.telemetry import TARGET_LAG
from rosemaryridge.telemetry import Pages

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._proxy import Proxy


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLine:
    """Show the state of one target of a group."""

    role: str
    term: int
    received: str
    applied: str
    lag_s: float | None
    seen_s_ago: float
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLine:
    """Show one group in this proxy's view."""

    term: int
    primary: str | None
    confirmed_s_ago: float | None
    majority_position: str
    targets: dict[str, TargetLine]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLine:
    """Count the connections and waiting requests of one target."""

    limit: int
    open: int
    busy: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLine:
    """Show one live proxy in this proxy's view."""

    failure_domain: str
    region: str
    endpoint: str
    connected: bool


def register(proxy: "Proxy") -> Pages:
    """Return the admin pages of a proxy."""
    pages = Pages()
    _register_sections(proxy, pages)
    _register_conditions(proxy, pages)
    _register_commands(proxy, pages)
    register_relay(pages, proxy.bus, proxy.cfg.vm)
    pages.gauge_refresher(lambda: _set_gauges(proxy))
    return pages


def _register_sections(proxy: "Proxy", pages: Pages) -> None:
    pages.section("proxy")(lambda: _proxy_section(proxy))
    pages.section("services")(proxy.config.status)
    pages.section("groups")(lambda: _group_lines(proxy))
    pages.section("peers")(lambda: _peers_section(proxy))
    pages.section("sessions")(lambda: _sessions_section(proxy))
    pages.section("pools")(lambda: _pool_lines(proxy))
    pages.section("shares")(lambda: _shares_section(proxy))


def _register_conditions(proxy: "Proxy", pages: Pages) -> None:
    pages.condition("services are known")(lambda: proxy.config.complete)
    pages.condition("the proxy is not draining")(lambda: not proxy.draining)


def _register_commands(proxy: "Proxy", pages: Pages) -> None:
    @pages.command("drain")
    async def drain(_args: t.Mapping[str, str]) -> dict[str, t.Any]:
        proxy.begin_drain()
        return {"draining": True, "deadline_s": proxy.cfg.drain.deadline_s}

    @pages.command("explain")
    async def explain_statement(args: t.Mapping[str, str]) -> t.Any:
        missing = {"service", "statement"} - args.keys()
        if missing:
            raise ValueError(f"missing arguments: {', '.join(sorted(missing))}")
        try:
            return explain(proxy.ctx, args["service"], args["statement"])
        except Refusal as exc:
            raise ValueError(str(exc)) from exc


def _proxy_section(proxy: "Proxy") -> dict[str, t.Any]:
    cfg: ProxySettings = proxy.cfg
    return {
        "vm": cfg.vm,
        "version": rosemaryridge.__version__,
        "failure_domain": cfg.failure_domain,
        "region": cfg.region,
        "callers_endpoint": str(cfg.callers.listen),
        "peers_endpoint": str(cfg.peers.listen),
        "admin_endpoint": str(cfg.admin.listen),
        "callers": proxy.server.callers,
        "draining": proxy.draining,
        "cached_statements_hits": proxy.ctx.statements.hits,
        "cached_statements_misses": proxy.ctx.statements.misses,
    }


def _group_lines(proxy: "Proxy") -> dict[str, GroupLine]:
    now = proxy.timer.now()
    views = {name: proxy.group.view(name) for name in proxy.config.current()}
    return {name: _group_line(proxy, view, now) for name, view in views.items()}


def _group_line(proxy: "Proxy", view: GroupView, now: float) -> GroupLine:
    confirmed_s = now - view.confirmed_at
    return GroupLine(
        view.term,
        view.primary,
        round(confirmed_s, 3) if confirmed_s < float("inf") else None,
        str(view.majority_position),
        {name: _target_line(proxy, view, name, now) for name in sorted(view.statuses)},
    )


def _target_line(proxy: "Proxy", view: GroupView, name: str, now: float) -> TargetLine:
    seen = view.statuses[name]
    status = seen.status
    lag_s = proxy.router.age_s(view.service, status.applied, now)
    return TargetLine(
        status.role.value,
        status.term,
        str(status.received),
        str(status.applied),
        round(lag_s, 3) if lag_s < float("inf") else None,
        round(now - seen.seen_at, 3),
        status.leaving
        or proxy.membership.is_target_draining(target_key(view.service, name)),
    )


def _peers_section(proxy: "Proxy") -> dict[str, t.Any]:
    connected = frozenset(proxy.bus.peers())
    lines = {
        member.vm: PeerLine(
            member.failure_domain,
            member.region,
            str(member.endpoint),
            member.vm in connected,
        )
        for member in proxy.membership.live()
    }
    return {"live": lines, "stats": dataclasses.asdict(proxy.bus.stats)}


def _sessions_section(proxy: "Proxy") -> dict[str, int]:
    return {"callers": proxy.server.callers, "sessions_held": proxy.directory.held}


def _pool_lines(proxy: "Proxy") -> dict[str, dict[str, PoolLine]]:
    lines: dict[str, dict[str, PoolLine]] = {}
    for (service, target), pool in sorted(proxy.pools.pools().items()):
        slots = pool.slots
        line = PoolLine(slots.limit, pool.open_connections, slots.busy, slots.waiting)
        lines.setdefault(service, {})[target] = line
    return lines


def _shares_section(proxy: "Proxy") -> dict[str, dict[str, dict[str, int]]]:
    lines: dict[str, dict[str, dict[str, int]]] = {}
    for (name, target), pool in sorted(proxy.pools.pools().items()):
        service = proxy.config.current().get(name)
        businesses = service.businesses if service else ()
        lines.setdefault(name, {})[target] = {
            business.name: pool.slots.guaranteed(business.name)
            for business in businesses
        }
    return lines


def _set_gauges(proxy: "Proxy") -> None:
    metrics = proxy.metrics
    metrics.set(CALLERS, proxy.server.callers)
    metrics.set(LIVE_PROXIES, len(proxy.membership.live()))
    metrics.set(CONNECTED_PEERS, len(proxy.bus.peers()))
    for service, group in _group_lines(proxy).items():
        metrics.set(GROUP_TERM, group.term, service)
        for name, line in group.targets.items():
            if line.lag_s is not None:
                metrics.set(TARGET_LAG, line.lag_s, service, name)
    for service, targets in _pool_lines(proxy).items():
        for name, pool in targets.items():
            for state in ("limit", "open", "busy", "waiting"):
                value = getattr(pool, state)
                metrics.set(POOL_CONNECTIONS, value, service, name, state)
