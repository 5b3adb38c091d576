"""Find entries that can never match and limits that contradict each other."""

import collections
import typing as t

from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.config_check._findings import Assumptions
from rosemaryridge.config_check._findings import Finding
from rosemaryridge.config_check._findings import Severity
from rosemaryridge.core import ConfigDraft
from rosemaryridge.core.businesses import fingerprint

Found = t.Iterator[tuple[str, str]]
_Rule = t.Callable[[ConfigDraft, Assumptions], Found]
_RULES: list[tuple[Code, Severity, _Rule]] = []


def check(draft: ConfigDraft, assumptions: Assumptions) -> list[Finding]:
    """Return the findings of all rules."""
    return [
        Finding(code, severity, path, text)
        for code, severity, rule in _RULES
        for path, text in rule(draft, assumptions)
    ]


def _rule(code: Code, severity: Severity) -> t.Callable[[_Rule], _Rule]:
    def register(rule: _Rule) -> _Rule:
        _RULES.append((code, severity, rule))
        return rule

    return register


@_rule(codes.config.DUPLICATE_ROUTE, Severity.ERROR)
def _duplicate_routes(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    first: dict[bytes, int] = {}
    for index, route in enumerate(draft.routes):
        if route.database in first:
            name = route.database.decode(errors="replace")
            other = first[route.database]
            yield f"routes[{index}]", f"routes[{other}] has database {name} too"
        first.setdefault(route.database, index)


@_rule(codes.config.ROUTE_WITHOUT_SERVICE, Severity.ERROR)
def _unknown_services(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    known = dict(draft.connection_limits)
    for index, route in enumerate(draft.routes):
        if route.service not in known:
            yield f"routes[{index}].service", f"there is no service {route.service}"


@_rule(codes.config.UNUSED_SERVICE, Severity.WARNING)
def _unused_services(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    used = {route.service for route in draft.routes}
    for index, (service, _) in enumerate(draft.connection_limits):
        if service not in used:
            yield f"services[{index}]", f"no route names service {service}"


@_rule(codes.config.BUSINESS_WITHOUT_KEY, Severity.WARNING)
def _businesses_without_keys(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    for index, (business, keys) in enumerate(draft.businesses):
        if not keys:
            text = f"business {business.name} has no key, so it has no callers"
            yield f"tenants[{index}].api_keys", text


@_rule(codes.config.SHARED_KEY, Severity.ERROR)
def _shared_keys(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    holders: dict[str, str] = {}
    for index, (business, keys) in enumerate(draft.businesses):
        for key in keys:
            holder = holders.setdefault(key, business.name)
            if holder != business.name:
                name = fingerprint(key.encode())
                text = f"key {name} is held by {holder} too; it serves neither"
                yield f"tenants[{index}].api_keys", text


@_rule(codes.config.BUSINESS_NAME, Severity.ERROR)
def _business_names(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    counts = collections.Counter(business.name for business, _ in draft.businesses)
    unsendable = set(draft.build().key_ring.unsendable)
    for index, (business, _) in enumerate(draft.businesses):
        if business.name in unsendable:
            text = f"the name {business.name!r} cannot be sent to targets"
            yield f"tenants[{index}].name", text
        elif counts[business.name] > 1:
            yield f"tenants[{index}].name", f"{business.name} is there more than once"


@_rule(codes.config.OPEN_ROUTE, Severity.WARNING)
def _open_routes(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    for index, route in enumerate(draft.routes):
        if route.open_to_all and draft.listed_businesses is not None:
            text = "callers without a key are served, and no quota applies to them"
            yield f"routes[{index}].allow_anonymous", text


@_rule(codes.config.NO_CALLERS, Severity.ERROR)
def _no_callers(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    has_keys = any(keys for _, keys in draft.businesses)
    needs_keys = not all(route.open_to_all for route in draft.routes)
    if draft.listed_businesses is not None and needs_keys and not has_keys:
        yield "tenants", "no business has a key, so some routes have no callers"


@_rule(codes.config.RETRIES_TOO_LONG, Severity.WARNING)
def _retries(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    for index, route in enumerate(draft.routes):
        if route.retries and route.timeout_s >= route.latency_target_s:
            text = (
                f"a statement may take {route.timeout_s:g} s, so that a repeat cannot "
                f"end within the {route.latency_target_s:g} s aimed at"
            )
            yield f"routes[{index}].retry_attempts", text


@_rule(codes.config.AGE_BELOW_LAG, Severity.WARNING)
def _age_bounds(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    lag_s = assumptions.replica_lag_s
    for index, route in enumerate(draft.routes):
        if lag_s is not None and 0.0 < route.max_age_s < lag_s:
            text = (
                f"replicas usually lag by {lag_s:g} s, so that the primary serves all "
                f"reads that allow {route.max_age_s:g} s"
            )
            yield f"routes[{index}].max_staleness_ms", text


@_rule(codes.config.QUOTAS_BEYOND_SLOTS, Severity.WARNING)
def _quota_sum(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    slots, work_s = assumptions.slots, assumptions.work_s
    if not slots or not work_s:
        return
    total = sum(business.rate_per_s or 0.0 for business, _ in draft.businesses)
    room = len(draft.connection_limits) * slots / work_s
    if total > room:
        text = f"quotas sum to {total:g} operations a second; {room:g} have room"
        yield "tenants", text


@_rule(codes.config.FEW_CONNECTIONS, Severity.WARNING)
def _few_connections(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    owners = {"businesses": len(draft.businesses), "proxies": assumptions.proxies or 0}
    for index, (service, limit) in enumerate(draft.connection_limits):
        for name, count in owners.items():
            if limit < count:
                text = (
                    f"{limit} connections to a target of {service} for {count} {name}"
                )
                yield f"services[{index}].max_conns", text


@_rule(codes.config.SMALL_BURST, Severity.ERROR)
def _small_bursts(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    for index, (business, _) in enumerate(draft.businesses):
        if business.rate_per_s is not None and business.burst < 1.0:
            text = f"{business.name} may not run a single operation at once"
            yield f"tenants[{index}].burst", text


@_rule(codes.config.LONG_REST, Severity.WARNING)
def _long_rest(draft: ConfigDraft, assumptions: Assumptions) -> Found:
    grace_s = assumptions.grace_s
    if grace_s is not None and draft.transaction_idle_s > grace_s / 2.0:
        text = (
            f"a transaction may rest for {draft.transaction_idle_s:g} s, and a proxy "
            f"that stops waits for it {grace_s / 2.0:g} s"
        )
        yield "limits.tx_idle_ms", text
