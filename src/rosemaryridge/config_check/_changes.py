"""Describe what a configuration changes, by meaning."""

import typing as t

from rosemaryridge.core import ConfigDraft
from rosemaryridge.core import Route
from rosemaryridge.core.businesses import Business
from rosemaryridge.core.businesses import fingerprint

_NEXT = "from the next transaction on"
_AT_ONCE = "once a proxy has the version"
_WINDOW = "within one quota window"


def compare(old: ConfigDraft, new: ConfigDraft) -> list[str]:
    """Return a line for each change, with the time from which it holds."""
    return [
        *_compare_routes(old, new),
        *_compare_businesses(old, new),
        *_compare_limits(old, new),
    ]


def _compare_routes(old: ConfigDraft, new: ConfigDraft) -> t.Iterator[str]:
    before = {route.database: route for route in old.routes}
    after = {route.database: route for route in new.routes}
    for database in sorted(before.keys() | after.keys()):
        name = database.decode(errors="replace")
        if database not in after:
            yield f"database {name}: its route is removed, {_NEXT}"
        elif database not in before:
            service = after[database].service
            yield f"database {name}: new, served by {service}, {_AT_ONCE}"
        else:
            yield from _compare_route(name, before[database], after[database])


def _compare_route(name: str, old: Route, new: Route) -> t.Iterator[str]:
    values = {
        "service": (old.service, new.service),
        "consistency": (old.consistency.value, new.consistency.value),
        "time limit of a statement": (f"{old.timeout_s:g} s", f"{new.timeout_s:g} s"),
        "latency aimed at": (
            f"{old.latency_target_s:g} s",
            f"{new.latency_target_s:g} s",
        ),
        "age bound": (f"{old.max_age_s:g} s", f"{new.max_age_s:g} s"),
        "priority": (old.priority, new.priority),
        "callers without a key": (
            "served" if old.open_to_all else "refused",
            "served" if new.open_to_all else "refused",
        ),
    }
    for what, (before, after) in values.items():
        if before != after:
            yield f"database {name}: {what} {before} -> {after}, {_NEXT}"


def _compare_businesses(old: ConfigDraft, new: ConfigDraft) -> t.Iterator[str]:
    before = {business.name: (business, keys) for business, keys in old.businesses}
    after = {business.name: (business, keys) for business, keys in new.businesses}
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"business {name}: removed; its sessions end, {_AT_ONCE}"
            continue
        if name not in before:
            yield f"business {name}: new, with {len(after[name][1])} keys, {_AT_ONCE}"
            continue
        taken = sorted(set(before[name][1]) - set(after[name][1]))
        given = sorted(set(after[name][1]) - set(before[name][1]))
        if taken:
            yield (
                f"business {name}: keys {_fingerprints(taken)} are taken away; their "
                f"sessions end and open transactions are rolled back, {_AT_ONCE}"
            )
        if given:
            yield f"business {name}: keys {_fingerprints(given)} are new, {_AT_ONCE}"
        yield from _compare_quota(name, before[name][0], after[name][0])


def _compare_quota(name: str, old: Business, new: Business) -> t.Iterator[str]:
    before, after = _describe_quota(old), _describe_quota(new)
    if before != after:
        yield f"business {name}: quota {before} -> {after}, {_WINDOW}"


def _describe_quota(business: Business) -> str:
    if business.rate_per_s is None:
        return "none"
    return f"{business.rate_per_s:g}/s and a burst of {business.burst:g}"


def _fingerprints(keys: t.Iterable[str]) -> str:
    return ", ".join(fingerprint(key.encode()) for key in keys)


def _compare_limits(old: ConfigDraft, new: ConfigDraft) -> t.Iterator[str]:
    before, after = dict(old.connection_limits), dict(new.connection_limits)
    for service in sorted(before.keys() | after.keys()):
        if before.get(service) != after.get(service):
            yield (
                f"service {service}: connections to a target "
                f"{before.get(service, 0)} -> {after.get(service, 0)}, as they are "
                "given back"
            )
    if old.transaction_idle_s != new.transaction_idle_s:
        yield (
            f"transactions may rest {old.transaction_idle_s:g} s -> "
            f"{new.transaction_idle_s:g} s, {_NEXT}"
        )
