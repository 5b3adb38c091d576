"""Test that what outlives a statement changes nothing of a later one, without I/O."""

import asyncio
import random
import types
import unittest

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import Statement
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.core._caller import Caller
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import Route
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._reader import Reader
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._target import Target
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.businesses import ANONYMOUS
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Run
from rosemaryridge.core.commands import SetValue
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge_testbed.schedules._loop import run_virtually
from tests.test_core_decisions import StubLog


class ScriptedLink:
    """Answer each command with success, but nothing that the target loses."""

    via = ""

    def __init__(self, proxy):
        self.stops_at_failure = proxy.stops_at_failure
        self.business = ""
        self.values = {}
        self.prepared = set()
        self.closed = False
        self.busy = False
        self.state = TransactionState.IDLE
        self._proxy = proxy

    def send(self, *batch):
        return [self._answer(command) for command in batch]

    def _answer(self, command):
        fut = asyncio.get_running_loop().create_future()
        if isinstance(command, Begin):
            self.state = TransactionState.OPEN
        elif not isinstance(command, Run | SetValue):
            self.state = TransactionState.IDLE
        if not self._proxy.loses(command):
            failure = self._proxy.failure
            answer = Answer((), b"", failure, "", self.state, Position(1, 9))
            self._proxy.deliver(fut, answer)
        return fut

    def close(self):
        self.closed = True


class StubProxy:
    """Serve callers from three targets; `loses` tells which answers never come."""

    shutdown = None
    consistency = Consistency.SESSION
    # Of the links that are opened, and of each answer.
    stops_at_failure = False
    failure = None
    # Set once the answers arrive; None where they arrive at once.
    delays = None

    def __init__(self):
        self.loses = lambda command: False
        self.log = StubLog()
        self.executions = []
        self.config = types.SimpleNamespace(
            current=types.SimpleNamespace(transaction_idle_s=9.0)
        )
        rng = random.Random(3)
        self.group = Group("books", self.log, lambda group: None)
        for name in ("t1", "t2", "t3"):
            info = TargetInfo(name, "books", Endpoint("127.0.0.1", 1), "a", 2, 1)
            pool = Pool(info, 4, self._connect, lambda: None, lambda exc: None, rng)
            self.group.targets[name] = Target(info, pool)
        self.group.primary = "t1"
        self.group.fetch_min_position = self._fetch_min_position
        self.group.probe_primary = self._probe_primary
        self.runner = Runner(rng, PreparedNames(), self.log, MetricsRegistry())
        surroundings = Surroundings("a", {"a": "r"})
        self.reader = Reader(self.runner, surroundings, MetricsRegistry(), rng)

    def deliver(self, fut, answer):
        """Give an answer to who waits for it, once answers arrive."""
        if self.delays is None:
            fut.set_result(answer)
            return

        async def deliver_later():
            await self.delays.wait()
            if not fut.done():
                fut.set_result(answer)

        self.runner.spawn(deliver_later())

    async def _connect(self, info, timeout_s, business):
        return ScriptedLink(self)

    async def _fetch_min_position(self, max_age_s, deadline):
        return Position(1, 1), 1.0

    async def _probe_primary(self, target):
        return None

    def route(self, database):
        route = Route(b"db", "books", self.consistency, 3.0, 1.0, 1, 2.5)
        return route, self.group

    def find_business(self, database, key):
        return ANONYMOUS

    def authorize(self, session):
        session.business = ANONYMOUS

    async def admit(self, session, route, statement):
        pass

    def record_statement(self, *args):
        self.executions.append(args)


def statement(verb, text, **fields):
    return Statement(b"1", verb, text, **fields)


class LateAttemptTest(unittest.TestCase):
    """Guard against attempts that change statements after their own."""

    async def _lose_a_commit_beside_a_late_read(self):
        """Return a COMMIT's answer; its proxy ends as an earlier read gives up."""
        proxy = StubProxy()
        caller = Caller(proxy, b"db", b"")
        await caller.serve(statement(Verb.SET, b"SET desk 7", name=b"desk", rest=b"7"))
        lost = []

        def lose_the_first_value(command):
            if isinstance(command, SetValue) and not lost:
                lost.append(command)
                return True
            return False

        proxy.loses = lose_the_first_value
        read = await caller.serve(statement(Verb.READ, b"READ 1", read_only=True))
        self.assertTrue(read.ok)
        for verb, text in ((Verb.BEGIN, b"BEGIN"), (Verb.WRITE, b"WRITE 1 a")):
            self.assertTrue((await caller.serve(statement(verb, text))).ok)
        await asyncio.sleep(2.5)
        proxy.loses = lambda command: (
            isinstance(command, Run) and command.statement.verb is Verb.COMMIT
        )
        commit = asyncio.create_task(caller.serve(statement(Verb.COMMIT, b"COMMIT")))
        # The read's first attempt gives up 5 s after it was sent.
        await asyncio.sleep(2.8)
        self.assertTrue(caller.end_statement())
        return await commit, proxy

    def test_a_commit_at_its_target_is_not_answered_as_aborted(self):
        # A committed transaction was answered as aborted as its proxy ended: the late
        # attempt had recorded that "the" statement was not sent.
        answer, _ = run_virtually(self._lose_a_commit_beside_a_late_read)
        self.assertIs(answer.failure, Failure.UNKNOWN_OUTCOME)


