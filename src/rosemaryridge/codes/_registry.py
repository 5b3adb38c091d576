"""Register numbered result codes."""

import dataclasses

from rosemaryridge.model import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Code:
    """Describe one numbered result.

    `action` states what the caller or operator can do about the result.
    """

    number: int
    name: str
    outcome: Outcome
    sqlstate: str
    meaning: str
    action: str


_CODES: dict[int, Code] = {}


def define(
    number: int, name: str, outcome: Outcome, sqlstate: str, meaning: str, action: str
) -> Code:
    """Register a code; raise ValueError if the number or name is already used."""
    if number in _CODES:
        raise ValueError(
            f"code {number} ({name}) is already defined; use an unused number"
        )
    if any(code.name == name for code in _CODES.values()):
        raise ValueError(f"code name {name!r} is already defined; use an unused name")
    code = Code(number, name, outcome, sqlstate, meaning, action)
    _CODES[number] = code
    return code


def all_codes() -> tuple[Code, ...]:
    """Return all codes, ordered by number."""
    return tuple(_CODES[number] for number in sorted(_CODES))
