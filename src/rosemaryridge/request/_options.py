"""Parse the settings by which a caller controls its requests."""

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
    """Hold the current `rosemaryridge.*` settings; None and "" mean not set."""

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
    """Register the parser of a setting; `field` defaults to the setting's name."""

    def register(parser: Parser) -> Parser:
        _PARSERS[name] = (field or name, parser)
        return parser

    return register


def with_option(options: RequestOptions, name: str, value: str) -> RequestOptions:
    """Return options with a setting changed; raise Refusal if it is invalid."""
    entry = _PARSERS.get(name)
    if entry is None:
        raise Refusal(
            codes.caller.BAD_SETTING,
            f"unknown setting {PREFIX}{name}; check its spelling",
        )
    field, parse = entry
    try:
        return dataclasses.replace(options, **{field: parse(value.strip())})
    except ValueError as exc:
        text = f"{PREFIX}{name} has the invalid value {value!r}: {exc}"
        raise Refusal(codes.caller.BAD_SETTING, text) from exc


def without_option(options: RequestOptions, name: str) -> RequestOptions:
    """Return options with a setting reset; raise Refusal if it is unknown."""
    entry = _PARSERS.get(name)
    if entry is None:
        raise Refusal(
            codes.caller.BAD_SETTING,
            f"unknown setting {PREFIX}{name}; check its spelling",
        )
    field = entry[0]
    return dataclasses.replace(options, **{field: getattr(RequestOptions(), field)})


def show_option(options: RequestOptions, name: str) -> str:
    """Return the value of a setting as text; raise Refusal if it is unknown."""
    entry = _PARSERS.get(name)
    if entry is None:
        raise Refusal(
            codes.caller.BAD_SETTING,
            f"unknown setting {PREFIX}{name}; check its spelling",
        )
    value = getattr(options, entry[0])
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
        raise ValueError(f"expected at most {_MAX_NAME_CHARS} characters")
    return value


@_option("max_age", "max_age_s")
def _max_age(value: str) -> float | None:
    return _seconds(value) if value else None


@_option("deadline", "deadline_s")
def _deadline(value: str) -> float | None:
    seconds = _seconds(value) if value else None
    if seconds == 0.0:
        raise ValueError("expected a number of seconds above 0")
    return seconds


def _seconds(value: str) -> float:
    seconds = float(value.removesuffix("s"))
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError("expected a finite number of seconds, 0 or more")
    return seconds


@_option("idempotent")
@_option("report_token")
def _flag(value: str) -> bool | None:
    values = {"on": True, "true": True, "off": False, "false": False, "": None}
    if value.lower() not in values:
        raise ValueError("expected on or off")
    return values[value.lower()]


@_option("priority")
def _priority(value: str) -> Priority | None:
    if not value:
        return None
    try:
        return Priority[value.upper()]
    except KeyError:
        names = ", ".join(priority.name.lower() for priority in Priority)
        raise ValueError(f"expected one of {names}") from None
