"""Track the execution of one statement of a session."""

import contextlib
import typing as t

from rosemaryridge.core._session import Session
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._steps import StepTimes


class Execution:
    """Hold what becomes of one statement, from its arrival until its answer.

    A hedged read's slower attempt goes on after the answer. It holds the execution of
    its own statement, so that it changes nothing of a later one.
    """

    __slots__ = ("_attempts_sent", "session", "statement", "steps", "trail")

    def __init__(self, session: Session, statement: Statement):
        self.session = session
        self.statement = statement
        # Events, for the statement's log line.
        self.trail: list[str] = []
        self.steps = StepTimes()
        # Attempts that are at a target, or have run there.
        self._attempts_sent = 0

    @property
    def sent(self) -> bool:
        """Return whether the statement is at a target, or has run there."""
        return self._attempts_sent > 0

    @contextlib.contextmanager
    def attempt(self) -> t.Iterator["Attempt"]:
        """Send the statement to a target in the body.

        It counts as sent until the target's answer says that it did not run, or
        TargetLost that it never left.
        """
        self._attempts_sent += 1
        attempt = Attempt()
        try:
            yield attempt
        except TargetLost as exc:
            attempt.may_have_run = exc.sent
            raise
        finally:
            if not attempt.may_have_run:
                self._attempts_sent -= 1


class Attempt:
    """Hold whether one attempt may have run at its target."""

    __slots__ = ("may_have_run",)

    def __init__(self) -> None:
        self.may_have_run = True

    def record_answer(self, answer: Answer) -> None:
        """Record the target's answer."""
        self.may_have_run = answer.failure not in NOT_RUN
