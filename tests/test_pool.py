import asyncio
import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge import codes
from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Endpoint
from rosemaryridge.pool import Pools
from rosemaryridge.pool import PoolSettings
from rosemaryridge.pool import RetryBudget
from rosemaryridge.pool._pacer import OpenPacer
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._slots import Granted
from rosemaryridge.pool._slots import Refused
from rosemaryridge.pool._slots import SlotTable
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer

TARGET = TargetConfig("t1", Endpoint("127.0.0.1", 1), "suva", max_connections=7)
SERVICE = ServiceConfig(
    "exchange",
    1,
    "exchange",
    (TARGET,),
    businesses=(BusinessConfig("claims", 0.5), BusinessConfig("listings", 0.5)),
)
CFG = PoolSettings(fleet_size=2, base_ratio=1.0, reserved_connections=3, open_gap_s=0.0)


def make_entry(waiter, business="claims", priority=Priority.NORMAL, deadline=10.0):
    return Entry(waiter, business, priority, deadline)


def make_table(limit=2):
    slots = SlotTable(limit, 5.0, random.Random(1))
    slots.configure(SERVICE.businesses)
    return slots


def waiters_of(effects, kind):
    return [effect.waiter for effect in effects if isinstance(effect, kind)]


class SlotTableTest(unittest.TestCase):
    def test_most_urgent_then_earliest_deadline_first(self):
        slots = make_table(limit=1)
        slots.request_slot(make_entry("running"), 0.0)
        slots.request_slot(make_entry("late", deadline=9.0), 0.0)
        slots.request_slot(make_entry("early", deadline=8.0), 0.0)
        slots.request_slot(make_entry("urgent", priority=Priority.CRITICAL), 0.0)
        order = [
            waiters_of(slots.release_slot("claims", 0.01, 0.1), Granted)
            for _ in range(3)
        ]
        self.assertEqual(order, [["urgent"], ["early"], ["late"]])

    def test_flood_does_not_take_guaranteed_slots_of_active_business(self):
        slots = make_table(limit=4)
        slots.request_slot(make_entry("first"), 0.0)
        slots.release_slot("claims", 0.01, 0.0)
        granted = []
        for n in range(50):
            effects = slots.request_slot(make_entry(n, "listings"), 1.0)
            granted += waiters_of(effects, Granted)
        self.assertEqual(granted, [0, 1])
        self.assertEqual(
            waiters_of(slots.request_slot(make_entry("claim"), 1.0), Granted), ["claim"]
        )

    def test_slots_of_inactive_business_are_shared(self):
        slots = make_table(limit=4)
        granted = []
        for n in range(10):
            granted += waiters_of(
                slots.request_slot(make_entry(n, "listings"), 0.0), Granted
            )
        self.assertEqual(granted, [0, 1, 2, 3])

    def test_full_queue_sheds_the_least_urgent(self):
        slots = make_table(limit=1)
        slots.configure([BusinessConfig("claims", 0.5, queue_limit=1)])
        slots.request_slot(make_entry("running"), 0.0)
        slots.request_slot(make_entry("browse", priority=Priority.BACKGROUND), 0.0)
        effects = slots.request_slot(
            make_entry("checkout", priority=Priority.CRITICAL), 0.0
        )
        self.assertEqual(effects[0].waiter, "browse")
        self.assertEqual(effects[0].code, codes.limits.SHED)
        self.assertGreater(effects[0].retry_after_s, 0.0)
        effects = slots.request_slot(
            make_entry("second", priority=Priority.BACKGROUND), 0.0
        )
        self.assertEqual(effects[0].code, codes.limits.QUEUE_FULL)

    def test_refuses_at_once_when_estimated_wait_passes_deadline(self):
        slots = make_table(limit=1)
        slots.mean_hold_s = 1.0
        for n in range(4):
            slots.request_slot(make_entry(n, deadline=100.0), 0.0)
        effects = slots.request_slot(make_entry("late", deadline=2.0), 0.0)
        self.assertEqual(effects[0].code, codes.limits.DEADLINE_IN_QUEUE)

    def test_long_hold_time_does_not_refuse_when_a_slot_is_free(self):
        slots = make_table(limit=1)
        slots.mean_hold_s = 60.0
        self.assertEqual(
            waiters_of(slots.request_slot(make_entry("one"), 0.0), Granted), ["one"]
        )

    def test_expired_requests_are_never_granted(self):
        slots = make_table(limit=1)
        slots.request_slot(make_entry("running"), 0.0)
        slots.request_slot(make_entry("expired", deadline=1.0), 0.0)
        slots.request_slot(make_entry("alive", deadline=9.0), 0.0)
        effects = slots.release_slot("claims", 0.01, 2.0)
        self.assertEqual(waiters_of(effects, Refused), ["expired"])
        self.assertEqual(waiters_of(effects, Granted), ["alive"])

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["arrive", "leave", "expire", "resize"]),
                st.sampled_from(["claims", "listings"]),
                st.sampled_from(list(Priority)),
                st.integers(0, 5),
            ),
            max_size=80,
        )
    )
    def test_every_request_is_answered_once_within_the_limit(self, steps):
        slots, answers, entries, running = make_table(limit=3), {}, {}, []
        for now, (step, business, priority, number) in enumerate(steps):
            effects = []
            if step == "arrive":
                entries[now] = make_entry(now, business, priority, now + number)
                effects = slots.request_slot(entries[now], now)
            elif step == "leave" and running:
                done = running.pop(number % len(running))
                effects = slots.release_slot(entries[done].business, 0.1, now)
            elif step == "expire" and entries:
                effects = slots.expire(list(entries.values())[number % len(entries)])
            elif step == "resize":
                effects = slots.resize(number, now)
            for effect in effects:
                self.assertNotIn(effect.waiter, answers)
                answers[effect.waiter] = effect
            granted = waiters_of(effects, Granted)
            running += granted
            self.assertEqual(slots.busy, len(running))
            if granted:
                self.assertLessEqual(slots.busy, slots.limit)
        self.assertEqual(len(answers) + slots.waiting, len(entries))


