"""Keep the position that one session's reads must cover."""

import dataclasses
import re
import zlib

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

_PREFIX = "rr1"
_FORM = re.compile(r"rr1:(\d{1,19})/(\d{1,19}):([0-9a-f]{8})")


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Hold what a token carries."""

    position: Position

    def __str__(self) -> str:
        return f"{_PREFIX}:{self.position}:{_checksum(str(self.position))}"


class SessionState:
    """Hold the position that a session's reads must cover."""

    def __init__(self) -> None:
        self.required = ORIGIN

    def observe(self, position: Position) -> None:
        """Raise the position; it never falls."""
        self.required = max(self.required, position)

    def token(self) -> str:
        """Return the position as text that `parse_token` reads."""
        return str(Token(self.required))


def parse_token(text: str) -> Token:
    """Read a token; raise ValueError for a garbled one."""
    found = _FORM.fullmatch(text)
    if found is None:
        raise ValueError("it does not have the form rr1:term/lsn:checksum")
    term, lsn, checksum = found.groups()
    if checksum != _checksum(f"{term}/{lsn}"):
        raise ValueError("its checksum does not fit")
    return Token(Position(int(term), int(lsn)))


def _checksum(text: str) -> str:
    # It finds a garbled token; a forged one only makes its own reads go to the
    # primary, so it needs no secret.
    return f"{zlib.crc32(f'{_PREFIX}:{text}'.encode()):08x}"
