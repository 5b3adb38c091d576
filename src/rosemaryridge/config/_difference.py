"""Name what differs between two service documents."""

import dataclasses
import typing as t

from rosemaryridge.config._check import join
from rosemaryridge.config._check import show

_ABSENT: t.Final = object()
_LABELS = ("name", "user")
_SECRETS = frozenset({"verifier"})


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Name one path whose value differs; a secret is not shown."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def differences(before: t.Any, after: t.Any) -> tuple[Difference, ...]:
    """Return what differs, by path; entries of lists are matched by name."""
    old, new = dict(_flatten(before, "")), dict(_flatten(after, ""))
    paths = dict.fromkeys([*old, *new])
    pairs = ((path, old.get(path, _ABSENT), new.get(path, _ABSENT)) for path in paths)
    return tuple(
        Difference(path, _text(path, one), _text(path, two))
        for path, one, two in pairs
        if one != two
    )


def _flatten(value: t.Any, path: str) -> t.Iterator[tuple[str, t.Any]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, join(path, key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _flatten(item, f"{path}[{_label(item, position)}]")
    else:
        yield path, value


def _label(item: t.Any, position: int) -> str:
    if isinstance(item, dict):
        for key in _LABELS:
            if key in item:
                return str(item[key])
    return str(position)


def _text(path: str, value: t.Any) -> str:
    if value is _ABSENT:
        return "nothing"
    if path.rpartition(".")[2] in _SECRETS:
        return "a secret"
    return show(value)
