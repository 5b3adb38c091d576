"""Decode the documents of the platform's store into the project's types."""

import json
import socket
import typing as t

from rosemaryridge.core import ConfigDraft
from rosemaryridge.core import Consistency
from rosemaryridge.core import FleetConfig
from rosemaryridge.core import Route
from rosemaryridge.core import TargetInfo
from rosemaryridge.core.businesses import Business
from rosemaryridge.model import Endpoint

CONFIG_KIND = "config"
CONFIG_NAME = "main"
TARGETS_KIND = "servers"

CONSISTENCY_BY_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
_DRAINING_BY_PHASE = {"ready": False, "draining": True}
_PRIMARY_BY_ROLE = {"primary": True, "replica": False}
# Larger values make an entry unreadable: later arithmetic with them could overflow.
_MAX_SLOTS = 1_000_000
_MAX_NUMBER = 2**53
_MAX_NAME_CHARS = 256


class UnreadableDocument(ValueError):
    """Report a document whose content does not match its kind."""


def decode_body(body: bytes) -> t.Any:
    """Return a decoded JSON body; invalid UTF-8 is replaced, not rejected."""
    return json.loads(body.decode("utf-8", "replace"))


def decode_config(spec: t.Any) -> FleetConfig:
    """Return a configuration; raise UnreadableDocument."""
    return decode_draft(spec).build()


def decode_draft(spec: t.Any) -> ConfigDraft:
    """Return a configuration with its duplicates; raise UnreadableDocument."""
    try:
        return ConfigDraft(
            int(spec["version"]),
            tuple(map(decode_route, spec["routes"])),
            tuple(map(decode_connection_limit, spec["services"])),
            decode_transaction_idle_s(spec["limits"]),
            decode_businesses(spec.get("tenants")),
            tuple(map(decode_sync_replicas, spec["services"])),
        )
    except DECODE_ERRORS as exc:
        raise UnreadableDocument(f"invalid config: {exc!r}") from exc


def decode_route(route: t.Mapping[str, t.Any]) -> Route:
    """Return a route; raise one of DECODE_ERRORS."""
    return Route(
        route["database"].encode(),
        route["service"],
        CONSISTENCY_BY_TYPE[route["type"]],
        float(route["timeout_ms"]) / 1000.0,
        float(route["target_latency_ms"]) / 1000.0,
        int(route["priority"]),
        float(route.get("max_staleness_ms", 0)) / 1000.0,
        route.get("allow_anonymous") is True,
        int(route.get("retry_attempts") or 0),
    )


def decode_connection_limit(service: t.Mapping[str, t.Any]) -> tuple[str, int]:
    """Return a service and its connections; raise one of DECODE_ERRORS."""
    return service["name"], int(service["max_conns"])


def decode_sync_replicas(service: t.Mapping[str, t.Any]) -> tuple[str, int]:
    """Return a service and its synchronous replicas; raise one of DECODE_ERRORS."""
    return service["name"], int(_require_amount(service.get("sync_replicas") or 0))


def decode_transaction_idle_s(limits: t.Mapping[str, t.Any]) -> float:
    """Return how long transactions may rest; raise one of DECODE_ERRORS."""
    return float(limits["tx_idle_ms"]) / 1000.0


def decode_businesses(
    tenants: t.Any,
) -> tuple[tuple[Business, tuple[str, ...]], ...] | None:
    """Return each business with its keys, None without a list.

    Raises one of DECODE_ERRORS.
    """
    return None if tenants is None else tuple(map(decode_business, tenants))


def decode_business(
    tenant: t.Mapping[str, t.Any],
) -> tuple[Business, tuple[str, ...]]:
    """Return a business and its keys; raise one of DECODE_ERRORS."""
    rate_per_s = tenant.get("rate_per_s")
    business = Business(
        _require_str(tenant["name"]),
        None if rate_per_s is None else _require_amount(rate_per_s),
        _require_amount(tenant.get("burst") or 0.0),
    )
    return business, tuple(map(_require_str, tenant["api_keys"]))


def _require_amount(
    value: t.Any, least: float = 0.0, most: float = _MAX_NUMBER
) -> float:
    amount = float(value)
    if not least <= amount <= most:
        raise ValueError(f"expected {least:g} to {most:g}, got {amount:g}")
    return amount


def _require_endpoint(value: t.Any) -> Endpoint:
    """Return an address that a connection can be opened to; names are not resolved."""
    endpoint = Endpoint.parse(_require_str(value))
    try:
        socket.inet_pton(socket.AF_INET, endpoint.host)
    except OSError as exc:
        raise ValueError("expected an IPv4 address") from exc
    return endpoint


def decode_target(name: str, spec: t.Any) -> TargetInfo:
    """Return a target's registration; raise UnreadableDocument."""
    try:
        if type(spec["born"]) is not int:
            raise UnreadableDocument(f"target {name}: 'born' is not an integer")
        return TargetInfo(
            name,
            _require_name(spec["service"]),
            _require_endpoint(spec["address"]),
            _require_name(spec["zone"]),
            # "capacity" on the wire is the number of concurrent statements.
            int(_require_amount(spec["capacity"], 1, _MAX_SLOTS)),
            int(_require_amount(spec["born"])),
            _DRAINING_BY_PHASE[spec["phase"]],
            _PRIMARY_BY_ROLE[spec["db_role"]],
            _require_amount(spec.get("warmup_left_ms") or 0.0) / 1000.0,
            int(_require_amount(spec.get("sequence") or 0)),
        )
    except DECODE_ERRORS as exc:
        raise UnreadableDocument(f"target {name}: invalid document: {exc!r}") from exc


def _require_name(value: t.Any) -> str:
    name = _require_str(value)
    if len(name) > _MAX_NAME_CHARS:
        raise ValueError(f"a name of {len(name)} characters")
    return name


def _require_str(value: t.Any) -> str:
    if not isinstance(value, str):
        # The value may be too deep or too long for a message.
        raise ValueError(f"expected a string, got {type(value).__name__}")
    return value
