"""Hold what a caller asks of its requests."""

import dataclasses
import math
import typing as t

from rosemaryridge import codes
from rosemaryridge.config import Priority
from rosemaryridge.exceptions import Refusal

PREFIX = "rosemaryridge."
TOKEN = f"{PREFIX}token"
_MAX_NAME_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOptions:
    """Hold the `rosemaryridge.*` settings in force; None and "" mean not set."""

    session: str = ""
    token: str = ""
    report_token: bool | None = None
    max_age_s: float | None = None
    idempotent: bool | None = None
    request_key: str = ""
    deadline_s: float | None = None
    priority: Priority | None = None


Parser = t.Callable[[str], t.Any]
_PARSERS: dict[str, tuple[str, Parser]] = {}


def _option(name: str, field: str = "") -> t.Callable[[Parser], Parser]:
    """Register how the value of a setting is read."""

    def register(parser: Parser) -> Parser:
        _PARSERS[name] = (field or name, parser)
        return parser

    return register


def with_option(options: RequestOptions, name: str, value: str) -> RequestOptions:
    """Return options with one setting changed; raise Refusal."""
    found = _PARSERS.get(name)
    if found is None:
        raise Refusal(codes.caller.BAD_SETTING, f"no setting is named {PREFIX}{name}")
    field, parse = found
    try:
        return dataclasses.replace(options, **{field: parse(value.strip())})
    except ValueError as exc:
        text = f"{PREFIX}{name} cannot be {value!r}: {exc}"
        raise Refusal(codes.caller.BAD_SETTING, text) from exc


def without_option(options: RequestOptions, name: str) -> RequestOptions:
    """Return options with one setting back at its default; raise Refusal."""
    found = _PARSERS.get(name)
    if found is None:
        raise Refusal(codes.caller.BAD_SETTING, f"no setting is named {PREFIX}{name}")
    field = found[0]
    return dataclasses.replace(options, **{field: getattr(RequestOptions(), field)})


def show_option(options: RequestOptions, name: str) -> str:
    """Return a setting's value as text; raise Refusal."""
    found = _PARSERS.get(name)
    if found is None:
        raise Refusal(codes.caller.BAD_SETTING, f"no setting is named {PREFIX}{name}")
    value = getattr(options, found[0])
    if value is None:
        return ""
    if isinstance(value, bool):
        return "on" if value else "off"
    return value.name.lower() if isinstance(value, Priority) else str(value)


@_option("session")
@_option("token")
@_option("request_key")
def _text(value: str) -> str:
    if len(value) > _MAX_NAME_CHARS:
        raise ValueError(f"longer than {_MAX_NAME_CHARS} characters")
    return value


@_option("max_age", "max_age_s")
def _age(value: str) -> float | None:
    return _seconds(value) if value else None


@_option("deadline", "deadline_s")
def _deadline(value: str) -> float | None:
    seconds = _seconds(value) if value else None
    if seconds == 0.0:
        raise ValueError("must be above 0")
    return seconds


def _seconds(value: str) -> float:
    seconds = float(value.removesuffix("s"))
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError("must be a number of seconds")
    return seconds


@_option("idempotent")
@_option("report_token")
def _flag(value: str) -> bool | None:
    words = {"on": True, "true": True, "off": False, "false": False, "": None}
    if value.lower() not in words:
        raise ValueError("must be on or off")
    return words[value.lower()]


@_option("priority")
def _priority(value: str) -> Priority | None:
    if not value:
        return None
    try:
        return Priority[value.upper()]
    except KeyError:
        names = ", ".join(priority.name.lower() for priority in Priority)
        raise ValueError(f"must be one of {names}") from None
