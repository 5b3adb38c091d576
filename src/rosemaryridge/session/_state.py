"""Track the minimum position of one session's reads and encode it as a token."""

import dataclasses
import re
import zlib

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

_PREFIX = "rr1"
_PATTERN = re.compile(r"rr1:(\d{1,19})/(\d{1,19}):([0-9a-f]{8})")


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Hold the content of a session token; `str` encodes it."""

    position: Position

    def __str__(self) -> str:
        return f"{_PREFIX}:{self.position}:{_checksum(str(self.position))}"


class SessionState:
    """Hold the minimum position of a session's reads."""

    def __init__(self) -> None:
        self.required = ORIGIN

    def observe(self, position: Position) -> None:
        """Raise the minimum position; ignore an earlier one."""
        self.required = max(self.required, position)

    def token(self) -> str:
        """Return the minimum position as a token for `parse_token`."""
        return str(Token(self.required))


def parse_token(text: str) -> Token:
    """Parse a token; raise ValueError for a malformed or corrupted one."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            "expected the form rr1:term/lsn:checksum; pass the token on unchanged"
        )
    term, lsn, checksum = match.groups()
    if checksum != _checksum(f"{term}/{lsn}"):
        raise ValueError("its checksum does not match; pass the token on unchanged")
    return Token(Position(int(term), int(lsn)))


def _checksum(text: str) -> str:
    # Detects corruption only. The checksum needs no secret, as a forged token merely
    # sends the reads of its own session to the primary.
    return f"{zlib.crc32(f'{_PREFIX}:{text}'.encode()):08x}"
