"""Hold what one caller's session has set, prepared and written."""

import itertools

from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import Verb
from rosemaryridge.core.commands import Command
from rosemaryridge.core.commands import Link
from rosemaryridge.core.commands import Prepare
from rosemaryridge.core.commands import Reset
from rosemaryridge.core.commands import SetValue
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# Shapes that one process remembers names for; a name is never given twice.
_MAX_SHAPES = 4096
# Values and prepared statements that one session may hold.
_MAX_ENTRIES = 1024


class PreparedNames:
    """Name each prepared shape the same on every connection."""

    def __init__(self) -> None:
        self._names: dict[tuple[bool, bytes], bytes] = {}
        self._numbers = itertools.count()

    def name(self, read_only: bool, shape: bytes) -> bytes:
        """Return a name that no other shape has had."""
        key = (read_only, shape)
        name = self._names.get(key)
        if name is None:
            if len(self._names) >= _MAX_SHAPES:
                self._names.clear()
            name = self._names[key] = b"p%d" % next(self._numbers)
        return name


class Session:
    """Hold the state of one caller, whichever connections serve it."""

    def __init__(self, database: bytes):
        self.database = database
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Statement] = {}
        # What the statement that is served met, for the log.
        self.trail: list[str] = []
        # Where the log was after the session's newest acknowledged commit.
        self.written: Position = ORIGIN
        # When that commit was acknowledged, on the clock of `boottime`.
        self.written_at = float("-inf")

    def committed(self, position: Position, now: float) -> None:
        """Take in where the log was after an acknowledged commit."""
        self.written = position
        self.written_at = now

    def set_value(self, statement: Statement) -> None:
        """Remember a session value; raise StatementError."""
        self._check_room(self.values, statement.name)
        self.values[statement.name] = statement.rest

    def prepare(self, statement: Statement) -> None:
        """Remember a prepared statement; raise StatementError."""
        self._check_room(self.prepared, statement.name)
        self.prepared[statement.name] = statement

    def deallocate(self, statement: Statement) -> None:
        """Forget a prepared statement; raise StatementError."""
        if self.prepared.pop(statement.name, None) is None:
            raise _unknown(statement)

    def is_read(self, statement: Statement) -> bool:
        """Return whether a statement only reads; raise StatementError."""
        if statement.verb is Verb.EXECUTE:
            return self._prepared(statement).read_only
        return statement.read_only

    def _prepared(self, statement: Statement) -> Statement:
        prepared = self.prepared.get(statement.name)
        if prepared is None:
            raise _unknown(statement)
        return prepared

    def preamble(
        self, link: Link, statement: Statement | None, names: PreparedNames
    ) -> tuple[list[Command], bytes]:
        """Return what makes a connection the session's, and the prepared name."""
        commands = self._values_for(link)
        if statement is None or statement.verb is not Verb.EXECUTE:
            return commands, b""
        prepared = self._prepared(statement)
        name = names.name(prepared.read_only, prepared.rest)
        if name not in link.prepared:
            commands.append(Prepare(name, prepared.read_only, prepared.rest))
            link.prepared.add(name)
        return commands, name

    def _values_for(self, link: Link) -> list[Command]:
        if link.values == self.values:
            return []
        commands: list[Command] = []
        if not link.values.keys() <= self.values.keys():
            commands.append(Reset())
            link.values.clear()
            link.prepared.clear()
        for name, value in self.values.items():
            if link.values.get(name) != value:
                commands.append(SetValue(name, value))
                link.values[name] = value
        return commands

    def _check_room(self, entries: dict[bytes, object], name: bytes) -> None:
        if name not in entries and len(entries) >= _MAX_ENTRIES:
            raise StatementError(Failure.TOO_LARGE, "the session holds too much")


def required_position(
    session: Session, floor: tuple[Position, float], now: float
) -> tuple[Position, float]:
    """Return the position that a read of a session needs, and its age.

    A floor of a newer term holds what was kept of the session's older commits.
    """
    position, age_s = floor
    if session.written > position:
        return session.written, max(0.0, now - session.written_at)
    return position, age_s


def _unknown(statement: Statement) -> StatementError:
    name = statement.name.decode(errors="replace")
    return StatementError(Failure.UNKNOWN_STATEMENT, f"{name} is not prepared")
