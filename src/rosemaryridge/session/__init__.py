"""Track the minimum position of sessions on all proxies."""

from rosemaryridge.session._directory import SessionDirectory
from rosemaryridge.session._state import SessionState
from rosemaryridge.session._state import Token
from rosemaryridge.session._state import parse_token
from rosemaryridge.session._table import ReadBound

__all__ = ["ReadBound", "SessionDirectory", "SessionState", "Token", "parse_token"]
