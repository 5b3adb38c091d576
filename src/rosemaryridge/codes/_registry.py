"""Register numbered result codes."""

import dataclasses

from rosemaryridge.model import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Code:
    """Describe one numbered result.

    `action` tells the caller or operator what to do about it.
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
    """Register a code; raise ValueError where the number or name is taken."""
    if number in _CODES:
        raise ValueError(f"code {number} is defined twice")
    if any(code.name == name for code in _CODES.values()):
        raise ValueError(f"code name {name!r} is defined twice")
    code = Code(number, name, outcome, sqlstate, meaning, action)
    _CODES[number] = code
    return code


def all_codes() -> tuple[Code, ...]:
    """Return every code, by number."""
    return tuple(_CODES[number] for number in sorted(_CODES))
