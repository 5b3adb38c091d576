import asyncio
import unittest

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import Statement
from rosemaryridge.core import StatementError
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import Session
from rosemaryridge.core._session import apply_settings
from rosemaryridge.core._session import record_applied
from rosemaryridge.core._session import required_position
from rosemaryridge.core.commands import Prepare
from rosemaryridge.core.commands import Reset
from rosemaryridge.core.commands import SetValue
from rosemaryridge.model import Position


class StubLink:
    via = ""
    stops_at_failure = False
    state = TransactionState.IDLE

    def __init__(self):
        self.values = {}
        self.prepared = set()


def set_value(name, value):
    return Statement(b"1", Verb.SET, b"", name, value)


def prepare(name, shape, read_only=True):
    return Statement(b"1", Verb.PREPARE, b"", name, shape, read_only)


def execute(name):
    return Statement(b"1", Verb.EXECUTE, b"", name, b"1a4")


class ApplySettingsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_wait_that_ends_early_closes_the_connection(self):
        # Guards against values that the target carries out after nobody waits.
        link, loop = StubLink(), asyncio.get_running_loop()
        answered, pending = loop.create_future(), loop.create_future()
        answered.set_result(Answer())
        link.closed = False
        link.send = lambda *commands: [answered, pending]
        link.close = lambda: setattr(link, "closed", True)
        commands = [SetValue(b"a", b"1"), SetValue(b"b", b"2")]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01):
                await apply_settings(link, commands)
        self.assertTrue(link.closed)


class RequiredPositionTest(unittest.TestCase):
    def requirement(self, last_commit, minimum):
        session = Session(b"db")
        session.record_commit(last_commit, now=10.0)
        return required_position(session, minimum, now=10.5)

    def test_a_commit_of_a_newer_term_than_the_minimum_is_required(self):
        # Guards against a read that misses the session's own commit: the minimum
        # position is older than a promotion, the commit is of the newer term.
        minimum = (Position(1, 212), 2.0)
        self.assertEqual(
            self.requirement(Position(2, 249), minimum), (Position(2, 249), 0.5)
        )

    def test_a_minimum_of_a_newer_term_covers_the_sessions_commits(self):
        minimum = (Position(2, 3), 0.5)
        self.assertEqual(self.requirement(Position(1, 900), minimum), minimum)

    def test_a_session_without_commits_requires_the_minimum(self):
        minimum = (Position(1, 7), 0.5)
        self.assertEqual(self.requirement(Position(), minimum), minimum)


class PreambleTest(unittest.TestCase):
    def setUp(self):
        self.names = PreparedNames()
        self.link = StubLink()

    def preamble(self, session, statement, names):
        commands, name = session.preamble(self.link, statement, names)
        for command in commands:
            record_applied(self.link, command)
        return commands, name

    def test_refused_values_are_not_taken_for_applied(self):
        session = Session(b"db")
        session.set_value(set_value(b"a", b"1"))
        first, _ = session.preamble(self.link, None, self.names)
        second, _ = session.preamble(self.link, None, self.names)
        self.assertEqual(first, second)

    def test_only_changed_values_are_set_again(self):
        session = Session(b"db")
        session.set_value(set_value(b"a", b"1"))
        session.set_value(set_value(b"b", b"2"))
        first, _ = self.preamble(session, None, self.names)
        self.assertEqual(first, [SetValue(b"a", b"1"), SetValue(b"b", b"2")])
        session.set_value(set_value(b"b", b"3"))
        second, _ = self.preamble(session, None, self.names)
        self.assertEqual(second, [SetValue(b"b", b"3")])
        third, _ = self.preamble(session, None, self.names)
        self.assertEqual(third, [])

    def test_another_sessions_values_are_reset(self):
        session, other = Session(b"db"), Session(b"db")
        session.set_value(set_value(b"a", b"1"))
        self.preamble(session, None, self.names)
        other.set_value(set_value(b"b", b"2"))
        commands, _ = self.preamble(other, None, self.names)
        self.assertEqual(commands, [Reset(), SetValue(b"b", b"2")])
        self.assertEqual(self.link.values, {b"b": b"2"})

    def test_two_sessions_may_use_one_name_for_different_shapes(self):
        session, other = Session(b"db"), Session(b"db")
        session.prepare(prepare(b"s1", b"q1"))
        other.prepare(prepare(b"s1", b"q2"))
        first, name = self.preamble(session, execute(b"s1"), self.names)
        second, other_name = self.preamble(other, execute(b"s1"), self.names)
        self.assertEqual(first, [Prepare(name, True, b"q1")])
        self.assertEqual(second, [Prepare(other_name, True, b"q2")])
        self.assertNotEqual(name, other_name)

    def test_a_shape_is_prepared_once_per_connection(self):
        session = Session(b"db")
        session.prepare(prepare(b"s1", b"q1"))
        session.prepare(prepare(b"s2", b"q1"))
        self.preamble(session, execute(b"s1"), self.names)
        commands, _ = self.preamble(session, execute(b"s2"), self.names)
        self.assertEqual(commands, [])

    def test_a_reset_clears_prepared_shapes(self):
        session, other = Session(b"db"), Session(b"db")
        session.set_value(set_value(b"a", b"1"))
        other.prepare(prepare(b"s1", b"q1"))
        self.preamble(other, execute(b"s1"), self.names)
        self.preamble(session, None, self.names)
        commands, _ = self.preamble(other, execute(b"s1"), self.names)
        self.assertEqual([type(command) for command in commands], [Reset, Prepare])

    def test_an_unknown_name_is_refused_without_a_target(self):
        session = Session(b"db")
        for operation in (
            lambda: self.preamble(session, execute(b"s1"), self.names),
            lambda: session.is_read(execute(b"s1")),
            lambda: session.deallocate(execute(b"s1")),
        ):
            with self.assertRaises(StatementError) as caught:
                operation()
            self.assertIs(caught.exception.failure, Failure.UNKNOWN_STATEMENT)

    def test_a_name_is_never_given_to_two_shapes(self):
        names = PreparedNames()
        assigned = {names.name(True, b"q%d" % n) for n in range(5000)}
        self.assertEqual(len(assigned), 5000)

    def test_the_values_of_a_session_are_limited(self):
        session = Session(b"db")
        with self.assertRaises(StatementError) as caught:
            for number in range(2000):
                session.set_value(set_value(b"v%d" % number, b"1"))
        self.assertIs(caught.exception.failure, Failure.TOO_LARGE)
