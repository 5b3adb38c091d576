"""Describe columns, parameters and the formats that their values travel in."""

import dataclasses
import datetime
import decimal
import typing as t
import uuid

from pg_mimic import types as pg_types

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal

TEXT_FORMAT = 0
BINARY_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """Describe one column of a result as the target described it."""

    name: str
    oid: int
    table_oid: int = 0
    attribute: int = 0
    type_size: int = -1
    type_modifier: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Describe a prepared statement; `columns` is empty where it returns no rows."""

    param_oids: tuple[int, ...]
    columns: tuple[Column, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Hold bound values as the caller sent them, with a format code for each."""

    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()


NO_PARAMETERS = Parameters()


def expand_formats(codes_sent: t.Sequence[int], count: int) -> tuple[int, ...]:
    """Return one format code for each of `count` values, as Bind defines it."""
    if not codes_sent:
        return (TEXT_FORMAT,) * count
    if len(codes_sent) == 1:
        return (codes_sent[0],) * count
    return tuple(codes_sent)


def formats_by_type(
    columns: t.Sequence[Column], formats: t.Sequence[int]
) -> dict[int, int]:
    """Return the format in which each type of a result is wanted.

    Refuses a type that is wanted in both formats at once.
    """
    wanted: dict[int, int] = {}
    for column, code in zip(columns, formats, strict=True):
        if wanted.setdefault(column.oid, code) != code:
            raise Refusal(
                codes.caller.UNSUPPORTED_FEATURE,
                f"type {column.oid} is wanted in text and binary format at once",
            )
    return wanted


_STRING_TYPES = frozenset(
    (pg_types.TEXT, pg_types.VARCHAR, pg_types.BPCHAR, pg_types.NAME, pg_types.JSON)
)
_PARSERS: dict[int, t.Callable[[str], t.Any]] = {
    pg_types.BOOL: lambda text: text.lower() in ("t", "true", "on", "yes", "1"),
    pg_types.INT2: int,
    pg_types.INT4: int,
    pg_types.INT8: int,
    pg_types.OID: int,
    pg_types.FLOAT4: float,
    pg_types.FLOAT8: float,
    pg_types.NUMERIC: decimal.Decimal,
    pg_types.UUID: uuid.UUID,
    pg_types.DATE: datetime.date.fromisoformat,
    pg_types.TIME: datetime.time.fromisoformat,
    pg_types.TIMESTAMP: datetime.datetime.fromisoformat,
    pg_types.TIMESTAMPTZ: datetime.datetime.fromisoformat,
}


def convert(value: bytes | None, oid: int, given: int, wanted: int) -> bytes | None:
    """Return a value in the wanted format, refusing types that are not known."""
    if value is None or given == wanted or oid in _STRING_TYPES:
        return value
    try:
        if wanted == TEXT_FORMAT:
            text = pg_types.decode_binary_param(oid, value)
            if isinstance(text, list):
                text = pg_types.encode_value(oid, text)
            return text.encode()
        parsed = _PARSERS[oid](value.decode())
        return pg_types.encode_value_binary(oid, parsed)
    except (KeyError, ValueError, ArithmeticError) as exc:
        raise Refusal(
            codes.caller.UNSUPPORTED_FEATURE,
            f"a parameter of type {oid} cannot change its format",
        ) from exc
