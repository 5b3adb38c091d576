"""Convert plain values of a document to field types."""

import ipaddress
import math
import typing as t

from rosemaryridge.model import Endpoint

Converter = t.Callable[[t.Any], t.Any]

_MAX_PORT = 65_535

CONVERTERS: dict[t.Any, tuple[Converter, str]] = {}


def converter(kind: t.Any, allowed: str) -> t.Callable[[Converter], Converter]:
    """Register a function that converts a value to a type or raises ValueError.

    `allowed` describes the valid values in faults and in the reference tables.
    """

    def register(convert: Converter) -> Converter:
        CONVERTERS[kind] = (convert, allowed)
        return convert

    return register


@converter(bool, "true or false")
def _to_bool(value: t.Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError
    return value


@converter(int, "a whole number")
def _to_int(value: t.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError
    return value


@converter(float, "a number")
def _to_float(value: t.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError
    if not math.isfinite(value):
        raise ValueError
    return float(value)


@converter(str, "a string")
def _to_str(value: t.Any) -> str:
    if not isinstance(value, str):
        raise ValueError
    return value


@converter(Endpoint, "'ip:port' with an IP address and a port from 0 to 65535")
def _to_endpoint(value: t.Any) -> Endpoint:
    endpoint = Endpoint.parse(_to_str(value))
    _check_address(endpoint)
    return endpoint


def _check_address(endpoint: Endpoint) -> None:
    ipaddress.ip_address(endpoint.host.strip("[]"))
    if not 0 <= endpoint.port <= _MAX_PORT:
        raise ValueError
