"""Explain a request from the log lines of proxies."""

import json
import typing as t

# Beliefs that decided a statement changed at most this long before it was logged.
_BEFORE_S = 5.0

Line = dict[str, t.Any]


def explain_request(lines: t.Iterable[str], request: str) -> list[Line]:
    """Return a request's lines and what its proxy came to believe before them.

    Only lines of the same service are shown, and those of no service. Lines that
    cannot be read are passed over. Raises KeyError where the request was not logged.
    """
    read = [line for line in map(_read, lines) if line is not None]
    own = [line for line in read if line.get("id") == request]
    if not own:
        raise KeyError(request)
    first, last = own[0], own[-1]
    return [line for line in read if line in own or _decided(line, first, last)]


def _decided(line: Line, first: Line, last: Line) -> bool:
    if "id" in line or line.get("vm") != first.get("vm"):
        return False
    if line.get("service", first.get("service")) != first.get("service"):
        return False
    return first["at"] - _BEFORE_S <= line["at"] <= last["at"]


def _read(text: str) -> Line | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return line if isinstance(line, dict) and "event" in line and "at" in line else None
