"""Register handlers for statements that the proxy answers itself."""

import abc
import typing as t

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._query import Query
from rosemaryridge.sql import StatementClass
from rosemaryridge.wire import Answer
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Description

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._session import ProxySession


class LocalStatement(abc.ABC):
    """Handle one class of statements, without a target where possible."""

    def needs_target(self, session: "ProxySession", query: Query) -> bool:
        """Return whether the statement must be sent to a target."""
        return False

    def describe(self, session: "ProxySession", query: Query) -> Description:
        """Return the description of the answer."""
        return Description((), ())

    @abc.abstractmethod
    async def run(
        self, session: "ProxySession", query: Query, answer: Answer
    ) -> Completion:
        """Run the statement and send its answer."""


LOCAL_STATEMENTS: dict[StatementClass, LocalStatement] = {}


def handles(kind: StatementClass) -> t.Callable[[type], type]:
    """Register the decorated class as the handler of a statement class."""

    def register(cls: type) -> type:
        LOCAL_STATEMENTS[kind] = cls()
        return cls

    return register


@handles(StatementClass.EMPTY)
class _Empty(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        return Completion()


@handles(StatementClass.UNSUPPORTED)
class _Unsupported(LocalStatement):
    def describe(self, session, query) -> Description:
        raise Refusal(codes.caller.UNSUPPORTED_FEATURE, query.statement.reason)

    async def run(self, session, query, answer) -> Completion:
        raise Refusal(codes.caller.UNSUPPORTED_FEATURE, query.statement.reason)
