"""Turn errors into the fields of an ErrorResponse."""

import asyncpg

from rosemaryridge.codes import Code
from rosemaryridge.exceptions import Refusal

Fields = dict[str, str]

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
    """Return the fields of a target's own error or notice, as it sent them."""
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
    """Return the fields of a refusal: its code and outcome are in the detail."""
    return {
        "S": severity,
        "V": severity,
        "C": exc.code.sqlstate,
        "M": exc.detail or exc.code.meaning,
        "D": refusal_detail(exc.code),
        "H": refusal_hint(exc),
    }


def refusal_detail(code: Code) -> str:
    """Return the numbered code and the outcome's word."""
    return f"rosemaryridge {code.number} {code.name}; outcome: {code.outcome.value}"


def refusal_hint(exc: Refusal) -> str:
    """Return what to do and, where it helps, when to come back."""
    if exc.retry_after_s is None:
        return exc.code.action
    return f"{exc.code.action} Retry after {exc.retry_after_s:.3f} s."


def plain_fields(sqlstate: str, message: str, severity: str = "ERROR") -> Fields:
    """Return the fields of an error that PostgreSQL itself would report."""
    return {"S": severity, "V": severity, "C": sqlstate, "M": message}
