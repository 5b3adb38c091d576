"""Decide what changed settings change while the process runs."""

import dataclasses
import typing as t

from rosemaryridge.config._check import join
from rosemaryridge.config._converters import CONVERTERS
from rosemaryridge.config._settings import ProxySettings
from rosemaryridge.fields import note_of


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """Hold the settings in force after a reload.

    `applied` are the paths that changed, `waiting` those that need a restart.
    """

    settings: ProxySettings
    applied: tuple[str, ...]
    waiting: tuple[str, ...]


def reload_settings(current: ProxySettings, wanted: ProxySettings) -> Reload:
    """Take over from new settings what can change without a restart."""
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
        where = join(path, field.name)
        if old == new:
            continue
        if note_of(field).live:
            applied.append(where)
            changes[field.name] = new
        elif _is_section(old):
            changes[field.name] = _merge(old, new, where, applied, waiting)
        else:
            waiting.append(where)
    return dataclasses.replace(current, **changes)


def _is_section(value: t.Any) -> bool:
    return dataclasses.is_dataclass(value) and type(value) not in CONVERTERS
