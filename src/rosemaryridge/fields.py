"""Define and describe the fields of configuration classes."""

import dataclasses
import typing as t

_DAY_S = 86_400.0
_MAX_COUNT = 1_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Between:
    """Limit a number to a closed interval."""

    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.low:g} to {self.high:g}"


@dataclasses.dataclass(frozen=True, slots=True)
class NotEmpty:
    """Require a non-empty string or list."""

    def __str__(self) -> str:
        return "not empty"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldNote:
    """Describe a field's meaning, visibility and reload behaviour.

    `live` marks a field that a reload applies, `secret` one whose value is not shown,
    and `internal` one that no file may set.
    """

    doc: str
    live: bool = False
    secret: bool = False
    internal: bool = False


Seconds = t.Annotated[float, Between(0.0, _DAY_S)]
Share = t.Annotated[float, Between(0.0, 1.0)]
Count = t.Annotated[int, Between(0, _MAX_COUNT)]
Positive = t.Annotated[int, Between(1, _MAX_COUNT)]
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
    """Define a field of a configuration class; it is required without a default."""
    note = FieldNote(doc, live, secret, internal)
    return dataclasses.field(
        default=default, repr=not secret, metadata={_NOTE_KEY: note}
    )


def note_of(field: dataclasses.Field) -> FieldNote:
    """Return a field's note."""
    return field.metadata.get(_NOTE_KEY, _NO_NOTE)


def is_required(field: dataclasses.Field) -> bool:
    """Return whether a file must contain the field."""
    factory = field.default_factory
    return field.default is dataclasses.MISSING and factory is dataclasses.MISSING
