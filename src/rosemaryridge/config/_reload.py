"""Apply changed settings while the process runs."""

import dataclasses
import typing as t

from rosemaryridge.config._check import join_path
from rosemaryridge.config._converters import CONVERTERS
from rosemaryridge.config._settings import ProxySettings
from rosemaryridge.fields import note_of


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """Hold the settings in force after a reload.

    `applied` lists the paths of applied changes, `waiting` those of changes that need
    a restart.
    """

    settings: ProxySettings
    applied: tuple[str, ...]
    waiting: tuple[str, ...]


def reload_settings(current: ProxySettings, wanted: ProxySettings) -> Reload:
    """Apply the changes that need no restart, and list those that do."""
    applied: list[str] = []
    waiting: list[str] = []
    settings = _merge(current, wanted, "", applied, waiting)
    return Reload(settings, tuple(applied), tuple(waiting))


def _merge(
    current: t.Any, wanted: t.Any, path: str, applied: list[str], waiting: list[str]
) -> t.Any:
    changes = {}
    for field in dataclasses.fields(current):
        old, new = getattr(current, field.name), getattr(wanted, field.name)
        key_path = join_path(path, field.name)
        if old == new:
            continue
        if note_of(field).live:
            applied.append(key_path)
            changes[field.name] = new
        elif _is_section(old):
            changes[field.name] = _merge(old, new, key_path, applied, waiting)
        else:
            waiting.append(key_path)
    return dataclasses.replace(current, **changes)


def _is_section(value: t.Any) -> bool:
    return dataclasses.is_dataclass(value) and type(value) not in CONVERTERS
