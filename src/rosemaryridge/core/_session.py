"""Hold the session values, prepared statements and last commit of a caller."""

import itertools
import typing as t

from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._statement import Verb
from rosemaryridge.core.businesses import ANONYMOUS
from rosemaryridge.core.commands import Command
from rosemaryridge.core.commands import Prepare
from rosemaryridge.core.commands import Reset
from rosemaryridge.core.commands import SetValue
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

# Limit on the shapes whose names one process stores; a name is never reused.
_MAX_SHAPES = 4096
# Limit on the values, and on the prepared statements, of one session.
_MAX_ENTRIES = 1024


class PreparedNames:
    """Assign each prepared shape a name that is the same on every connection."""

    def __init__(self) -> None:
        self._names: dict[tuple[bool, bytes], bytes] = {}
        self._numbers = itertools.count()

    def name(self, read_only: bool, shape: bytes) -> bytes:
        """Return the name of a shape; no other shape ever gets it."""
        key = (read_only, shape)
        name = self._names.get(key)
        if name is None:
            if len(self._names) >= _MAX_SHAPES:
                self._names.clear()
            name = self._names[key] = b"p%d" % next(self._numbers)
        return name


class Session:
    """Hold the state of one caller's session independently of its connections."""

    def __init__(self, database: bytes, key: bytes = b""):
        self.database = database
        self.key = key
        # The business that the current operation runs as.
        self.business = ANONYMOUS
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Statement] = {}
        # Log position of the session's last acknowledged commit.
        self.last_commit: Position = ORIGIN
        # Time of its acknowledgement, on the clock of `boottime`.
        self.last_committed_at = float("-inf")

    def record_commit(self, position: Position, now: float) -> None:
        """Record the log position of an acknowledged commit."""
        self.last_commit = position
        self.last_committed_at = now

    def set_value(self, statement: Statement) -> None:
        """Store a session value; raise StatementError."""
        self._check_limit(self.values, statement.name)
        self.values[statement.name] = statement.rest

    def prepare(self, statement: Statement) -> None:
        """Store a prepared statement; raise StatementError."""
        self._check_limit(self.prepared, statement.name)
        self.prepared[statement.name] = statement

    def deallocate(self, statement: Statement) -> None:
        """Remove a prepared statement; raise StatementError."""
        if self.prepared.pop(statement.name, None) is None:
            raise _unknown_statement_error(statement)

    def is_read(self, statement: Statement) -> bool:
        """Return whether a statement is a read; raise StatementError."""
        if statement.verb is Verb.EXECUTE:
            return self._find_prepared(statement).read_only
        return statement.read_only

    def _find_prepared(self, statement: Statement) -> Statement:
        prepared = self.prepared.get(statement.name)
        if prepared is None:
            raise _unknown_statement_error(statement)
        return prepared

    def preamble(
        self, link: TargetLink, statement: Statement | None, names: PreparedNames
    ) -> tuple[list[Command], bytes]:
        """Return the commands that apply the session to a connection.

        The second value is the name of the prepared statement to execute, or empty.
        Raises StatementError if the statement is not prepared.
        """
        commands = value_commands(link, self.values)
        if statement is None or statement.verb is not Verb.EXECUTE:
            return commands, b""
        prepared = self._find_prepared(statement)
        name = names.name(prepared.read_only, prepared.rest)
        if name not in link.prepared or Reset() in commands:
            commands.append(Prepare(name, prepared.read_only, prepared.rest))
        return commands, name

    def _check_limit(self, entries: dict[bytes, object], name: bytes) -> None:
        if name not in entries and len(entries) >= _MAX_ENTRIES:
            raise StatementError(
                Failure.TOO_LARGE,
                "the session has too many values or prepared statements",
            )


def value_commands(link: TargetLink, values: t.Mapping[bytes, bytes]) -> list[Command]:
    """Return the commands that give a connection these session values."""
    known: t.Mapping[bytes, bytes] = link.values
    commands: list[Command] = []
    if not known.keys() <= values.keys():
        commands.append(Reset())
        known = {}
    commands += [
        SetValue(name, value)
        for name, value in values.items()
        if known.get(name) != value
    ]
    return commands


def record_applied(link: TargetLink, command: Command) -> None:
    """Record that the target has carried out a command of a preamble."""
    if isinstance(command, Reset):
        link.values.clear()
        link.prepared.clear()
    elif isinstance(command, SetValue):
        link.values[command.name] = command.value
    elif isinstance(command, Prepare):
        link.prepared.add(command.name)


async def apply_settings(
    link: TargetLink, commands: t.Sequence[Command]
) -> Answer | None:
    """Apply a session's state to a connection; return an answer if it is refused.

    The statement that needs the state is then not sent, and its answer is the returned
    one. Raises TargetLost with `sent` false.
    """
    return await confirm_settings(link, commands, link.send(*commands))


async def confirm_settings(
    link: TargetLink,
    commands: t.Sequence[Command],
    futs: t.Sequence[t.Awaitable[Answer]],
) -> Answer | None:
    """Await the answers to the commands of a session's state, as `apply_settings`."""
    refused = None
    try:
        for command, fut in zip(commands, futs, strict=True):
            answer = await fut
            if answer.ok:
                record_applied(link, command)
            elif refused is None or answer.failure not in NOT_RUN:
                refused = answer
    except BaseException as exc:
        # Which of the commands the target carries out is not known.
        link.close()
        if isinstance(exc, TargetLost):
            raise TargetLost(str(exc), sent=False) from None
        raise
    if refused is None:
        return None
    state = link.state
    if refused.failure not in NOT_RUN:
        # Whether the target has carried the command out is not known.
        link.close()
        state = TransactionState.FAILED
    detail = f"session state refused: {refused.detail}"
    return Answer(failure=Failure.BUSY, detail=detail, state=state, sent=False)


def required_position(
    session: Session, minimum: tuple[Position, float], now: float
) -> tuple[Position, float]:
    """Return the position that a read of a session requires, and its age in seconds.

    A minimum position of a newer term covers the session's commits of older terms
    as far as they survived the promotion.
    """
    position, age_s = minimum
    if session.last_commit > position:
        return session.last_commit, max(0.0, now - session.last_committed_at)
    return position, age_s


def _unknown_statement_error(statement: Statement) -> StatementError:
    name = statement.name.decode(errors="replace")
    return StatementError(
        Failure.UNKNOWN_STATEMENT, f"statement {name} is not prepared in this session"
    )
