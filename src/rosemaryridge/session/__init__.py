"""Keep what a session has written and seen."""

import dataclasses

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Hold what a token carries."""

    position: Position


class SessionState:
    """Hold the position that a session's reads must cover."""

    def __init__(self) -> None:
        self.required = ORIGIN

    def observe(self, position: Position) -> None:
        """Raise the position; it never falls."""
        self.required = max(self.required, position)

    def token(self) -> str:
        """Return the position as text."""
        return str(self.required)


def parse_token(text: str) -> Token:
    """Read a token; raise ValueError."""
    return Token(Position.parse(text))
