"""Remove secrets and statement literals from log fields."""

import typing as t

import sqlglot
from sqlglot.tokens import TokenType

SECRET_KEYS = frozenset({"password", "verifier", "secret", "token"})
STATEMENT_KEYS = frozenset({"statement", "sql"})

_REDACTED = "(hidden)"
_UNPARSABLE = "(unreadable statement)"
_STATEMENT_MAX_CHARS = 500
_PLAIN_TYPES = (str, int, float, bool, type(None))
_LITERAL_TYPES = frozenset(
    kind
    for kind in TokenType
    if kind is TokenType.NUMBER or kind.name.endswith("STRING")
)


def redact_statement(sql: str) -> str:
    """Return a statement with each literal replaced by a question mark.

    The result has at most 500 characters; comments are removed.
    """
    try:
        tokens = sqlglot.tokenize(sql, read="postgres")
    except sqlglot.errors.SqlglotError:
        return _UNPARSABLE
    words = ("?" if tok.token_type in _LITERAL_TYPES else tok.text for tok in tokens)
    return " ".join(words)[:_STATEMENT_MAX_CHARS]


def redact_error(exc: BaseException) -> str:
    """Return the type and SQLSTATE of an error.

    The text of the error is left out, since it may quote data of a caller.
    """
    sqlstate = getattr(exc, "sqlstate", None)
    name = type(exc).__name__
    return f"{name} {sqlstate}" if sqlstate else name


def redact(key: str, value: t.Any) -> t.Any:
    """Return the loggable value of a field; `key` is the name of the field."""
    if key in SECRET_KEYS:
        return _REDACTED
    if key in STATEMENT_KEYS:
        return redact_statement(str(value))
    if isinstance(value, BaseException):
        return redact_error(value)
    if isinstance(value, _PLAIN_TYPES):
        return value
    return str(value)
