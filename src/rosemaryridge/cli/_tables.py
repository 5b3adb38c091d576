"""Turn sections of a status page into tables, by section."""

import typing as t

from rosemaryridge.cli._common import table

Section = dict[str, t.Any]
Render = t.Callable[[Section], str]

_RENDERERS: dict[str, Render] = {}


def renderer(section: str) -> t.Callable[[Render], Render]:
    """Register how a section is shown."""

    def register(render: Render) -> Render:
        _RENDERERS[section] = render
        return render

    return register


def sections() -> tuple[str, ...]:
    """Return the sections that can be shown."""
    return tuple(sorted(_RENDERERS))


def render(name: str, section: Section) -> str:
    """Return a section as a table."""
    return _RENDERERS[name](section)


@renderer("proxy")
def render_proxy(proxy: Section) -> str:
    """Show one proxy's own values."""
    return table(("key", "value"), proxy.items())


@renderer("groups")
def render_groups(groups: Section) -> str:
    """Show each group's targets."""
    header = (
        "service",
        "term",
        "target",
        "role",
        "received",
        "applied",
        "lag_s",
        "seen_s_ago",
        "leaving",
    )
    rows = [
        (
            service,
            group["term"],
            name,
            "PRIMARY" if name == group["primary"] else target["role"],
            target["received"],
            target["applied"],
            target["lag_s"],
            target["seen_s_ago"],
            target["leaving"],
        )
        for service, group in groups.items()
        for name, target in group["targets"].items()
    ]
    return table(header, rows)


@renderer("peers")
def render_peers(peers: Section) -> str:
    """Show the live proxies."""
    header = ("vm", "failure_domain", "region", "endpoint", "connected")
    rows = [
        (vm, *(peer[key] for key in header[1:])) for vm, peer in peers["live"].items()
    ]
    return table(header, rows)


@renderer("pools")
def render_pools(pools: Section) -> str:
    """Show the connections to each target."""
    header = ("service", "target", "limit", "open", "busy", "waiting")
    rows = [
        (service, target, *(pool[key] for key in header[2:]))
        for service, targets in pools.items()
        for target, pool in targets.items()
    ]
    return table(header, rows)


@renderer("shares")
def render_shares(shares: Section) -> str:
    """Show what each business may always use of each target."""
    rows = [
        (service, target, business, connections)
        for service, targets in shares.items()
        for target, businesses in targets.items()
        for business, connections in businesses.items()
    ]
    return table(("service", "target", "business", "connections"), rows)


@renderer("services")
def render_services(services: Section) -> str:
    """Show the revision of each service that is in force."""
    rows = [
        (name, one["revision"], one["newest"], "; ".join(one["rejected"]) or None)
        for name, one in services["services"].items()
    ]
    note = "" if services["complete"] else "\nNot every service is known yet."
    return table(("service", "in force", "newest", "rejected"), rows) + note


@renderer("sessions")
def render_sessions(sessions: Section) -> str:
    """Show the callers and what is remembered of their sessions."""
    return table(("key", "value"), sessions.items())
