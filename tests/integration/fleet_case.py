"""Provide a test case whose tests share one fleet."""

import asyncio
import contextlib
import unittest

import asyncpg
import psycopg

from rosemaryridge_testbed.fleet import PASSWORD
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import USER
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.fleet import eventually

_TEST_TIMEOUT_S = 120.0


class FleetCase(unittest.TestCase):
    """Start one fleet per class and run each test as a coroutine on its loop."""

    options = FleetOptions(proxies=1)

    @classmethod
    def setUpClass(cls):
        cls._runner = asyncio.Runner()
        cls.addClassCleanup(cls._runner.close)
        cls.fleet = Fleet(cls.options)
        cls._runner.run(cls._start_fleet())
        cls.addClassCleanup(lambda: cls._runner.run(cls.fleet.stop()))

    @classmethod
    async def _start_fleet(cls):
        await cls.fleet.__aenter__()
        await cls.prepare()

    @classmethod
    async def prepare(cls):
        """Set up the fleet, once per class."""

    async def begin(self):
        """Run before each test, on the fleet's loop."""

    def _callTestMethod(self, method):  # noqa: N802
        async def bounded():
            async with asyncio.timeout(_TEST_TIMEOUT_S):
                await self.begin()
                await method()

        self._runner.run(bounded())

    @contextlib.asynccontextmanager
    async def caller(self, vm="p1", **options):
        """Open an asyncpg connection to a proxy."""
        conn = await self.fleet.connect(vm, **options)
        try:
            yield conn
        finally:
            conn.terminate()

    @contextlib.asynccontextmanager
    async def psycopg_caller(self, vm="p1", **options):
        """Open a psycopg connection to a proxy."""
        conn = await psycopg.AsyncConnection.connect(
            host="127.0.0.1",
            port=self.fleet.ports[f"caller-{vm}"],
            user=options.pop("user", USER),
            password=options.pop("password", PASSWORD),
            dbname=options.pop("dbname", SERVICE),
            sslmode="disable",
            **options,
        )
        try:
            yield conn
        finally:
            await conn.close()

    async def until(self, condition, what=""):
        """Return the first true value of a condition; allow 60 s for slow machines."""
        return await eventually(condition, 60.0, what)

    @contextlib.asynccontextmanager
    async def refused(self, sqlstate, detail=""):
        """Expect an error with a SQLSTATE and a text that its detail contains."""
        with self.assertRaises((asyncpg.PostgresError, psycopg.Error)) as caught:
            yield caught
        exc = caught.exception
        fields = exc if isinstance(exc, asyncpg.PostgresError) else exc.diag
        text = getattr(fields, "detail", None) or fields.message_detail or ""
        if sqlstate:
            self.assertEqual(exc.sqlstate, sqlstate, exc)
        self.assertIn(detail, text)
