"""Test that requests to a replaced primary end as soon as a new primary is known."""

import asyncio

import asyncpg

from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.load import create_table
from rosemaryridge_testbed.load import final_rows
from rosemaryridge_testbed.load import now
from tests.integration.fleet_case import FleetCase

INSERT = "INSERT INTO entry (session, key, part) VALUES ('s', $1, 1)"
DEADLINE = "SET rosemaryridge.deadline = '20s'"
# Bound of the users for a change of primary.
_CHANGE_LIMIT_S = 5.0
_UNKNOWN = ("40003", "3004 primary_replaced; outcome: unknown")
_NOT_RUN = ("40001", "4006 transaction_lost; outcome: not run")


class TestReplacedPrimary(FleetCase):
    options = FleetOptions(proxies=3)

    @classmethod
    async def prepare(cls):
        await create_table(cls.fleet)

    async def begin(self):
        await self.until(
            self.fleet.writable_with_replicas, "a primary with all its replicas"
        )
        self.primary = await self.fleet.primary()

    def pause(self):
        self.fleet.pause(self.primary)
        self.addCleanup(self.fleet.resume, self.primary)

    async def heal(self, *absent):
        """Resume the old primary; require that the `absent` keys were not written."""
        self.fleet.resume(self.primary)
        await self.until(self.fleet.converged, "convergence of the targets")
        rows = await final_rows(self.fleet, await self.fleet.primary())
        self.assertFalse({row.key for row in rows} & set(absent))

    async def assert_refused_in_time(self, answer, expected):
        """Require an expected error within the bound, well before the deadline."""
        begin = now()
        async with self.refused(*expected):
            await answer
        self.assertLess(now() - begin, _CHANGE_LIMIT_S)

    async def open_transaction(self, conn):
        await conn.execute(DEADLINE)
        await conn.execute("BEGIN")
        await conn.execute("SELECT 1")

    async def test_requests_in_flight(self):
        async with self.caller() as write, self.caller() as open_, self.caller() as end:
            await self.open_transaction(open_)
            await self.open_transaction(end)
            await write.execute(DEADLINE)
            # Prepares the INSERT on the connection that later sends the write.
            await write.execute(INSERT, "warm")
            # The target emulator lets one transaction write at a time.
            await end.execute(INSERT, "end")
            self.pause()
            await asyncio.gather(
                self.assert_refused_in_time(write.execute(INSERT, "write"), _UNKNOWN),
                self.assert_refused_in_time(open_.execute(INSERT, "open"), _NOT_RUN),
                self.assert_refused_in_time(end.execute("COMMIT"), _UNKNOWN),
            )
            await open_.execute("ROLLBACK")
            for conn in (write, open_, end):
                await conn.execute(INSERT, "after")
        await self.heal("open")

    async def test_idle_transactions(self):
        async with self.caller() as idle, self.caller() as end, self.caller() as other:
            await self.open_transaction(idle)
            await self.open_transaction(end)
            await end.execute(INSERT, "end-idle")
            self.pause()
            await self.until(lambda: self.accepts_writes(other), "a new primary")
            await self.assert_refused_in_time(idle.execute(INSERT, "idle"), _NOT_RUN)
            await self.assert_refused_in_time(end.execute("COMMIT"), _NOT_RUN)
        await self.heal("idle", "end-idle")

    async def accepts_writes(self, conn):
        try:
            await conn.execute(INSERT, "probe")
        except asyncpg.PostgresError:
            return False
        return True
