"""Manage a target's role, term, fence and replicated log."""

import datetime
import time
import typing as t

import msgspec
from pg_mimic import PgError

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge_testbed.target._engine import Engine
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import LoggedStatement
from rosemaryridge_testbed.target._log import Entry
from rosemaryridge_testbed.target._log import Log

READ_ONLY = "25006"
FENCE_REFUSED = "RR001"


class Promise(msgspec.Struct):
    """Store the role, term and fence, which must survive a restart."""

    role: Role
    term: int
    fenced_term: int
    candidate: str = ""
    upstream: str = ""


class Member:
    """Apply the target port's verbs to one target's log and role.

    `on_change` is called after each change of role, upstream or log.
    """

    def __init__(
        self, name: str, promise: Promise, log: Log, engine: Engine, knobs: Knobs
    ):
        self.name = name
        self.promise = promise
        self.log = log
        self.engine = engine
        self.knobs = knobs
        self.applied_lsn = 0
        self.rewinding = False
        self.last_heard_at = time.monotonic()
        self.on_change: list[t.Callable[[], None]] = []
        self.on_fence: list[t.Callable[[], None]] = []
        self.on_save: t.Callable[[], None] = lambda: None
        self.on_rebuild: list[t.Callable[[], None]] = []

    @property
    def writable(self) -> bool:
        """Return whether the target accepts writes now."""
        promise = self.promise
        return promise.role is Role.PRIMARY and promise.fenced_term <= promise.term

    @property
    def applied(self) -> Position:
        """Return the position up to which reads see the log."""
        if self.rewinding or not self.applied_lsn:
            return ORIGIN
        return self.log.entries[self.applied_lsn - 1].position

    @property
    def upstream_silence_ms(self) -> float:
        """Return milliseconds since the last message of the primary, 0 on a primary."""
        if self.promise.role is Role.PRIMARY:
            return 0.0
        return (time.monotonic() - self.last_heard_at) * 1000.0

    def notify_changed(self) -> None:
        """Call the listeners for changes of the log, role or upstream."""
        for callback in self.on_change:
            callback()

    def fence(self, term: int, candidate: str) -> None:
        """Fence the target for a candidate at a term; raise PgError if refused."""
        promise = self.promise
        repeated = (term, candidate) == (promise.fenced_term, promise.candidate)
        if term <= promise.fenced_term and not repeated:
            self._reject_term(term)
        promise.fenced_term = term
        promise.candidate = candidate
        self.on_save()
        if not repeated:
            self._notify_fenced()

    def promote(self, term: int, candidate: str) -> None:
        """Become primary of the fenced term; raise PgError if refused."""
        promise = self.promise
        if (term, candidate) != (promise.fenced_term, promise.candidate):
            self._reject_term(term)
        if promise.role is Role.PRIMARY and promise.term == term:
            return
        self.rewinding = False
        self.apply(len(self.log.entries))
        promise.role = Role.PRIMARY
        promise.term = term
        promise.upstream = ""
        self.on_save()
        self.append_commit(())

    def follow(self, term: int, upstream: str) -> None:
        """Become a replica of a term's primary; raise PgError if refused."""
        promise = self.promise
        is_primary = promise.role is Role.PRIMARY and promise.term == term
        if term < promise.fenced_term or is_primary:
            self._reject_term(term)
        if (promise.role, promise.term, promise.upstream) == (
            Role.REPLICA,
            term,
            upstream,
        ):
            return
        promise.role = Role.REPLICA
        promise.term = term
        promise.fenced_term = term
        promise.upstream = upstream
        self.rewinding = True
        self.last_heard_at = time.monotonic()
        self.on_save()
        self._notify_fenced()

    def _reject_term(self, term: int) -> t.NoReturn:
        fenced_term = self.promise.fenced_term
        raise PgError(
            FENCE_REFUSED,
            f"term {term} is refused: the target is fenced at term {fenced_term}",
            D=f"fenced_term={fenced_term}",
        )

    def _notify_fenced(self) -> None:
        for callback in self.on_fence:
            callback()
        self.notify_changed()

    def append_commit(
        self, statements: tuple[LoggedStatement, ...], at: str = ""
    ) -> None:
        """Append a transaction that this primary has committed."""
        at = at or current_timestamp()
        entry = Entry(self.promise.term, len(self.log.entries) + 1, at, statements)
        self.log.append(entry)
        self.applied_lsn = entry.lsn
        self.notify_changed()

    def rewind(self, lsn: int) -> None:
        """Truncate the log after `lsn` and undo the dropped entries' effects."""
        if lsn < len(self.log.entries):
            self.log.truncate(lsn)
            if self.applied_lsn > lsn:
                self.applied_lsn = 0
                self.engine.rebuild(self.log.entries)
                self.applied_lsn = lsn
                for callback in self.on_rebuild:
                    callback()
        self.rewinding = False

    def apply(self, lsn: int) -> None:
        """Apply the received entries up to and including `lsn`."""
        for entry in self.log.entries[self.applied_lsn : lsn]:
            self.engine.applier.replay(entry)
            self.applied_lsn = entry.lsn


def current_timestamp() -> str:
    """Return the current time in PostgreSQL's text form of timestamptz."""
    return datetime.datetime.now(datetime.UTC).isoformat(sep=" ")
