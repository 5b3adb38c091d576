"""Test the records of a caller whose proxy closes the connection after an answer."""

import asyncio
import types
import unittest

import asyncpg

from rosemaryridge.model import Position
from rosemaryridge.session import Token
from rosemaryridge_testbed.history import History
from rosemaryridge_testbed.history import Promise
from rosemaryridge_testbed.history import check
from rosemaryridge_testbed.load import Caller
from rosemaryridge_testbed.load import Recorder

_TOKEN = str(Token(Position(1, 20)))


class _FakeConnection:
    """Report a token with each write; close without an answer to SHOW."""

    def __init__(self, proxy):
        self._proxy = proxy
        self._closed = False
        self.sent = []

    def is_closed(self):
        return self._closed

    def terminate(self):
        self._closed = True

    def get_settings(self):
        return types.SimpleNamespace(
            **{"rosemaryridge.token": self._proxy.reported_token}
        )

    async def execute(self, text, *args, timeout=None):
        self.sent.append(text)
        return "OK"

    async def fetch(self, text, *args, timeout=None):
        return self._proxy.rows

    async def fetchval(self, text):
        self._closed = True
        raise asyncpg.AdminShutdownError("the proxy is shutting down")


class _FakeProxy:
    def __init__(self, reported_token="", rows=()):
        self.reported_token = reported_token
        self.rows = rows
        self.conns = []

    async def connect(self, vm, server_settings, timeout):
        self.settings = server_settings
        self.conns.append(_FakeConnection(self))
        return self.conns[-1]


class TestCaller(unittest.TestCase):
    def setUp(self):
        self.recorder = Recorder()

    def test_token_reported_with_a_write_is_sent_to_the_next_proxy(self):
        proxy = _FakeProxy(reported_token=_TOKEN)
        caller = Caller(proxy, self.recorder, "s", carry_token=True)
        asyncio.run(caller.write("p1"))
        caller.drop("p1")
        asyncio.run(caller.read("p2"))
        self.assertEqual(proxy.settings["rosemaryridge.report_token"], "on")
        self.assertIn(f"SET rosemaryridge.token = '{_TOKEN}'", proxy.conns[-1].sent)

    def test_read_whose_token_was_lost_binds_no_later_read(self):
        row = {"session": "s", "key": "s-1"}
        caller = Caller(_FakeProxy(rows=(row,)), self.recorder, "s", carry_token=True)
        asyncio.run(caller.read("p1"))
        self.assertEqual(self.promises_broken_by_an_empty_read(), set())

    def test_read_of_a_named_session_binds_later_reads(self):
        row = {"session": "s", "key": "s-1"}
        caller = Caller(_FakeProxy(rows=(row,)), self.recorder, "s")
        asyncio.run(caller.read("p1"))
        self.assertEqual(self.promises_broken_by_an_empty_read(), {Promise.MONOTONIC})

    def promises_broken_by_an_empty_read(self):
        caller = Caller(_FakeProxy(), self.recorder, "s")
        asyncio.run(caller.read("p2"))
        reads = tuple(self.recorder.reads)
        final = reads[0].rows
        return {finding.promise for finding in check(History((), reads, final))}


if __name__ == "__main__":
    unittest.main()
