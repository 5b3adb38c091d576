"""Describe columns and parameters, and convert between text and binary format."""

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
    """Describe a result column as reported by the target."""

    name: str
    oid: int
    table_oid: int = 0
    attribute: int = 0
    type_size: int = -1
    type_modifier: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Describe a prepared statement; `columns` is empty if it returns no rows."""

    param_oids: tuple[int, ...]
    columns: tuple[Column, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Store bound values as the caller encoded them, with a format code for each."""

    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()


NO_PARAMETERS = Parameters()


def expand_formats(format_codes: t.Sequence[int], count: int) -> tuple[int, ...]:
    """Expand the format codes of a Bind message to one for each of `count` values."""
    if not format_codes:
        return (TEXT_FORMAT,) * count
    if len(format_codes) == 1:
        return (format_codes[0],) * count
    return tuple(format_codes)


def formats_by_type(
    columns: t.Sequence[Column], formats: t.Sequence[int]
) -> dict[int, int]:
    """Return the requested format code of each type OID in a result.

    Raises Refusal if one type is requested in both formats.
    """
    formats_by_oid: dict[int, int] = {}
    for column, code in zip(columns, formats, strict=True):
        if formats_by_oid.setdefault(column.oid, code) != code:
            raise Refusal(
                codes.caller.UNSUPPORTED_FEATURE,
                f"result columns of type OID {column.oid} are requested in both text "
                "and binary format; request one format for all of them",
            )
    return formats_by_oid


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


def convert_format(
    value: bytes | None, oid: int, from_format: int, to_format: int
) -> bytes | None:
    """Convert a value of type `oid` from one format code to another.

    Raises Refusal if the type or the value cannot be converted.
    """
    if value is None or from_format == to_format or oid in _STRING_TYPES:
        return value
    try:
        if to_format == TEXT_FORMAT:
            text = pg_types.decode_binary_param(oid, value)
            if isinstance(text, list):
                text = pg_types.encode_value(oid, text)
            return text.encode()
        parsed = _PARSERS[oid](value.decode())
        return pg_types.encode_value_binary(oid, parsed)
    except (KeyError, ValueError, ArithmeticError) as exc:
        raise Refusal(
            codes.caller.UNSUPPORTED_FEATURE,
            f"a value of type OID {oid} cannot be converted between text and binary "
            "format; use one format for parameters and results",
        ) from exc
