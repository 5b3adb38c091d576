"""Convert values between PostgreSQL's text format, SQLite and wire rows."""

import datetime
import decimal
import json
import typing as t

from pg_mimic import PgError
from pg_mimic import types as oids

_INTEGERS = (oids.INT2, oids.INT4, oids.INT8, oids.OID)
_FLOATS = (oids.FLOAT4, oids.FLOAT8, oids.NUMERIC)


def to_engine(oid: int, value: t.Any) -> t.Any:
    """Convert a bound parameter to its stored SQLite value; raise PgError."""
    if value is None:
        return None
    try:
        return _to_engine(oid, value)
    except ValueError as exc:
        raise PgError("22P02", f"invalid input for type OID {oid}: {value!r}") from exc


def _to_engine(oid: int, value: t.Any) -> t.Any:
    if isinstance(value, list):
        return json.dumps(value)
    if oid in _INTEGERS:
        return int(value)
    if oid in _FLOATS:
        return float(value)
    if oid == oids.BOOL:
        return int(value.lower() in ("t", "true", "1", "on", "yes"))
    if oid == oids.BYTEA:
        return bytes.fromhex(value.removeprefix("\\x"))
    return value


def from_engine(oid: int, value: t.Any) -> t.Any:
    """Convert a stored value to the input of the wire encoder for its type."""
    convert = _DECODERS.get(oid)
    if value is None or convert is None:
        return value if value is None or oid in _NATIVE else str(value)
    return convert(value)


_NATIVE = (*_INTEGERS, oids.FLOAT4, oids.FLOAT8, oids.BYTEA)
_DECODERS: dict[int, t.Callable[[t.Any], t.Any]] = {
    oids.BOOL: bool,
    oids.NUMERIC: lambda value: decimal.Decimal(str(value)),
    oids.TIMESTAMP: lambda value: datetime.datetime.fromisoformat(str(value)),
    oids.TIMESTAMPTZ: lambda value: datetime.datetime.fromisoformat(str(value)),
    oids.DATE: lambda value: datetime.date.fromisoformat(str(value)),
}
