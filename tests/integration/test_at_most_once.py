"""Test that the reported outcome is true wherever a request is interrupted."""

import asyncio

import asyncpg

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.load import create_table
from rosemaryridge_testbed.load import final_rows
from rosemaryridge_testbed.load import outcome_from_error
from tests.integration.fleet_case import FleetCase

INSERT = "INSERT INTO entry (session, key, part) VALUES ('s', $1, 1)"
LONG = "INSERT INTO entry (session, key, part) VALUES ('s', $1, 1) RETURNING hex($2)"
_LINK = "t1/p1"
_ERRORS = (
    OSError,
    asyncpg.InterfaceError,
    asyncpg.InternalClientError,
    asyncpg.PostgresError,
)


class TestCutPoints(FleetCase):
    options = FleetOptions(proxies=2)

    @classmethod
    async def prepare(cls):
        await create_table(cls.fleet)

    async def heal(self):
        links = (_LINK, "caller-p1")
        await self.fleet.admin.set_links(
            *links, cut_up=False, cut_down=False, refuse=False
        )

    async def try_execute(self, conn, text, *args):
        try:
            await conn.execute(text, *args, timeout=30.0)
        except _ERRORS as exc:
            return outcome_from_error(exc)
        return Outcome.DONE

    async def count(self, key):
        """Return the number of rows with a key, once the targets have converged."""
        await self.heal()
        await self.until(self.fleet.converged, "convergence of the targets")
        rows = await final_rows(self.fleet, await self.fleet.primary())
        return [row.key for row in rows].count(key)

    async def assert_outcome(self, key, outcome):
        """Require that the rows of a key agree with the reported outcome."""
        count = await self.count(key)
        allowed = {Outcome.DONE: (1,), Outcome.NOT_RUN: (0,), Outcome.UNKNOWN: (0, 1)}
        self.assertIn(count, allowed[outcome], outcome)

    async def test_before_the_request_is_sent(self):
        async with self.caller() as conn:
            await self.fleet.admin.set_links(_LINK, refuse=True)
            await self.fleet.admin.command_links("close-all", _LINK)
            outcome = await self.try_execute(conn, INSERT, "before")
            self.assertNotEqual(outcome, Outcome.DONE)
            await self.assert_outcome("before", outcome)

    async def test_request_lost(self):
        async with self.caller() as conn:
            await self.try_execute(conn, INSERT, "warm-1")
            await self.fleet.admin.set_links(_LINK, cut_up=True)
            outcome = await self.try_execute(conn, INSERT, "request")
            await self.assert_outcome("request", outcome)

    async def test_answer_lost(self):
        async with self.caller() as conn:
            await self.try_execute(conn, INSERT, "warm-2")
            await self.fleet.admin.set_links(_LINK, cut_down=True)
            outcome = await self.try_execute(conn, INSERT, "answer")
            await self.assert_outcome("answer", outcome)

    async def test_answer_cut_in_the_middle(self):
        async with self.caller() as conn:
            await conn.execute(LONG, "warm-3", "x")
            await self.fleet.admin.command_links("close-after", _LINK, bytes=100)
            outcome = await self.try_execute(conn, LONG, "middle", "x" * 100_000)
            await self.assert_outcome("middle", outcome)
            self.assertEqual(await conn.fetchval("SELECT 1"), 1)

    async def test_connection_lost_before_commit(self):
        async with self.caller() as conn:
            await conn.execute("BEGIN")
            await conn.execute(INSERT, "open")
            await self.fleet.admin.command_links("close-all", _LINK)
            outcome = await self.try_execute(conn, "COMMIT")
            self.assertNotEqual(outcome, Outcome.DONE)
            await self.assert_outcome("open", outcome)

    async def test_answer_to_commit_lost(self):
        async with self.caller() as conn:
            await conn.execute("BEGIN")
            await conn.execute(INSERT, "commit")
            await self.fleet.admin.set_links(_LINK, cut_down=True)
            outcome = await self.try_execute(conn, "COMMIT")
            await self.assert_outcome("commit", outcome)

    async def test_caller_lost_while_it_waits(self):
        async with self.caller() as conn:
            await self.try_execute(conn, INSERT, "warm-4")
            await self.fleet.admin.set_links("caller-p1", cut_down=True)
            with self.assertRaises(TimeoutError):
                await conn.execute(INSERT, "caller", timeout=1.0)
        self.assertIn(await self.count("caller"), (0, 1))

    async def test_request_key_runs_once(self):
        async with self.caller() as conn:
            await self.try_execute(conn, INSERT, "warm-5")
            await conn.execute("SET rosemaryridge.request_key = 'charge-1'")
            await self.fleet.admin.set_links(_LINK, cut_down=True)
            await self.try_execute(conn, INSERT, "keyed")
        await self.heal()
        async with self.caller("p2") as conn:
            # A request key applies to one request only, so it is set before each.
            for _ in range(2):
                await conn.execute("SET rosemaryridge.request_key = 'charge-1'")
                self.assertEqual(await conn.execute(INSERT, "keyed"), "INSERT 0 1")
        self.assertEqual(await self.count("keyed"), 1)

    async def test_abandoned_answer_reaches_no_other_caller(self):
        async with self.caller() as slow, self.caller() as other:
            with self.assertRaises(TimeoutError):
                await slow.fetchval("SELECT pg_sleep(3), 'slow'", timeout=0.3)
            texts = [str(number) for number in range(40)]
            answers = []
            for text in texts:
                answers.append(await other.fetchval("SELECT $1::text", text))
                await asyncio.sleep(0.02)
        self.assertEqual(answers, texts)
