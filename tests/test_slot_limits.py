import random
import unittest

from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import PoolSettings
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.pool import Pools
from rosemaryridge.pool import SlotService
from rosemaryridge.pool._allocation import allocate
from rosemaryridge.pool._budget import SlotBudget
from rosemaryridge.pool._queue import Entry
from rosemaryridge.pool._slot_service import BusinessSlots
from rosemaryridge.pool._slot_service import SlotDemand
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._isolation import victim_ratio

SHARES = {"claims": 0.5, "listings": 0.5}
MAX_VICTIM_P99_RATIO = 1.2


class AllocateTest(unittest.TestCase):
    def test_single_business_is_not_limited(self):
        self.assertEqual(allocate(3, SHARES, {("vm1", "listings"): 30.0}), {})

    def test_only_business_above_its_share_is_limited(self):
        demands = {
            ("vm1", "claims"): 0.3,
            ("vm1", "listings"): 9.0,
            ("vm2", "listings"): 3.0,
        }
        rates = allocate(3, SHARES, demands)
        self.assertEqual(set(rates), {("vm1", "listings"), ("vm2", "listings")})
        self.assertAlmostEqual(rates["vm1", "listings"], 3 * rates["vm2", "listings"])
        self.assertLess(sum(rates.values()), 1.5)


class SlotBudgetTest(unittest.TestCase):
    def test_used_slot_time_matches_the_rate(self):
        budget = SlotBudget()
        budget.set_rate(0.25, 0.0)
        used_s = 0.0
        for step in range(1000):
            if budget.has_tokens(step * 0.01):
                budget.spend(0.005)
                used_s += 0.005
        self.assertLess(abs(used_s - 2.5), 0.1)

    def test_no_limit_without_a_rate(self):
        budget = SlotBudget()
        budget.spend(100.0)
        self.assertTrue(budget.has_tokens(0.0))
        budget.set_rate(0.1, 0.0)
        budget.set_rate(None, 1.0)
        self.assertTrue(budget.has_tokens(1.0))


class StubBus:
    def on_ask(self, kind, responder):
        self.responder = responder


class SlotServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_limits_the_flooding_business_on_each_proxy(self):
        timer = ManualTimer()
        target = TargetConfig("t1", Endpoint("127.0.0.1", 1), "suva")
        businesses = tuple(BusinessConfig(n, share) for n, share in SHARES.items())
        service = ServiceConfig("exchange", 1, "x", (target,), businesses=businesses)
        pools = Pools(
            PoolSettings(fleet_size=1), timer, random.Random(1), None, Metrics()
        )
        pools.adopt(service)
        identity = PeerIdentity("vm1", 1, "suva", "fiji", Endpoint("127.0.0.1", 1))
        bus = StubBus()
        limits = SlotService(
            timer, random.Random(1), identity, bus, lambda _: ("vm1",), pools
        )
        flood = SlotDemand("exchange", (BusinessSlots("t1", "listings", 20.0),))
        self.assertEqual(bus.responder("vm2", flood).limits, ())
        slots = pools.pool("exchange", "t1").slots
        for number in range(400):
            slots.request_slot(
                Entry(number, "listings", Priority.NORMAL, 100.0), timer.now()
            )
        slots.request_slot(
            Entry("claim", "claims", Priority.NORMAL, 100.0), timer.now()
        )
        await limits._report(service)
        self.assertTrue(slots.has_limited_business)
        self.assertEqual(
            [limit.business for limit in bus.responder("vm2", flood).limits],
            ["listings"],
        )


class IsolationTest(unittest.TestCase):
    def test_flood_does_not_raise_p99_of_another_business(self):
        for load in (0.1, 0.2, 0.3):
            row = victim_ratio(3, load)
            self.assertLessEqual(row["ratio"], MAX_VICTIM_P99_RATIO, row)
            self.assertGreaterEqual(row["done flooded"], 0.99, row)


if __name__ == "__main__":
    unittest.main()
