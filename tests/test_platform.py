import random
import unittest

import aiohttp
from aiohttp.test_utils import TestServer
from hypothesis import given
from hypothesis import strategies as st

from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreRefused
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.objects import CallBudget
from rosemaryridge.objects import HttpObjectStore
from rosemaryridge.objects import PlatformSettings
from rosemaryridge.objects import StoredObject
from rosemaryridge.objects import put_confirmed
from rosemaryridge.telemetry import STORE_CALLS
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.platform import Platform
from rosemaryridge_testbed.platform import PlatformOptions

MANY = 10_000


class HttpObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await self.serve()

    async def serve(self, reads_per_s=MANY, **cfg):
        options = PlatformOptions("127.0.0.1", 0, reads_per_s=reads_per_s)
        server = TestServer(Platform(options).application())
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.url = str(server.make_url("")).rstrip("/")
        cfg = {"calls_per_s": MANY, "call_burst": MANY, **cfg}
        self.metrics = Metrics()
        self.timer = LoopTimer()
        settings = PlatformSettings(self.url, **cfg)
        self.store = HttpObjectStore(settings, self.timer, self.metrics)
        self.addAsyncCleanup(self.store.close)

    async def inject_faults(self, **faults):
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self.url}/admin/faults", json=faults)

    def calls(self, call, result):
        return self.metrics.value(STORE_CALLS, call, result)

    async def test_writes_conditionally(self):
        self.assertEqual((await self.store.get("service", "a")).version, 0)
        version = await self.store.put("service", "a", b"one", 0)
        with self.assertRaises(StoreConflict) as caught:
            await self.store.put("service", "a", b"two", 0)
        self.assertEqual(caught.exception.version, version)
        stored = StoredObject("service", "a", version, b"one")
        self.assertEqual(await self.store.get("service", "a"), stored)
        self.assertEqual(await self.store.list("service"), (stored,))
        self.assertEqual(self.calls("put", "conflict"), 1)

    async def test_watches(self):
        version = await self.store.put("service", "a/b c", b"one", 0)
        revision, objects = await self.store.watch("service", 0, 1.0)
        self.assertEqual(objects[0].name, "a/b c")
        self.assertEqual(revision, version)
        self.assertEqual(
            await self.store.watch("service", revision, 0.01), (revision, ())
        )

    async def test_refuses_an_oversized_value_without_a_call(self):
        with self.assertRaises(StoreRefused):
            await self.store.put("service", "a", b"x" * 1_000_001, 0)
        self.assertEqual((await self.store.get("service", "a")).version, 0)

    async def test_reports_an_outage(self):
        await self.inject_faults(outage=True)
        with self.assertRaises(StoreUnavailable):
            await self.store.get("service", "a")
        self.assertEqual(self.calls("get", "unavailable"), 1)

    async def test_reports_an_unreachable_platform(self):
        settings = PlatformSettings("http://127.0.0.1:1", calls_per_s=MANY)
        store = HttpObjectStore(settings, self.timer, Metrics())
        self.addAsyncCleanup(store.close)
        with self.assertRaises(StoreUnavailable):
            await store.vms()

    async def test_refuses_a_call_over_the_budget_before_sending_it(self):
        await self.serve(calls_per_s=1, call_burst=2)
        await self.store.vms()
        await self.store.vms()
        with self.assertRaises(StoreLimited) as caught:
            await self.store.vms()
        self.assertGreater(caught.exception.retry_after_s, 0.0)
        self.assertEqual(self.calls("vms", "limited"), 1)

    async def test_pauses_after_the_platform_limits_a_call(self):
        await self.serve(reads_per_s=1)
        await self.store.vms()
        for _ in range(2):
            with self.assertRaises(StoreLimited):
                await self.store.vms()
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{self.url}/admin/state") as resp,
        ):
            state = await resp.json()
        self.assertEqual(state["counts"]["limited"], 1)

    async def test_confirms_a_write_whose_answer_was_lost(self):
        await self.inject_faults(lose_answers=1)
        wanted = StoredObject("service", "a", 0, b"one")
        rng = random.Random(1)
        version = await put_confirmed(self.store, wanted, self.timer, rng, 5.0)
        self.assertEqual((await self.store.get("service", "a")).version, version)
        self.assertEqual(self.calls("put", "ok") + self.calls("put", "unavailable"), 1)


