"""Add casts to the parameter types that a caller declared."""

import functools

import sqlglot

from rosemaryridge.sql._tokens import PARAMETER_MARK
from rosemaryridge.sql._tokens import tokenize

_CACHE_SIZE = 2048


@functools.lru_cache(maxsize=_CACHE_SIZE)
def cast_parameters(text: str, types: tuple[str, ...]) -> str:
    """Return the text with each `$n` cast to the nth type, unless that is ""."""
    if not any(types) or "$" not in text:
        return text
    try:
        tokens = tokenize(text)
    except sqlglot.errors.SqlglotError:
        return text
    parts, end = [], 0
    for token in tokens:
        digits = token.text.removeprefix(PARAMETER_MARK)
        if text[token.start : token.end + 1] != f"${digits}" or not digits.isdigit():
            continue
        index = int(digits) - 1
        name = types[index] if index < len(types) else ""
        if name:
            parts.append(f"{text[end : token.end + 1]}::{name}")
            end = token.end + 1
    return "".join(parts) + text[end:]
