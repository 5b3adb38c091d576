"""Keep secrets and statement literals out of logs."""

import typing as t

import sqlglot
from sqlglot.tokens import TokenType

SECRET_KEYS = frozenset({"password", "verifier", "secret", "token"})
STATEMENT_KEYS = frozenset({"statement", "sql"})

_HIDDEN = "(hidden)"
_UNREADABLE = "(unreadable statement)"
_STATEMENT_MAX_CHARS = 500
_KEPT_TYPES = (str, int, float, bool, type(None))
_LITERALS = frozenset(
    kind
    for kind in TokenType
    if kind is TokenType.NUMBER or kind.name.endswith("STRING")
)


def redact_statement(sql: str) -> str:
    """Return a statement with each literal replaced by a question mark."""
    try:
        tokens = sqlglot.tokenize(sql, read="postgres")
    except sqlglot.errors.SqlglotError:
        return _UNREADABLE
    words = ("?" if tok.token_type in _LITERALS else tok.text for tok in tokens)
    return " ".join(words)[:_STATEMENT_MAX_CHARS]


def redact_error(exc: BaseException) -> str:
    """Name an error by type and SQLSTATE; its text may quote a caller's data."""
    sqlstate = getattr(exc, "sqlstate", None)
    name = type(exc).__name__
    return f"{name} {sqlstate}" if sqlstate else name


def redact(key: str, value: t.Any) -> t.Any:
    """Return a field of a log line as it may be written."""
    if key in SECRET_KEYS:
        return _HIDDEN
    if key in STATEMENT_KEYS:
        return redact_statement(str(value))
    if isinstance(value, BaseException):
        return redact_error(value)
    if isinstance(value, _KEPT_TYPES):
        return value
    return str(value)
