"""Convert errors to the fields of an ErrorResponse."""

import struct

import asyncpg
from pg_mimic.errors import PgError

from rosemaryridge.codes import Code
from rosemaryridge.exceptions import Refusal
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import redact_error

Fields = dict[str, str]

_PROTOCOL_VIOLATION = "08P01"

log = Log("wire")

_TARGET_FIELDS = (
    ("S", "severity"),
    ("V", "severity_en"),
    ("C", "sqlstate"),
    ("M", "message"),
    ("D", "detail"),
    ("H", "hint"),
    ("P", "position"),
    ("p", "internal_position"),
    ("q", "internal_query"),
    ("W", "context"),
    ("s", "schema_name"),
    ("t", "table_name"),
    ("c", "column_name"),
    ("d", "data_type_name"),
    ("n", "constraint_name"),
    ("F", "server_source_filename"),
    ("L", "server_source_line"),
    ("R", "server_source_function"),
)


def target_fields(exc: asyncpg.PostgresError | asyncpg.PostgresLogMessage) -> Fields:
    """Return the fields of a target's error or notice unchanged."""
    fields = {}
    for code, attribute in _TARGET_FIELDS:
        value = getattr(exc, attribute, None)
        if value is not None:
            fields[code] = str(value)
    fields.setdefault("S", "ERROR")
    fields.setdefault("V", fields["S"])
    fields.setdefault("M", str(exc))
    return fields


def refusal_fields(exc: Refusal, severity: str = "ERROR") -> Fields:
    """Return the fields of a refusal; the detail has its code and outcome."""
    return {
        "S": severity,
        "V": severity,
        "C": exc.code.sqlstate,
        "M": exc.detail or exc.code.meaning,
        "D": refusal_detail(exc.code),
        "H": refusal_hint(exc),
    }


def refusal_detail(code: Code) -> str:
    """Return the number and name of a code and its outcome."""
    return f"rosemaryridge {code.number} {code.name}; outcome: {code.outcome.value}"


def refusal_hint(exc: Refusal) -> str:
    """Return the recommended action and the retry delay in seconds, if any."""
    if exc.retry_after_s is None:
        return exc.code.action
    return f"{exc.code.action} Retry after {exc.retry_after_s:.3f} s."


def plain_fields(sqlstate: str, message: str, severity: str = "ERROR") -> Fields:
    """Return the fields of a PostgreSQL error that has no refusal code."""
    return {"S": severity, "V": severity, "C": sqlstate, "M": message}


def error_fields(exc: Exception) -> Fields:
    """Return the fields of any error; log unexpected ones as internal errors."""
    if isinstance(exc, Refusal):
        return refusal_fields(exc)
    if isinstance(exc, asyncpg.PostgresError):
        return target_fields(exc)
    if isinstance(exc, PgError):
        return {**plain_fields(exc.sqlstate, exc.message), **exc.fields}
    if isinstance(exc, UnicodeDecodeError):
        return plain_fields(
            "22021", "invalid byte sequence in a message; expected UTF-8"
        )
    if isinstance(exc, struct.error | IndexError):
        return plain_fields(
            _PROTOCOL_VIOLATION,
            "malformed message; expected the PostgreSQL protocol version 3 format",
        )
    log.error(
        "Statement failed with an unexpected error in the proxy.",
        error=redact_error(exc),
    )
    return plain_fields("XX000", f"internal error: {type(exc).__name__}")
