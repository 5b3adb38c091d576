"""Describe the fields of configuration classes."""

import dataclasses
import typing as t

_DAY_S = 86_400.0
_MOST = 1_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Between:
    """Bound a number, both ends included."""

    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.low:g} to {self.high:g}"


@dataclasses.dataclass(frozen=True, slots=True)
class NotEmpty:
    """Ask for a text or list that is not empty."""

    def __str__(self) -> str:
        return "not empty"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldNote:
    """Say what a field means, who may see it and when a change takes effect.

    `live` marks a setting that a reload changes, `internal` a field that no file
    may set.
    """

    doc: str
    live: bool = False
    secret: bool = False
    internal: bool = False


Seconds = t.Annotated[float, Between(0.0, _DAY_S)]
Share = t.Annotated[float, Between(0.0, 1.0)]
Count = t.Annotated[int, Between(0, _MOST)]
Positive = t.Annotated[int, Between(1, _MOST)]
Name = t.Annotated[str, NotEmpty()]

_NOTE_KEY = "note"
_NO_NOTE = FieldNote("")


def setting(
    default: t.Any = dataclasses.MISSING,
    doc: str = "",
    *,
    live: bool = False,
    secret: bool = False,
    internal: bool = False,
) -> t.Any:
    """Define a field of a configuration class; without a default it is required."""
    note = FieldNote(doc, live, secret, internal)
    return dataclasses.field(
        default=default, repr=not secret, metadata={_NOTE_KEY: note}
    )


def note_of(field: dataclasses.Field) -> FieldNote:
    """Return a field's note."""
    return field.metadata.get(_NOTE_KEY, _NO_NOTE)


def is_required(field: dataclasses.Field) -> bool:
    """Return whether a file must give the field."""
    factory = field.default_factory
    return field.default is dataclasses.MISSING and factory is dataclasses.MISSING
