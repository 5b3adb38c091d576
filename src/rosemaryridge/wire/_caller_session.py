"""Define what serves the statements of one caller's connection."""

import abc
import dataclasses
import typing as t

from pg_mimic.session import BaseSession
from pg_mimic.session import Portal
from pg_mimic.session import Statement

from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import Description
from rosemaryridge.wire._columns import Parameters

Rows = t.Sequence[t.Sequence[bytes | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Say how a statement ended; without a tag it was empty or is suspended."""

    tag: str = ""
    suspended: bool = False


class Answer(t.Protocol):
    """Take the answer to one statement, as fast as the caller reads it."""

    def formats(self, count: int) -> tuple[int, ...]:
        """Return the format that the caller wants for each of `count` columns."""

    def columns(self, columns: t.Sequence[Column]) -> None:
        """Announce the columns; must come before the rows."""

    async def rows(self, rows: Rows) -> None:
        """Send rows of encoded values and wait until the caller keeps up."""


class CallerStatement(Statement):
    """Be a statement that a caller has parsed; `query` belongs to the session."""

    def __init__(self, session: "CallerSession", query: t.Any):
        self.session = session
        self.query = query
        self.description: Description | None = None

    async def describe_fully(self) -> Description:
        """Return the types of the parameters and columns."""
        if self.description is None:
            self.description = await self.session.describe(self.query)
        return self.description

    async def describe(self) -> list[Column] | None:
        """Return the columns, None where there are none."""
        description = await self.describe_fully()
        return list(description.columns) or None

    def bind(self, params: Parameters) -> "CallerPortal":
        """Return a portal with values bound."""
        return CallerPortal(self, params, ())


class CallerPortal(Portal):
    """Be a statement with values bound, read in one or several parts.

    `source` is what the session reads the rest from once a part was read.
    """

    __slots__ = ("done", "params", "result_formats", "source", "statement")

    def __init__(
        self,
        statement: CallerStatement,
        params: Parameters,
        result_formats: t.Sequence[int],
    ):
        self.statement = statement
        self.params = params
        self.result_formats = result_formats
        self.source: t.Any = None
        self.done = False

    async def execute(self, max_rows: int):
        """Refuse: rows are streamed by the session instead."""
        raise NotImplementedError

    def discard(self) -> None:
        """Let go of what is left of the answer."""
        source, self.source = self.source, None
        if source is not None:
            source.discard()


class CallerSession(BaseSession):
    """Serve one caller; errors are Refusal, asyncpg.PostgresError or PgError."""

    async def prepare(self, sql, param_oids) -> CallerStatement:
        """Return a statement for one text; must not touch a target."""
        return CallerStatement(self, self.parse(sql, tuple(param_oids)))

    @abc.abstractmethod
    def parse(self, text: str, param_oids: tuple[int, ...]) -> t.Any:
        """Return what the session knows of a single statement's text."""

    @abc.abstractmethod
    def split(self, text: str) -> t.Sequence[t.Any]:
        """Return the statements of a text, each as `parse` would."""

    @abc.abstractmethod
    async def describe(self, query: t.Any) -> Description:
        """Return the types of a statement's parameters and columns."""

    @abc.abstractmethod
    async def execute(
        self, portal: CallerPortal, max_rows: int, alone: bool, answer: Answer
    ) -> Completion:
        """Run a portal, or go on reading it.

        `alone` tells that nothing else belongs to the same implicit transaction.
        """

    @abc.abstractmethod
    async def sync(self, failed: bool) -> None:
        """End the implicit transaction, if one is open."""

    @abc.abstractmethod
    def status(self) -> bytes:
        """Return the transaction status: I, T or E."""

    @abc.abstractmethod
    def request_cancel(self) -> None:
        """Cancel the statement that runs now, if one does."""

    @abc.abstractmethod
    def fail(self) -> None:
        """Note that a statement failed; an open transaction fails with it."""

    def parameters(self) -> t.Mapping[str, str]:
        """Return the parameters whose values the caller must be told now."""
        return {}

    def refused(self, refusal: Refusal) -> None:
        """Take note of a refusal that the caller is about to be told."""
