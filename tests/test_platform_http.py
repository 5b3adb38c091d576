"""Test the HTTP client of the platform's interfaces."""

import asyncio
import unittest

from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform.http import HttpClient

RESPONSE = b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n"


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.silent = set()
        self.writers = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.client = HttpClient(Endpoint(host, port), 1.0)
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while await reader.readline():
            if await reader.readline() and writer not in self.silent:
                await asyncio.sleep(0.01)
                writer.write(RESPONSE)
            await reader.readline()
        writer.close()

    async def call(self):
        return await self.client.call("GET", "/", timeout_s=0.2)

    async def test_only_one_call_waits_for_connections_that_fell_silent(self):
        await asyncio.gather(*(self.call() for _ in range(3)))
        self.assertEqual(len(self.writers), 3)
        self.silent.update(self.writers)
        with self.assertRaises(StoreUnavailable):
            await self.call()
        self.assertEqual((await self.call()).status, 200)

    async def test_a_cancelled_call_leaves_no_idle_connection_in_use(self):
        await asyncio.gather(*(self.call() for _ in range(3)))
        self.silent.update(self.writers)
        task = asyncio.create_task(self.call())
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual((await self.call()).status, 200)
