"""Decide what a target promises, leads, follows and holds."""

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
from rosemaryridge_testbed.target._log import Call
from rosemaryridge_testbed.target._log import Entry
from rosemaryridge_testbed.target._log import Log

READ_ONLY = "25006"
FENCE_REFUSED = "RR001"


class Promise(msgspec.Struct):
    """Hold what a target must not forget."""

    role: Role
    term: int
    fenced_term: int
    candidate: str = ""
    upstream: str = ""


class Member:
    """Apply the verbs of the target port to one target's log and role.

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
        self.heard_at = time.monotonic()
        self.on_change: list[t.Callable[[], None]] = []
        self.on_fence: list[t.Callable[[], None]] = []
        self.on_save: t.Callable[[], None] = lambda: None
        self.on_rebuild: list[t.Callable[[], None]] = []

    @property
    def writable(self) -> bool:
        """Tell whether the target takes writes now."""
        promise = self.promise
        return promise.role is Role.PRIMARY and promise.fenced_term <= promise.term

    @property
    def applied(self) -> Position:
        """Return the position that reads see."""
        if self.rewinding or not self.applied_lsn:
            return ORIGIN
        return self.log.entries[self.applied_lsn - 1].position

    @property
    def silence_ms(self) -> float:
        """Return the time since the primary was last heard, 0 on a primary."""
        if self.promise.role is Role.PRIMARY:
            return 0.0
        return (time.monotonic() - self.heard_at) * 1000.0

    def changed(self) -> None:
        """Tell those who wait for the log, the role or the upstream."""
        for callback in self.on_change:
            callback()

    def fence(self, term: int, candidate: str) -> None:
        """Promise the target to a candidate at a term; raise PgError."""
        promise = self.promise
        repeated = (term, candidate) == (promise.fenced_term, promise.candidate)
        if term <= promise.fenced_term and not repeated:
            self._refuse(term)
        promise.fenced_term = term
        promise.candidate = candidate
        self.on_save()
        if not repeated:
            self._tell_fenced()

    def promote(self, term: int, candidate: str) -> None:
        """Become the primary of a term that the target is promised to."""
        promise = self.promise
        if (term, candidate) != (promise.fenced_term, promise.candidate):
            self._refuse(term)
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
        """Become a replica of a term's primary; raise PgError."""
        promise = self.promise
        leads = promise.role is Role.PRIMARY and promise.term == term
        if term < promise.fenced_term or leads:
            self._refuse(term)
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
        self.heard_at = time.monotonic()
        self.on_save()
        self._tell_fenced()

    def _refuse(self, term: int) -> t.NoReturn:
        promised = self.promise.fenced_term
        raise PgError(
            FENCE_REFUSED, f"term {term} is refused", D=f"fenced_term={promised}"
        )

    def _tell_fenced(self) -> None:
        for callback in self.on_fence:
            callback()
        self.changed()

    def append_commit(self, calls: tuple[Call, ...], at: str = "") -> None:
        """Add a transaction that this primary has committed."""
        at = at or now_text()
        entry = Entry(self.promise.term, len(self.log.entries) + 1, at, calls)
        self.log.append(entry)
        self.applied_lsn = entry.lsn
        self.changed()

    def rewind(self, lsn: int) -> None:
        """Drop the log's tail after an entry, and what the tail did."""
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
        """Run the entries up to one that were received and not yet applied."""
        for entry in self.log.entries[self.applied_lsn : lsn]:
            self.engine.applier.replay(entry)
            self.applied_lsn = entry.lsn


def now_text() -> str:
    """Return the time as PostgreSQL prints a timestamp with its zone."""
    return datetime.datetime.now(datetime.UTC).isoformat(sep=" ")