class ProofOfLeadTest(unittest.TestCase):
    """Guard against answers of a deposed primary that are taken for a proof of lead."""

    def _primary_after_commit(self, verb, text):
        """Return who leads once "t1" has committed after "t2" was found to lead."""

        async def run():
            proxy = StubProxy()
            caller = Caller(proxy, b"db", b"")
            await caller.serve(statement(Verb.BEGIN, b"BEGIN"))
            read_only = verb is Verb.READ
            await caller.serve(statement(verb, text, read_only=read_only))
            successor = proxy.group.targets["t2"]
            await asyncio.sleep(1.0)
            now = asyncio.get_running_loop().time()
            proxy.group.record_primary(successor, Position(1, 20), now)
            await asyncio.sleep(1.0)
            answer = await caller.serve(statement(Verb.COMMIT, b"COMMIT"))
            self.assertTrue(answer.ok)
            return proxy.group.primary

        return run_virtually(run)

    def test_a_commit_that_wrote_nothing_proves_nothing(self):
        # A proxy went back to a deposed primary, and its reads became stale.
        self.assertEqual(self._primary_after_commit(Verb.READ, b"READ 1"), "t2")

    def test_a_commit_that_wrote_proves_the_lead(self):
        self.assertEqual(self._primary_after_commit(Verb.WRITE, b"WRITE 1 a"), "t1")

    def _primary_after_late_answer(self, ask, **options):
        """Return who leads once "t1" answers a request sent before "t2" was found."""

        async def run():
            proxy = StubProxy()
            for name, value in options.items():
                setattr(proxy, name, value)
            release = asyncio.Event()
            ready = await ask(proxy, None)
            proxy.delays = release
            task = asyncio.create_task(ask(proxy, ready))
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            successor = proxy.group.targets["t2"]
            proxy.group.record_primary(successor, Position(1, 20), now)
            self.assertEqual(proxy.group.primary, "t2")
            release.set()
            await task
            return proxy.group.primary

        return run_virtually(run)

    def test_a_late_answer_of_a_deposed_primary_proves_nothing(self):
        # Each kind of answer that proves a lead was sent before the successor led.
        async def probe(proxy, ready):
            if ready is None:
                return True
            return await proxy.group._exchange_probe(
                proxy.group.targets["t1"], ScriptedLink(proxy), 1.0
            )

        async def read(proxy, ready):
            if ready is None:
                return Caller(proxy, b"db", b"")
            return await ready.serve(statement(Verb.READ, b"READ 1", read_only=True))

        async def write(proxy, ready):
            if ready is None:
                return Caller(proxy, b"db", b"")
            return await ready.serve(statement(Verb.WRITE, b"WRITE 1 a"))

        async def commit(proxy, ready):
            if ready is None:
                caller = Caller(proxy, b"db", b"")
                await caller.serve(statement(Verb.BEGIN, b"BEGIN"))
                await caller.serve(statement(Verb.WRITE, b"WRITE 1 a"))
                return caller
            return await ready.serve(statement(Verb.COMMIT, b"COMMIT"))

        primary = {"consistency": Consistency.PRIMARY}
        owned = primary | {"stops_at_failure": True}
        for ask, options in (
            (probe, {}),
            (read, primary),
            (read, owned),
            (write, {}),
            (commit, {}),
        ):
            with self.subTest(ask.__name__, **options):
                found = self._primary_after_late_answer(ask, **options)
                self.assertEqual(found, "t2")

    def test_a_registration_makes_no_primary_beside_a_known_one(self):
        async def run():
            proxy = StubProxy()
            group = proxy.group
            group.record_primary(group.targets["t2"], Position(1, 20), 0.0)
            group.record_primary_registration(group.targets["t1"])
            await asyncio.sleep(0.0)
            return group.primary

        self.assertEqual(run_virtually(run), "t2")

    def test_a_begin_that_failed_at_an_owner_proves_nothing(self):
        # An owner answers the read with the failure of the BEGIN before it.
        async def run():
            proxy = StubProxy()
            caller = Caller(proxy, b"db", b"")
            proxy.consistency = Consistency.PRIMARY
            proxy.stops_at_failure = True
            proxy.failure = Failure.FAILED
            answer = await caller.serve(statement(Verb.READ, b"READ 1", read_only=True))
            self.assertIs(answer.failure, Failure.FAILED)
            return proxy.group._history.newest_time()

        self.assertEqual(run_virtually(run), float("-inf"))


if __name__ == "__main__":
    unittest.main()
