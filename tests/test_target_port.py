"""Test how the target port connects to targets that are slow or unreachable."""

import asyncio
import unittest
from unittest import mock

from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.wire import Login
from rosemaryridge.wire import PgTargetPort

TARGET = TargetConfig("t1", Endpoint("127.0.0.1", 1), "north")
ROW = {
    "role": "primary",
    "term": 1,
    "fenced_term": 1,
    "received": "1/2",
    "applied": "1/2",
    "upstream": "",
    "upstream_silence_ms": 0.0,
    "leaving": False,
    "writable": True,
}


class TargetPortTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reachable = asyncio.Event()
        self.attempts = 0
        connect = mock.patch("asyncpg.connect", self.connect)
        connect.start()
        self.addCleanup(connect.stop)
        name = "rosemaryridge.wire._target_port.set_keep_alive"
        set_keep_alive = mock.patch(name)
        set_keep_alive.start()
        self.addCleanup(set_keep_alive.stop)
        self.port = PgTargetPort(Login("u", "p", "d"))

    async def connect(self, **_options):
        self.attempts += 1
        await self.reachable.wait()
        conn = mock.MagicMock()
        conn.is_closed.return_value = False
        conn.fetchrow = mock.AsyncMock(return_value=ROW)
        return conn

    async def test_connecting_continues_after_the_call_times_out(self):
        for _ in range(2):
            with self.assertRaises(TargetUnavailable):
                await self.port.status(TARGET, 0.01)
        self.assertEqual(self.attempts, 1)
        self.reachable.set()
        status = await self.port.status(TARGET, 30.0)
        self.assertEqual((status.term, self.attempts), (1, 1))

    async def test_reconnects_after_a_failed_attempt(self):
        failing = mock.patch("asyncpg.connect", mock.AsyncMock(side_effect=OSError))
        with failing, self.assertRaises(TargetUnavailable):
            await self.port.status(TARGET, 30.0)
        self.reachable.set()
        self.assertEqual((await self.port.status(TARGET, 30.0)).term, 1)


if __name__ == "__main__":
    unittest.main()
