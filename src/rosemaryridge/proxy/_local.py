"""Register what answers the statements that need no target."""

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
    """Answer one class of statements without a target, or say that it is needed."""

    def forwarded(self, session: "ProxySession", query: Query) -> bool:
        """Tell whether the statement has to reach a target."""
        return False

    def describe(self, session: "ProxySession", query: Query) -> Description:
        """Return the columns of the answer."""
        return Description((), ())

    @abc.abstractmethod
    async def run(
        self, session: "ProxySession", query: Query, answer: Answer
    ) -> Completion:
        """Run the statement."""


LOCAL: dict[StatementClass, LocalStatement] = {}


def answers(kind: StatementClass) -> t.Callable[[type], type]:
    """Register what answers a class of statements."""

    def register(cls: type) -> type:
        LOCAL[kind] = cls()
        return cls

    return register


@answers(StatementClass.EMPTY)
class _Empty(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        return Completion()


@answers(StatementClass.UNSUPPORTED)
class _Unsupported(LocalStatement):
    def describe(self, session, query) -> Description:
        raise Refusal(codes.caller.UNSUPPORTED_FEATURE, query.statement.reason)

    async def run(self, session, query, answer) -> Completion:
        raise Refusal(codes.caller.UNSUPPORTED_FEATURE, query.statement.reason)
