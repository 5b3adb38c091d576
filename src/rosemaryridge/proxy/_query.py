"""Parse the statements that callers send."""

import dataclasses

from asyncpg.protocol.protocol import BUILTIN_TYPE_OID_MAP

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.sql import Statement
from rosemaryridge.sql import StatementCache
from rosemaryridge.sql import cast_parameters
from rosemaryridge.sql import split_leading_settings

_UNKNOWN_OIDS = (0, 705)
_MAX_CHAR_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Hold a statement, the text to send and the settings of its leading comment."""

    statement: Statement
    text: str
    settings: tuple[tuple[str, str], ...]


def queries_of(
    cache: StatementCache, text: str, param_oids: tuple[int, ...]
) -> list[Query]:
    """Return the statements of a text, cast to the declared parameter types."""
    settings, rest = split_leading_settings(text)
    return [
        Query(statement, _cast(statement.text, param_oids), settings)
        for statement in cache.parse(rest)
    ]


def check_size(text: str, limit_bytes: int) -> None:
    """Raise Refusal if a text is larger than `limit_bytes`."""
    if len(text) * _MAX_CHAR_BYTES <= limit_bytes:
        return
    if len(text.encode()) > limit_bytes:
        detail = f"the statement exceeds max_statement_bytes ({limit_bytes} bytes)"
        raise Refusal(codes.caller.STATEMENT_TOO_LARGE, detail)


def _cast(text: str, param_oids: tuple[int, ...]) -> str:
    if not any(param_oids):
        return text
    names = tuple(
        "" if oid in _UNKNOWN_OIDS else BUILTIN_TYPE_OID_MAP.get(oid, "")
        for oid in param_oids
    )
    return cast_parameters(text, names)
