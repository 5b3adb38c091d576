"""Convert plain documents to frozen data classes and collect all faults."""

import dataclasses
import difflib
import enum
import functools
import types
import typing as t

from rosemaryridge.config._converters import CONVERTERS
from rosemaryridge.fields import Between
from rosemaryridge.fields import NotEmpty
from rosemaryridge.fields import is_required
from rosemaryridge.fields import note_of

_INVALID: t.Final = object()
_FOUND_MAX_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Describe one fault in a file: its path, the value found and those allowed."""

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: found {self.found}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe a violation of a rule; `path` is relative to the checked object."""

    path: str
    found: str
    allowed: str


Rule = t.Callable[[t.Any], t.Iterable[Problem]]

_RULES: dict[type, list[Rule]] = {}


def rule(kind: type) -> t.Callable[[Rule], Rule]:
    """Register a check that runs on every object built of a class."""

    def register(check: Rule) -> Rule:
        _RULES.setdefault(kind, []).append(check)
        return check

    return register


def format_value(value: t.Any) -> str:
    """Return a value as text for a fault, shortened to fit a line."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    text = "null" if value is None else repr(value)
    if len(text) > _FOUND_MAX_CHARS:
        return text[: _FOUND_MAX_CHARS - 3] + "..."
    return text


def join_path(path: str, key: str) -> str:
    """Return a path extended by a key; keys of list items start with a bracket."""
    if not path or not key:
        return path or key
    return f"{path}{key}" if key.startswith("[") else f"{path}.{key}"


class Checker:
    """Build configuration objects from one file and collect its faults.

    `internal` holds the values of internal fields, which a file must not set.
    """

    def __init__(self, file: str, **internal: t.Any):
        self.file = file
        self._internal = internal
        self.faults: list[Fault] = []

    def build(self, kind: t.Any, value: t.Any, path: str = "") -> t.Any:
        """Convert a value to a type; the result is unusable if faults were recorded."""
        origin = t.get_origin(kind)
        if origin is t.Annotated:
            return self._build_bounded(kind, value, path)
        if origin in (types.UnionType, t.Union):
            return self._build_optional(kind, value, path)
        if origin is tuple:
            return self._build_tuple(kind, value, path)
        if dataclasses.is_dataclass(kind) and kind not in CONVERTERS:
            return self._build_class(kind, value, path)
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return self._build_enum(kind, value, path)
        return self._build_scalar(kind, value, path)

    def fault(self, path: str, found: str, allowed: str) -> t.Any:
        """Record a fault and return the marker of an invalid value."""
        self.faults.append(Fault(self.file, path or "(document)", found, allowed))
        return _INVALID

    def _build_scalar(self, kind: t.Any, value: t.Any, path: str) -> t.Any:
        convert, allowed = CONVERTERS[kind]
        try:
            return convert(value)
        except (ValueError, OverflowError):
            return self.fault(path, format_value(value), allowed)

    def _build_bounded(self, kind: t.Any, value: t.Any, path: str) -> t.Any:
        base, *bounds = t.get_args(kind)
        built = self.build(base, value, path)
        if built is _INVALID:
            return built
        for bound in bounds:
            if not _is_within(built, bound):
                return self.fault(path, format_value(value), str(bound))
        return built

    def _build_optional(self, kind: t.Any, value: t.Any, path: str) -> t.Any:
        if value is None:
            return None
        (inner,) = (arg for arg in t.get_args(kind) if arg is not type(None))
        return self.build(inner, value, path)

    def _build_tuple(self, kind: t.Any, value: t.Any, path: str) -> t.Any:
        if not isinstance(value, list):
            return self.fault(path, format_value(value), "a list")
        inner = t.get_args(kind)[0]
        items = enumerate(value)
        built = [self.build(inner, item, f"{path}[{i}]") for i, item in items]
        return _INVALID if _INVALID in built else tuple(built)

    def _build_enum(self, kind: type[enum.Enum], value: t.Any, path: str) -> t.Any:
        names = {member.name.lower(): member for member in kind}
        if isinstance(value, str) and value in names:
            return names[value]
        return self.fault(path, format_value(value), f"one of {', '.join(names)}")

    def _build_class(self, kind: type, value: t.Any, path: str) -> t.Any:
        if not isinstance(value, dict):
            return self.fault(path, format_value(value), "an object")
        fields = dataclasses.fields(kind)
        public = [field for field in fields if not note_of(field).internal]
        self._check_unknown_keys(value, [field.name for field in public], path)
        given = self._build_fields(kind, public, value, path)
        if _INVALID in given.values():
            return _INVALID
        for field in fields:
            if note_of(field).internal:
                given[field.name] = self._internal[field.name]
        built = kind(**given)
        self._apply_rules(built, path)
        return built

    def _build_fields(
        self, kind: type, fields: list[dataclasses.Field], value: dict, path: str
    ) -> dict[str, t.Any]:
        hints = _type_hints(kind)
        given = {}
        for field in fields:
            key_path = join_path(path, field.name)
            if field.name in value:
                hint = hints[field.name]
                given[field.name] = self._build_field(
                    field, hint, value[field.name], key_path
                )
            elif is_required(field):
                given[field.name] = self.fault(
                    key_path, "nothing", "a value; the key is required"
                )
        return given

    def _build_field(
        self, field: dataclasses.Field, hint: t.Any, value: t.Any, path: str
    ) -> t.Any:
        first = len(self.faults)
        built = self.build(hint, value, path)
        if note_of(field).secret:
            hidden = (
                dataclasses.replace(fault, found="a secret")
                for fault in self.faults[first:]
            )
            self.faults[first:] = hidden
        return built

    def _check_unknown_keys(self, value: dict, known: list[str], path: str) -> None:
        for key in value:
            if key not in known:
                similar = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
                allowed = (
                    f"did you mean {similar[0]!r}?" if similar else ", ".join(known)
                )
                self.fault(join_path(path, key), "an unknown key", allowed)

    def _apply_rules(self, built: t.Any, path: str) -> None:
        for check in _RULES.get(type(built), ()):
            for problem in check(built):
                self.fault(
                    join_path(path, problem.path), problem.found, problem.allowed
                )


@functools.cache
def _type_hints(kind: type) -> dict[str, t.Any]:
    return t.get_type_hints(kind, include_extras=True)


def _is_within(value: t.Any, bound: t.Any) -> bool:
    if isinstance(bound, Between):
        return bound.low <= value <= bound.high
    if isinstance(bound, NotEmpty):
        return len(value) > 0
    return True