class FlakyStore:
    """Run or drop each write, and answer it or not, as listed in `script`.

    After `competing_after` writes, another client writes as well.
    """

    def __init__(self, script, competing_after=None):
        self.script = list(script)
        self.competing_after = competing_after
        self.stored = StoredObject("service", "a", 0, b"")
        self.writes = 0

    async def put(self, kind, name, value, expected):
        runs, answers = self.script.pop(0) if self.script else (True, True)
        if runs and self.stored.version != expected and answers:
            raise StoreConflict("conflict", self.stored.version)
        if runs and self.stored.version == expected:
            self._write(value)
            if self.writes == self.competing_after:
                self._write(b"rival")
        if not answers:
            raise StoreUnavailable("lost")
        if not runs:
            raise StoreLimited("limited", 0.0)
        return self.stored.version

    def _write(self, value):
        version = self.stored.version + 1
        self.stored = StoredObject("service", "a", version, value)
        self.writes += 1

    async def get(self, kind, name):
        return self.stored


class InstantTimer:
    """Advance the time by each delay and call back at once."""

    def __init__(self):
        self._now = 0.0

    def now(self):
        return self._now

    def after(self, delay_s, callback):
        self._now += delay_s
        callback()
        return self

    def cancel(self):
        pass


class PutConfirmedTest(unittest.IsolatedAsyncioTestCase):
    async def put(self, store, total_s=1e6):
        wanted = StoredObject("service", "a", 0, b"mine")
        rng = random.Random(5)
        return await put_confirmed(store, wanted, InstantTimer(), rng, total_s)

    async def test_writes_once_whichever_answers_are_lost(self):
        rng = random.Random(11)
        for _ in range(200):
            script = [(rng.random() < 0.5, rng.random() < 0.5) for _ in range(8)]
            store = FlakyStore(script)
            self.assertEqual(await self.put(store), 1)
            self.assertEqual(store.writes, 1)

    async def test_reports_a_competing_write_after_a_lost_answer(self):
        store = FlakyStore([(True, False)], competing_after=1)
        with self.assertRaises(StoreConflict) as caught:
            await self.put(store)
        self.assertEqual(caught.exception.version, 2)

    async def test_raises_after_the_total_time(self):
        store = FlakyStore([(False, False)] * 1000)
        with self.assertRaises(StoreUnavailable):
            await self.put(store, total_s=5.0)


class CallBudgetTest(unittest.TestCase):
    @given(st.lists(st.floats(0.0, 3.0), max_size=60))
    def test_never_exceeds_its_rate(self, gaps):
        budget = CallBudget(2, 5, 0.0)
        now = 0.0
        allowed = 0
        for gap in gaps:
            now += gap
            allowed += budget.acquire(now) == 0.0
            self.assertLessEqual(allowed, 5 + 2 * now + 1e-6)

    def test_allows_a_call_after_the_returned_wait(self):
        budget = CallBudget(2, 1, 0.0)
        self.assertEqual(budget.acquire(0.0), 0.0)
        wait_s = budget.acquire(0.0)
        self.assertGreater(wait_s, 0.0)
        self.assertEqual(budget.acquire(wait_s), 0.0)

    def test_allows_no_call_during_a_pause(self):
        budget = CallBudget(2, 5, 0.0)
        budget.pause(0.0, 3.0)
        self.assertEqual(budget.acquire(1.0), 2.0)
        self.assertEqual(budget.acquire(3.0), 0.0)


if __name__ == "__main__":
    unittest.main()
