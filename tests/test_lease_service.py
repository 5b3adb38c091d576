import asyncio
import random
import unittest

from rosemaryridge.config import PoolSettings
from rosemaryridge.config import Priority
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Endpoint
from rosemaryridge.pool import LeaseService
from rosemaryridge.pool import Pools
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import VirtualStore

TOTAL = 12
TARGET = TargetConfig("t1", Endpoint("127.0.0.1", 1), "suva", max_connections=TOTAL + 3)
SERVICE = ServiceConfig("exchange", 1, "exchange", (TARGET,))
KEY = ("exchange", "t1")
CFG = PoolSettings(fleet_size=3, base_ratio=0.5, open_gap_s=0.0)
STEP_S = 0.1


class Connection:
    def __init__(self, target):
        self.target = target
        target.open += 1
        self.closed = False

    def is_closed(self):
        return self.closed

    async def close(self):
        self.terminate()

    def terminate(self):
        self.target.open -= not self.closed
        self.closed = True


class Target:
    open = 0

    async def connect(self, target, service):
        return Connection(self)


class LeaseServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.timer = ManualTimer()
        self.network = VirtualNetwork(self.timer, random.Random(1), 0.0015)
        self.store = VirtualStore()
        self.target = Target()
        self.pools, self.services, self.loads = {}, {}, {}
        self.names = ["vm0", "vm1", "vm2"]
        buses = [VirtualBus(self.network, vm, "suva") for vm in self.names]
        for bus in buses:
            for other in buses:
                bus.set_address(other.vm, other.endpoint)
            await self.start(bus)
        for bus in buses:
            bus.set_neighbours(self.names)
        await self.run_for(1.0)

    async def start(self, bus):
        rng = random.Random(bus.vm)
        pools = Pools(CFG, self.timer, rng, self.target.connect, Metrics())
        pools.adopt(SERVICE)
        service = LeaseService(
            CFG,
            self.timer,
            rng,
            bus.identity,
            bus,
            lambda: [vm for vm in self.names[:2] if vm in self.services],
            self.store,
            pools,
        )
        self.pools[bus.vm], self.services[bus.vm] = pools, service
        await service.start()

    async def run_for(self, time_s):
        for _ in range(round(time_s / STEP_S)):
            self.timer.advance(STEP_S)
            for _ in range(12):
                await asyncio.sleep(0)
            self.assertLessEqual(self.target.open, TOTAL)

    def load(self, vm, wanted):
        for task in self.loads.pop(vm, ()):
            task.cancel()
        self.loads[vm] = [asyncio.ensure_future(self.work(vm)) for _ in range(wanted)]

    async def work(self, vm):
        while True:
            deadline = self.timer.now() + 2.0
            try:
                lease = await self.pools[vm].acquire(
                    *KEY, "claims", Priority.NORMAL, deadline
                )
            except Refusal:
                await self.pause()
                continue
            try:
                await self.pause()
            finally:
                lease.release()

    async def pause(self):
        done = asyncio.get_running_loop().create_future()
        self.timer.after(0.1, lambda: done.done() or done.set_result(None))
        await done

    async def asyncTearDown(self):
        for vm in list(self.loads):
            self.load(vm, 0)
        for service in self.services.values():
            await service.stop()

    def limit(self, vm):
        return self.pools[vm].pool(*KEY).slots.limit

    async def crash(self, vm):
        self.network.crash(vm)
        await self.services.pop(vm).stop()
        self.load(vm, 0)

    async def test_unused_connections_are_leased_and_shared_again(self):
        self.load("vm2", 20)
        await self.run_for(6.0)
        self.assertEqual(self.limit("vm2"), 2 + 6)
        self.load("vm0", 20)
        await self.run_for(30.0)
        self.assertEqual(self.limit("vm0") + self.limit("vm2"), 2 + 2 + 6)
        self.assertGreaterEqual(self.limit("vm0"), 4)

    async def test_lease_of_a_crashed_holder_expires(self):
        self.load("vm2", 20)
        await self.run_for(6.0)
        await self.crash("vm2")
        self.target.open = 0
        self.load("vm1", 20)
        await self.run_for(30.0)
        self.assertEqual(self.limit("vm1"), 2 + 6)

    async def test_crashed_allocator_is_replaced(self):
        await self.crash("vm0")
        self.load("vm2", 20)
        await self.run_for(60.0)
        self.assertTrue(self.services["vm1"].allocator.is_leader(self.timer.now()))
        self.assertEqual(self.limit("vm2"), 2 + 6)

    async def test_only_base_share_remains_during_a_store_outage(self):
        self.load("vm2", 20)
        await self.run_for(6.0)
        self.store.down = True
        await self.run_for(40.0)
        self.assertEqual(self.limit("vm2"), 2)
        self.store.down = False
        await self.run_for(60.0)
        self.assertEqual(self.limit("vm2"), 2 + 6)

    async def test_isolated_holder_returns_to_base_share_before_others_lease(self):
        self.load("vm2", 20)
        await self.run_for(6.0)
        self.network.cut("vm2", "vm0")
        self.network.cut("vm2", "vm1")
        self.load("vm1", 20)
        await self.run_for(40.0)
        self.assertEqual(self.limit("vm2"), 2)
        self.assertEqual(self.limit("vm1"), 2 + 6)


if __name__ == "__main__":
    unittest.main()
