"""Format the sections of a status page as tables."""

import typing as t

from rosemaryridge.cli._common import table

Section = dict[str, t.Any]
Render = t.Callable[[Section], str]

_RENDERERS: dict[str, Render] = {}


def renderer(section: str) -> t.Callable[[Render], Render]:
    """Register a function that formats a section."""

    def register(render: Render) -> Render:
        _RENDERERS[section] = render
        return render

    return register


def sections() -> tuple[str, ...]:
    """Return the names of sections that have a table."""
    return tuple(sorted(_RENDERERS))


def render(name: str, section: Section) -> str:
    """Return the table of a section."""
    return _RENDERERS[name](section)


@renderer("proxy")
def render_proxy(proxy: Section) -> str:
    """Return the values of one proxy."""
    return table(("key", "value"), proxy.items())


@renderer("groups")
def render_groups(groups: Section) -> str:
    """Return the targets of each group."""
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
    """Return the live proxies."""
    header = ("vm", "failure_domain", "region", "endpoint", "connected")
    rows = [
        (vm, *(peer[key] for key in header[1:])) for vm, peer in peers["live"].items()
    ]
    return table(header, rows)


@renderer("pools")
def render_pools(pools: Section) -> str:
    """Return the connection pool of each target."""
    header = ("service", "target", "limit", "open", "busy", "waiting")
    rows = [
        (service, target, *(pool[key] for key in header[2:]))
        for service, targets in pools.items()
        for target, pool in targets.items()
    ]
    return table(header, rows)


@renderer("shares")
def render_shares(shares: Section) -> str:
    """Return the guaranteed connections of each business to each target."""
    rows = [
        (service, target, business, connections)
        for service, targets in shares.items()
        for target, businesses in targets.items()
        for business, connections in businesses.items()
    ]
    return table(("service", "target", "business", "connections"), rows)


@renderer("services")
def render_services(services: Section) -> str:
    """Return the revision of each service that is in force."""
    rows = [
        (
            name,
            service["revision"],
            service["newest"],
            "; ".join(service["rejected"]) or None,
        )
        for name, service in services["services"].items()
    ]
    note = "" if services["complete"] else "\nThe list of services is not complete yet."
    return table(("service", "in force", "newest", "rejected"), rows) + note


@renderer("sessions")
def render_sessions(sessions: Section) -> str:
    """Return the counts of callers and of retained sessions."""
    return table(("key", "value"), sessions.items())
