"""Compare two service documents."""

import dataclasses
import typing as t

from rosemaryridge.config._check import format_value
from rosemaryridge.config._check import join_path

_ABSENT: t.Final = object()
_LABEL_KEYS = ("name", "user")
_SECRET_KEYS = frozenset({"verifier"})


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Describe a path whose value differs, without showing secrets."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def differences(before: t.Any, after: t.Any) -> tuple[Difference, ...]:
    """Return the differences by path; list entries are matched by name or user."""
    old, new = dict(_flatten(before, "")), dict(_flatten(after, ""))
    paths = dict.fromkeys([*old, *new])
    pairs = ((path, old.get(path, _ABSENT), new.get(path, _ABSENT)) for path in paths)
    return tuple(
        Difference(path, _format_or_hide(path, left), _format_or_hide(path, right))
        for path, left, right in pairs
        if left != right
    )


def _flatten(value: t.Any, path: str) -> t.Iterator[tuple[str, t.Any]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, join_path(path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}[{_label(item, index)}]")
    else:
        yield path, value


def _label(item: t.Any, index: int) -> str:
    if isinstance(item, dict):
        for key in _LABEL_KEYS:
            if key in item:
                return str(item[key])
    return str(index)


def _format_or_hide(path: str, value: t.Any) -> str:
    if value is _ABSENT:
        return "nothing"
    if path.rpartition(".")[2] in _SECRET_KEYS:
        return "a secret"
    return format_value(value)
