"""Define the session interface that runs a caller's statements."""

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
    """Describe how an execution ended.

    `tag` is the command tag; it is empty for an empty statement or a suspended portal.
    """

    tag: str = ""
    suspended: bool = False


class Answer(t.Protocol):
    """Receive the answer to one statement, with flow control by the caller."""

    def formats(self, count: int) -> tuple[int, ...]:
        """Return the format code requested for each of `count` columns."""

    def columns(self, columns: t.Sequence[Column]) -> None:
        """Send the column descriptions; call before `rows`."""

    async def rows(self, rows: Rows) -> None:
        """Send rows of encoded values; wait while too many bytes are unsent."""


class CallerStatement(Statement):
    """Represent a parsed statement; `query` is opaque to all but the session."""

    def __init__(self, session: "CallerSession", query: t.Any):
        self.session = session
        self.query = query
        self.description: Description | None = None

    async def describe_fully(self) -> Description:
        """Return the parameter types and columns, asking the session once."""
        if self.description is None:
            self.description = await self.session.describe(self.query)
        return self.description

    async def describe(self) -> list[Column] | None:
        """Return the columns, or None if the statement returns no rows."""
        description = await self.describe_fully()
        return list(description.columns) or None

    def bind(self, params: Parameters) -> "CallerPortal":
        """Return a portal with `params` bound and all results in text format."""
        return CallerPortal(self, params, ())


class CallerPortal(Portal):
    """Represent a statement with bound values, fetched in one or more parts.

    After a partial fetch, the session reads the remaining rows from `source`.
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
        """Raise NotImplementedError: `CallerSession.execute` streams the rows."""
        raise NotImplementedError

    def discard(self) -> None:
        """Discard the unread rows."""
        source, self.source = self.source, None
        if source is not None:
            source.discard()


class CallerSession(BaseSession):
    """Run one caller's statements.

    Methods raise Refusal, asyncpg.PostgresError or PgError.
    """

    async def prepare(self, sql, param_oids) -> CallerStatement:
        """Return a parsed statement; must not contact a target."""
        return CallerStatement(self, self.parse(sql, tuple(param_oids)))

    @abc.abstractmethod
    def parse(self, text: str, param_oids: tuple[int, ...]) -> t.Any:
        """Return the parsed form of a single statement's text."""

    @abc.abstractmethod
    def split(self, text: str) -> t.Sequence[t.Any]:
        """Split a text into statements and return the parsed form of each."""

    @abc.abstractmethod
    async def describe(self, query: t.Any) -> Description:
        """Return the parameter types and columns of a statement."""

    @abc.abstractmethod
    async def execute(
        self, portal: CallerPortal, max_rows: int, alone: bool, answer: Answer
    ) -> Completion:
        """Run a portal, or resume a suspended one; `max_rows` 0 means no limit.

        `alone` is true if the implicit transaction has no other statement.
        """

    @abc.abstractmethod
    async def sync(self, failed: bool) -> None:
        """End the implicit transaction, if any; `failed` if a statement failed."""

    @abc.abstractmethod
    def status(self) -> bytes:
        """Return the transaction status: I, T or E."""

    @abc.abstractmethod
    def request_cancel(self) -> None:
        """Cancel the running statement, if any."""

    @abc.abstractmethod
    def fail(self) -> None:
        """Handle a failed statement: mark an open transaction as failed."""

    def parameters(self) -> t.Mapping[str, str]:
        """Return the changed parameters to report to the caller."""
        return {}

    def refused(self, refusal: Refusal) -> None:
        """Handle a refusal that is about to be sent to the caller."""
