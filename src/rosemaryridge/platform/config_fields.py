"""Find the fields of a configuration that proxies cannot read.

Only the command line loads this module.
"""

import difflib
import math
import typing as t

from rosemaryridge.platform import documents


class FieldProblem(t.NamedTuple):
    """Describe a field; `fatal` is false if proxies ignore it."""

    path: str
    text: str
    fatal: bool = True


class _Element(t.NamedTuple):
    """Describe the entries of one part: their fields and the proxies' decoder."""

    decode: t.Callable[[t.Any], t.Any]
    required: tuple[str, ...]
    optional: tuple[str, ...]
    # Numbers that must be above 0, and those that may be 0.
    positive: tuple[str, ...] = ()
    amounts: tuple[str, ...] = ()


_ROUTE = _Element(
    documents.decode_route,
    ("database", "service", "type", "timeout_ms", "target_latency_ms", "priority"),
    ("name", "path_prefix", "max_staleness_ms", "allow_anonymous", "retry_attempts"),
    ("timeout_ms", "target_latency_ms"),
    ("priority", "max_staleness_ms", "retry_attempts"),
)
_SERVICE = _Element(
    documents.decode_connection_limit,
    ("name", "max_conns"),
    ("health_path", "protocol", "tls", "sync_replicas"),
    ("max_conns",),
    ("sync_replicas",),
)
_BUSINESS = _Element(
    documents.decode_business,
    ("name", "api_keys"),
    ("priority", "rate_per_s", "burst"),
    (),
    ("rate_per_s", "burst"),
)
_LIMITS = _Element(
    documents.decode_transaction_idle_s,
    ("tx_idle_ms",),
    ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"),
    ("tx_idle_ms",),
)
_LISTS = {"routes": _ROUTE, "services": _SERVICE, "tenants": _BUSINESS}
_REQUIRED = ("version", "routes", "services", "limits")
_KNOWN = (*_REQUIRED, "tenants")


def find_problems(spec: t.Any) -> list[FieldProblem]:
    """Return all problems of a configuration's fields."""
    if not isinstance(spec, dict):
        return [FieldProblem("", "expected an object")]
    found = list(_find_names("", spec, _REQUIRED, _KNOWN))
    if type(spec.get("version", 0)) is not int:
        found.append(FieldProblem("version", "expected a whole number"))
    for name, element in _LISTS.items():
        entries = spec.get(name)
        if entries is None:
            continue
        if not isinstance(entries, list):
            found.append(FieldProblem(name, "expected a list"))
            continue
        for index, entry in enumerate(entries):
            found += _find_in_entry(f"{name}[{index}]", entry, element)
    if "limits" in spec:
        found += _find_in_entry("limits", spec["limits"], _LIMITS)
    if not any(problem.fatal for problem in found):
        found += _find_undecodable(spec)
    return found


def _find_undecodable(spec: t.Any) -> t.Iterator[FieldProblem]:
    """Return what only the proxies' decoder finds."""
    try:
        documents.decode_config(spec)
    except documents.UnreadableDocument as exc:
        yield FieldProblem("", str(exc))


def _find_in_entry(
    path: str, entry: t.Any, element: _Element
) -> t.Iterator[FieldProblem]:
    if not isinstance(entry, dict):
        yield FieldProblem(path, "expected an object")
        return
    known = (*element.required, *element.optional)
    names = list(_find_names(f"{path}.", entry, element.required, known))
    yield from names
    numbers = list(_find_numbers(path, entry, element))
    yield from numbers
    if numbers or any(problem.fatal for problem in names):
        return
    try:
        element.decode(entry)
    except documents.DECODE_ERRORS as exc:
        yield FieldProblem(path, _describe(entry, exc))


def _describe(entry: dict[str, t.Any], exc: Exception) -> str:
    if isinstance(exc, KeyError) and exc.args:
        known = ", ".join(documents.CONSISTENCY_BY_TYPE)
        return f"unknown type {exc.args[0]!r}; expected one of {known}"
    return str(exc)


def _find_names(
    prefix: str,
    entry: dict[str, t.Any],
    required: t.Sequence[str],
    known: t.Sequence[str],
) -> t.Iterator[FieldProblem]:
    for name in required:
        if name not in entry:
            yield FieldProblem(f"{prefix}{name}", "the field is missing")
    for name in entry:
        if name not in known:
            close = difflib.get_close_matches(name, known, 1)
            hint = f"; did you mean {close[0]}?" if close else ""
            yield FieldProblem(f"{prefix}{name}", f"unknown field{hint}", False)


def _find_numbers(
    path: str, entry: dict[str, t.Any], element: _Element
) -> t.Iterator[FieldProblem]:
    for name in (*element.positive, *element.amounts):
        value = entry.get(name)
        if value is None and name not in element.required:
            continue
        if name not in entry:
            continue
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value):
            yield FieldProblem(f"{path}.{name}", f"expected a number, got {value!r}")
        elif value < 0 or value == 0 and name in element.positive:
            bound = "above 0" if name in element.positive else "0 or more"
            yield FieldProblem(f"{path}.{name}", f"expected {bound}, got {value!r}")
