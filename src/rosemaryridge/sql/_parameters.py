"""Write the parameter types that a caller declared into the statement."""

import functools

import sqlglot

from rosemaryridge.sql._tokens import PARAMETER_MARK
from rosemaryridge.sql._tokens import tokenize

_CACHE_SIZE = 2048


@functools.lru_cache(maxsize=_CACHE_SIZE)
def cast_parameters(text: str, types: tuple[str, ...]) -> str:
    """Return a statement in which each `$n` is cast to its type; "" leaves it."""
    if not any(types) or "$" not in text:
        return text
    try:
        tokens = tokenize(text)
    except sqlglot.errors.SqlglotError:
        return text
    pieces, end = [], 0
    for token in tokens:
        digits = token.text.removeprefix(PARAMETER_MARK)
        if text[token.start : token.end + 1] != f"${digits}" or not digits.isdigit():
            continue
        index = int(digits) - 1
        name = types[index] if index < len(types) else ""
        if name:
            pieces.append(f"{text[end : token.end + 1]}::{name}")
            end = token.end + 1
    return "".join(pieces) + text[end:]
