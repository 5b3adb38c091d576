import asyncio
import random
import unittest

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import Statement
from rosemaryridge.core import StatementError
from rosemaryridge.core import TargetLost
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import Route
from rosemaryridge.core._execution import Execution
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._reader import Reader
from rosemaryridge.core._runner import Runner
from rosemaryridge.core._session import PreparedNames
from rosemaryridge.core._session import Session
from rosemaryridge.core._target import Target
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core._transaction import Transaction
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge_testbed.schedules._loop import run_virtually

# A statement's route allows 0.8 s; the longest trail measured otherwise had 18 entries.
_TIMEOUT_S = 0.8
_MAX_PASSES = 60


class StubLog:
    def write(self, event, **fields):
        pass


class StubLink:
    """Answer every command at once with the same failure."""

    via = ""
    stops_at_failure = False
    state = TransactionState.IDLE

    def __init__(self, world):
        self.business = ""
        self.values = {}
        self.prepared = set()
        self.closed = False
        self.busy = False
        self._world = world

    def send(self, *batch):
        self._world.count_pass()
        futs = []
        for _ in batch:
            fut = asyncio.get_running_loop().create_future()
            if self._world.failure is None:
                fut.set_exception(TargetLost("closed", sent=False))
                fut.exception()
            else:
                fut.set_result(Answer(failure=self._world.failure))
            futs.append(fut)
        return futs

    def close(self):
        self.closed = True


class StubWorld:
    """Hold one group in which no statement succeeds, and count the attempts."""

    def __init__(self, failure, reachable=True, lagging=False):
        self.failure = failure
        self.passes = 0
        self._reachable = reachable
        rng = random.Random(3)
        self.group = Group("books", StubLog(), lambda group: None)
        for name in ("t1", "t2", "t3"):
            info = TargetInfo(name, "books", Endpoint("127.0.0.1", 1), "a", 2, 1)
            pool = Pool(info, 4, self._connect, lambda: None, lambda exc: None, rng)
            target = self.group.targets[name] = Target(info, pool)
            if lagging and name != "t1":
                target.lag_s, target.lag_probe_at = 9.0, 1e9
        self.group.primary = "t1"
        self.group.fetch_min_position = self._fetch_min_position
        self.group.probe_primary = self._probe_primary
        self.runner = Runner(rng, PreparedNames(), StubLog(), MetricsRegistry())
        surroundings = Surroundings("a", {"a": "r"})
        self.reader = Reader(self.runner, surroundings, MetricsRegistry(), rng)

    def count_pass(self):
        self.passes += 1
        if self.passes > 100 * _MAX_PASSES:
            raise AssertionError("the loop spins")

    async def _connect(self, info, timeout_s, business):
        if not self._reachable:
            raise ConnectFailed("nothing listens", refused=True)
        return StubLink(self)

    async def _fetch_min_position(self, max_age_s, deadline):
        self.count_pass()
        return Position(1, 120), 2.18

    async def _probe_primary(self, target):
        return None


def make_route(consistency):
    return Route(b"db", "books", consistency, _TIMEOUT_S, 1.0, 1, 2.5)


WORLDS = (
    ("full targets", {"failure": Failure.BUSY}),
    ("targets that lag", {"failure": Failure.LAGGING, "lagging": True}),
    (
        "full primary beside replicas that lag",
        {"failure": Failure.BUSY, "lagging": True},
    ),
    ("targets that are all read-only", {"failure": Failure.READ_ONLY}),
    ("connections that close before they are used", {"failure": None}),
    ("targets that refuse connections", {"failure": None, "reachable": False}),
)


class RetryLoopTest(unittest.TestCase):
    """Guards against a loop that repeats without a wait and blocks the process."""

    def check(self, consistency, serve):
        for name, options in WORLDS:
            with self.subTest(name):

                async def run(options=options):
                    world = StubWorld(**options)
                    try:
                        await serve(world, Session(b"db"), make_route(consistency))
                    except StatementError:
                        pass
                    return world.passes

                self.assertLess(run_virtually(run), _MAX_PASSES)

    def test_a_write_waits_between_its_attempts(self):
        statement = Statement(b"1", Verb.WRITE, b"WRITE 1 a")
        self.check(
            Consistency.PRIMARY,
            lambda world, session, route: world.runner.write(
                Execution(session, statement), route, world.group
            ),
        )

    def test_a_read_waits_between_its_attempts(self):
        statement = Statement(b"1", Verb.READ, b"READ 1", read_only=True)
        for consistency in Consistency:
            self.check(
                consistency,
                lambda world, session, route: world.reader.read(
                    Execution(session, statement), route, world.group
                ),
            )

    def test_a_transaction_waits_between_attempts_to_open(self):
        # A proxy was blocked for 0.8 s: the only target left to try was a replica that
        # lags, which the choice skips, and the next attempt followed at once.
        statement = Statement(b"1", Verb.READ, b"READ 1", read_only=True)

        async def serve(world, session, route):
            async def admit():
                pass

            begin = Statement(b"0", Verb.BEGIN, b"BEGIN READ", read_only=True)
            transaction = Transaction(
                world.runner,
                world.reader,
                Execution(session, begin),
                route,
                world.group,
                True,
                9,
                admit(),
            )
            await transaction.run(Execution(session, statement))

        for consistency in Consistency:
            self.check(consistency, serve)


if __name__ == "__main__":
    unittest.main()