class OpenPacerTest(unittest.TestCase):
    def test_spaces_openings_and_backs_off_after_failures(self):
        pacer = OpenPacer(0.1, 0.05, 2.0, random.Random(1))
        waits = [pacer.reserve(0.0) for _ in range(10)]
        self.assertEqual(waits[0], 0.0)
        self.assertGreater(waits[-1], 0.4)
        pacer = OpenPacer(0.0, 0.05, 2.0, random.Random(1))
        for _ in range(10):
            pacer.on_failure(0.0)
        self.assertGreaterEqual(pacer.blocked_s(0.0), 1.0)
        self.assertLessEqual(pacer.blocked_s(0.0), 2.0)
        pacer.on_success()
        self.assertEqual(pacer.blocked_s(0.0), 0.0)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_proportional_to_successes(self):
        budget = RetryBudget()
        budget.adopt(SERVICE)
        allowed = 0
        for _ in range(1000):
            budget.on_success("claims")
            allowed += budget.try_consume("claims")
            allowed += budget.try_consume("claims")
        self.assertLessEqual(allowed, 102)
        self.assertGreaterEqual(allowed, 98)


@dataclasses.dataclass
class FakeConnection:
    closed: bool = False

    def is_closed(self):
        return self.closed

    async def close(self):
        self.closed = True

    def terminate(self):
        self.closed = True


class PoolsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.opened = []
        self.healthy = True
        self.fail = False
        self.pools = Pools(
            CFG, self.timer, random.Random(1), self.connect, Metrics(), self.check
        )
        self.pools.adopt(SERVICE)

    async def connect(self, target, service):
        await asyncio.sleep(0)
        if self.fail:
            raise ConnectionRefusedError
        self.opened.append(FakeConnection())
        return self.opened[-1]

    async def check(self, connection, timeout_s):
        return self.healthy

    def acquire(self, business="claims", deadline=10.0):
        return self.pools.acquire("exchange", "t1", business, Priority.NORMAL, deadline)

    async def run_ready_tasks(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def test_opens_lazily_and_reuses(self):
        lease = await self.acquire()
        lease.release()
        lease.release()
        again = await self.acquire()
        self.assertEqual(len(self.opened), 1)
        self.assertIs(again.connection, self.opened[0])

    async def test_waits_for_a_slot_until_a_discarded_connection_is_closed(self):
        leases = [await self.acquire() for _ in range(2)]
        waiting = asyncio.create_task(self.acquire())
        await self.run_ready_tasks()
        self.assertFalse(waiting.done())
        leases[0].discard()
        lease = await waiting
        self.assertTrue(self.opened[0].closed)
        self.assertIs(lease.connection, self.opened[2])
        self.assertEqual(self.pools.pool("exchange", "t1").open_connections, 2)

    async def test_deadline_in_queue_refuses(self):
        for _ in range(2):
            await self.acquire()
        waiting = asyncio.create_task(self.acquire(deadline=1.0))
        await self.run_ready_tasks()
        self.timer.advance(1.5)
        with self.assertRaises(Refusal) as caught:
            await waiting
        self.assertEqual(caught.exception.code, codes.limits.DEADLINE_IN_QUEUE)
        self.assertIsNotNone(caught.exception.retry_after_s)

    async def test_idle_connection_that_fails_its_check_is_replaced(self):
        (await self.acquire()).release()
        self.timer.advance(5.0)
        self.healthy = False
        lease = await self.acquire()
        self.assertIs(lease.connection, self.opened[1])
        self.assertTrue(self.opened[0].closed)

    async def test_failed_opening_refuses_and_frees_the_slot(self):
        self.fail = True
        with self.assertRaises(Refusal) as caught:
            await self.acquire()
        self.assertEqual(caught.exception.code, codes.limits.NO_TARGET)
        self.assertEqual(self.pools.pool("exchange", "t1").open_connections, 0)
        with self.assertRaises(Refusal):
            await self.acquire()
        self.fail = False
        self.timer.advance(3.0)
        await self.acquire()

    async def test_cancelled_waiter_does_not_leak_its_slot(self):
        leases = [await self.acquire() for _ in range(2)]
        waiting = asyncio.create_task(self.acquire())
        await self.run_ready_tasks()
        leases[0].release()
        waiting.cancel()
        await self.run_ready_tasks()
        leases[1].release()
        self.assertEqual(self.pools.pool("exchange", "t1").slots.busy, 0)

    async def test_leased_connections_extend_base_share_until_enforced(self):
        key = ("exchange", "t1")
        self.pools.set_leased(key, 1)
        leases = [await self.acquire() for _ in range(3)]
        self.pools.set_leased(key, 0)
        self.assertFalse(any(conn.closed for conn in self.opened))
        self.pools.terminate_excess(key, 0)
        self.assertEqual([conn.closed for conn in self.opened], [False, False, True])
        for lease in leases:
            lease.discard()
        await self.run_ready_tasks()
        self.assertEqual(self.pools.pool(*key).open_connections, 0)

    async def test_lower_slot_limit_closes_idle_connections(self):
        leases = [await self.acquire() for _ in range(2)]
        for lease in leases:
            lease.release()
        self.pools.pool("exchange", "t1").resize(1)
        await self.run_ready_tasks()
        self.assertEqual(self.pools.pool("exchange", "t1").open_connections, 1)
        self.assertEqual([conn.closed for conn in self.opened].count(True), 1)


if __name__ == "__main__":
    unittest.main()
