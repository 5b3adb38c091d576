"""Read settings and service files; encode and decode stored services."""

import dataclasses
import enum
import pathlib
import typing as t

import json5
import msgspec
from result import Err
from result import Ok
from result import Result

from rosemaryridge.config import _rules  # noqa: F401  (registers the rules)
from rosemaryridge.config._check import Checker
from rosemaryridge.config._check import Fault
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._settings import ProxySettings
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.fields import note_of
from rosemaryridge.model import Endpoint

# Key of the publication record, which publishing adds to a stored service.
PUBLICATION_KEY = "publication"

_PathLike = str | pathlib.Path


def load_settings(path: _PathLike) -> ProxySettings:
    """Read a settings file; raise SettingsError with every fault."""
    settings = _build(Checker(str(path)), ProxySettings, _read(path))
    return _with_password(settings, str(path))


def load_service(path: _PathLike) -> ServiceConfig:
    """Read a service file as revision 0; raise SettingsError with every fault."""
    return _build(Checker(str(path), revision=0), ServiceConfig, _read(path))


def check_service(path: _PathLike) -> Result[ServiceConfig, SettingsError]:
    """Read a service file; return its faults instead of raising them."""
    try:
        return Ok(load_service(path))
    except SettingsError as exc:
        return Err(exc)


def encode_service(service: ServiceConfig) -> bytes:
    """Encode a service for the object store."""
    return msgspec.json.encode(to_plain(service), order="sorted")


def decode_service(value: bytes, revision: int) -> ServiceConfig:
    """Decode a stored value; raise SettingsError with every fault."""
    name = f"revision {revision}"
    try:
        document = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise SettingsError((Fault(name, "(document)", str(exc), "JSON"),)) from exc
    if isinstance(document, dict):
        document.pop(PUBLICATION_KEY, None)
    return _build(Checker(name, revision=revision), ServiceConfig, document)


def to_plain(value: t.Any) -> t.Any:
    """Convert configuration to plain lists, dictionaries, strings and numbers."""
    if isinstance(value, Endpoint):
        return str(value)
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        public = [field.name for field in fields if not note_of(field).internal]
        return {name: to_plain(getattr(value, name)) for name in public}
    return value


def _read(path: _PathLike) -> t.Any:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return json5.loads(text, allow_duplicate_keys=False)
    except (OSError, ValueError, RecursionError) as exc:
        fault = Fault(str(path), "(document)", str(exc), "JSON with comments")
        raise SettingsError((fault,)) from exc


def _build(checker: Checker, kind: type, document: t.Any) -> t.Any:
    built = checker.build(kind, document)
    if checker.faults:
        raise SettingsError(tuple(checker.faults))
    return built


def _with_password(settings: ProxySettings, file: str) -> ProxySettings:
    path = settings.targets.password_file
    if not path:
        return settings
    try:
        password = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as exc:
        fault = Fault(file, "targets.password_file", str(exc), "a readable file")
        raise SettingsError((fault,)) from exc
    targets = dataclasses.replace(settings.targets, password=password, password_file="")
    return dataclasses.replace(settings, targets=targets)
