"""Decode JSON of which single parts cannot be decoded."""

import json
import re
import typing as t

_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(rf"{_STRING}|[\[{{]+|[\]}}]+|,", re.DOTALL)
_KEY = re.compile(rf"\s*({_STRING})\s*:", re.DOTALL)
_REASON_CHARS = 200


class Unreadable(t.NamedTuple):
    """Stand for a part that cannot be decoded."""

    reason: str


def decode_parts(text: str, levels: int) -> t.Any:
    """Return decoded JSON, with `Unreadable` for what cannot be decoded.

    Where a value cannot be decoded, its members are decoded one by one, down to
    `levels` containers within each other. No part is nested too deep to be skipped.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        fault = Unreadable(f"{type(exc).__name__}: {exc}"[:_REASON_CHARS])
    members = _split(text) if levels > 0 else None
    if members is None:
        return fault
    if text.lstrip().startswith("["):
        return [decode_parts(member, levels - 1) for member in members]
    found = {}
    for member in members:
        key = _KEY.match(member)
        if key is None:
            return fault
        name = decode_parts(key[1], 0)
        if isinstance(name, str):
            found[name] = decode_parts(member[key.end() :], levels - 1)
    return found


def _split(text: str) -> list[str] | None:
    """Return the members of an array or object as text; None if it is neither."""
    if not text.lstrip().startswith(("[", "{")):
        return None
    members: list[str] = []
    depth, start = 0, 0
    for token in _TOKEN.finditer(text):
        first, length = text[token.start()], token.end() - token.start()
        if first in "[{":
            start = start if depth else token.start() + 1
            depth += length
        elif first in "]}":
            if length >= depth:
                end = token.start() + depth
                if text[end:].strip():
                    return None
                members.append(text[start : end - 1])
                return members if any(map(str.strip, members)) else []
            depth -= length
        elif first == "," and depth == 1:
            members.append(text[start : token.start()])
            start = token.end()
    return None
