"""Explain a request from the log lines of proxies."""

import json
import typing as t

# State changes that affect a statement are logged at most this long before it.
_LOOKBACK_S = 5.0

Line = dict[str, t.Any]


def explain_request(lines: t.Iterable[str], request: str) -> list[Line]:
    """Return a request's log lines and its proxy's state changes before them.

    Lines of other services and lines that cannot be parsed are skipped. Raises
    KeyError if no line has the request's id.
    """
    parsed = list(parse_lines(lines))
    own = [line for line in parsed if line.get("id") == request]
    if not own:
        raise KeyError(request)
    first, last = own[0], own[-1]
    return [line for line in parsed if line in own or _may_affect(line, first, last)]


def parse_lines(lines: t.Iterable[str]) -> t.Iterator[Line]:
    """Yield the events of log lines; other lines are skipped."""
    return (line for line in map(_parse_line, lines) if line is not None)


def _may_affect(line: Line, first: Line, last: Line) -> bool:
    if "id" in line or line.get("vm") != first.get("vm"):
        return False
    if line.get("service", first.get("service")) != first.get("service"):
        return False
    return first["at"] - _LOOKBACK_S <= line["at"] <= last["at"]


def _parse_line(text: str) -> Line | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return line if isinstance(line, dict) and "event" in line and "at" in line else None
