"""Describe the keys of a configuration file for the reference tables."""

import dataclasses
import enum
import types
import typing as t

import msgspec

from rosemaryridge.config._converters import CONVERTERS
from rosemaryridge.config._load import to_plain
from rosemaryridge.fields import is_required
from rosemaryridge.fields import note_of

_UNITS = {"_s": "seconds", "_bytes": "bytes", "_per_s": "per second"}
_SHARE_NAMES = ("share", "jitter", "ratio")


@dataclasses.dataclass(frozen=True, slots=True)
class KeyNote:
    """Describe one key; `default` is JSON, empty if the key is required."""

    path: str
    default: str
    unit: str
    allowed: str
    reload: str
    meaning: str


def describe(kind: type, path: str = "") -> tuple[KeyNote, ...]:
    """Return the keys of a class and, recursively, of its sections."""
    return tuple(_describe_fields(kind, path))


def _describe_fields(kind: type, path: str) -> t.Iterator[KeyNote]:
    hints = t.get_type_hints(kind, include_extras=True)
    for field in dataclasses.fields(kind):
        note = note_of(field)
        if note.internal:
            continue
        key_path = f"{path}.{field.name}" if path else field.name
        hint = hints[field.name]
        inner, is_list = _section_of(hint)
        if inner is None or is_list:
            yield _describe_field(field, hint, key_path)
        if inner is not None:
            yield from _describe_fields(inner, f"{key_path}[]" if is_list else key_path)


def _describe_field(field: dataclasses.Field, hint: t.Any, key_path: str) -> KeyNote:
    note = note_of(field)
    default = "" if is_required(field) else _default(field)
    reload = "yes" if note.live else "no"
    return KeyNote(key_path, default, _unit(key_path), _allowed(hint), reload, note.doc)


def _default(field: dataclasses.Field) -> str:
    return msgspec.json.encode(to_plain(field.default)).decode()


def _unit(key_path: str) -> str:
    name = key_path.rpartition(".")[2]
    if name.endswith("_per_s"):
        return _UNITS["_per_s"]
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return unit
    return "share" if name.endswith(_SHARE_NAMES) else ""


def _allowed(hint: t.Any) -> str:
    origin = t.get_origin(hint)
    args = t.get_args(hint)
    if origin is t.Annotated:
        bounds = ", ".join(map(str, args[1:]))
        return f"{_allowed(args[0])}, {bounds}"
    if origin in (types.UnionType, t.Union):
        inner = next(arg for arg in args if arg is not type(None))
        return f"{_allowed(inner)}, or null"
    if origin is tuple:
        return f"a list; each {_allowed(args[0])}"
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return "one of " + ", ".join(member.name.lower() for member in hint)
    return CONVERTERS[hint][1] if hint in CONVERTERS else "an object"


def _section_of(hint: t.Any) -> tuple[type | None, bool]:
    if t.get_origin(hint) is t.Annotated:
        return _section_of(t.get_args(hint)[0])
    if t.get_origin(hint) is tuple:
        return _section_of(t.get_args(hint)[0])[0], True
    is_section = dataclasses.is_dataclass(hint) and hint not in CONVERTERS
    return (hint if is_section else None), False
