"""Decode what the platform's store holds into the project's types."""

import json
import types
import typing as t

from rosemaryridge.core import Consistency
from rosemaryridge.core import FleetConfig
from rosemaryridge.core import Route
from rosemaryridge.core import TargetInfo
from rosemaryridge.model import Endpoint

CONFIG_KIND = "config"
CONFIG_NAME = "main"
TARGETS_KIND = "servers"

_CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}
_PHASES = {"ready": False, "draining": True}
_ROLES = {"primary": True, "replica": False}


class UnreadableDocument(ValueError):
    """Report an object that does not hold what its kind should."""


def decode_body(body: bytes) -> t.Any:
    """Return a JSON body; bytes that are no text are replaced, not refused."""
    return json.loads(body.decode("utf-8", "replace"))


def decode_config(spec: t.Any) -> FleetConfig:
    """Return a configuration; raise UnreadableDocument."""
    try:
        routes = (_route(one) for one in spec["routes"])
        limits = {one["name"]: int(one["max_conns"]) for one in spec["services"]}
        return FleetConfig(
            int(spec["version"]),
            types.MappingProxyType({route.database: route for route in routes}),
            types.MappingProxyType(limits),
            float(spec["limits"]["tx_idle_ms"]) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise UnreadableDocument(f"config: {exc!r}") from exc


def _route(one: t.Mapping[str, t.Any]) -> Route:
    return Route(
        one["database"].encode(),
        one["service"],
        _CONSISTENCIES[one["type"]],
        float(one["timeout_ms"]) / 1000.0,
        float(one["target_latency_ms"]) / 1000.0,
        int(one["priority"]),
        float(one.get("max_staleness_ms", 0)) / 1000.0,
    )


def decode_target(name: str, spec: t.Any) -> TargetInfo:
    """Return a target's registration; raise UnreadableDocument."""
    try:
        if type(spec["born"]) is not int:
            raise UnreadableDocument(f"target {name}: its start is no whole number")
        return TargetInfo(
            name,
            _text(spec["service"]),
            Endpoint.parse(spec["address"]),
            _text(spec["zone"]),
            # The wire's "capacity" counts statements that run at the same time.
            int(spec["capacity"]),
            spec["born"],
            _PHASES[spec["phase"]],
            _ROLES[spec["db_role"]],
            float(spec.get("warmup_left_ms") or 0.0) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise UnreadableDocument(f"target {name}: {exc!r}") from exc


def _text(value: t.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text")
    return value
