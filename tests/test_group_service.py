import asyncio
import random
import unittest

from rosemaryridge.codes import group as codes
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import Refusal
from rosemaryridge.exceptions import TargetUnavailable
from rosemaryridge.group import GroupService
from rosemaryridge.group._hint import KIND
from rosemaryridge.group._hint import decode
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.experiments import Latency
from rosemaryridge_testbed.experiments import ModelTarget
from rosemaryridge_testbed.experiments import Network
from rosemaryridge_testbed.experiments import Refused
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import VirtualStore

NAMES = ("a", "b", "c")
SERVICE = ServiceConfig(
    "shop",
    1,
    "shop",
    tuple(
        TargetConfig(name, Endpoint("127.0.0.1", port), name)
        for port, name in enumerate(NAMES, 1)
    ),
)


class ModelPort:
    """Run the verbs of the target port on model targets in this process."""

    def __init__(self, network, targets):
        self._network = network
        self._targets = targets
        self._names = {str(target.endpoint): target.name for target in SERVICE.targets}

    async def status(self, target, timeout_s):
        return await self._run(target, timeout_s, ModelTarget.status)

    async def fence(self, target, term, candidate, timeout_s):
        return await self._run(
            target, timeout_s, lambda model: model.fence(term, candidate)
        )

    async def promote(self, target, term, candidate, timeout_s):
        return await self._run(
            target, timeout_s, lambda model: model.promote(term, candidate)
        )

    async def follow(self, target, term, primary, timeout_s):
        name = self._names[str(primary)]
        return await self._run(
            target, timeout_s, lambda model: model.follow(term, name)
        )

    async def _run(self, target, timeout_s, verb):
        if target.name in self._network.dead:
            await asyncio.sleep(timeout_s)
            raise TargetUnavailable(target.name)
        await asyncio.sleep(0.001)
        try:
            return verb(self._targets[target.name])
        except Refused as exc:
            raise FenceRefused(self._targets[target.name].fenced_term) from exc


class GroupServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = LoopTimer()
        rng = random.Random(1)
        self.network = Network(self.timer, rng, Latency())
        self.targets = {}
        for name in NAMES:
            self.targets[name] = ModelTarget(name, self.network, self.targets)
            self.targets[name].upstream = "a"
        self.targets["a"].role = Role.PRIMARY
        self.store = VirtualStore()
        peer_network = VirtualNetwork(self.timer, rng, 0.001)
        self.services = [
            self.new_service(peer_network, vm, rng) for vm in ("p0", "p1", "outside")
        ]

    def new_service(self, peer_network, vm, rng):
        bus = VirtualBus(peer_network, vm, vm)
        for other in getattr(self, "services", ()):
            other.bus.contact(bus.endpoint)
        service = GroupService(
            GroupSettings(),
            self.timer,
            rng,
            ModelPort(self.network, self.targets),
            bus,
            self.store,
            Metrics(),
            vm=vm,
            watchers=lambda _service: ("p0", "p1"),
        )
        service.bus = bus
        return service

    async def start(self):
        for service in self.services:
            for other in self.services:
                service.bus.contact(other.bus.endpoint)
            await service.start()
            service.adopt(SERVICE)
            self.addAsyncCleanup(service.stop)
        await self.until(
            lambda: all(service.view("shop").primary for service in self.services)
        )

    async def until(self, condition):
        async with asyncio.timeout(30.0):
            while not condition():
                await asyncio.sleep(0.01)

    def deadline(self, delay_s=30.0):
        return self.timer.now() + delay_s

    async def test_acknowledges_many_writes_in_few_polls(self):
        await self.start()
        self.targets["a"].commit("w")
        calls = [
            self.services[2].acknowledge("shop", "a", 1, self.deadline())
            for _ in range(50)
        ]
        positions = await asyncio.gather(*calls)
        self.assertEqual(set(positions), {Position(1, 1)})

    async def test_refuses_with_ack_timeout_at_the_deadline(self):
        await self.start()
        self.network.dead |= {"b", "c"}
        with self.assertRaises(Refusal) as caught:
            await self.services[0].acknowledge("shop", "a", 1, self.deadline(0.05))
        self.assertEqual(caught.exception.code, codes.ACK_TIMEOUT)

    async def test_replaces_a_dead_primary_and_informs_every_proxy(self):
        await self.start()
        self.targets["a"].commit("w")
        await self.services[0].acknowledge("shop", "a", 1, self.deadline())
        self.network.dead.add("a")
        views = [service.view("shop") for service in self.services]
        await self.until(lambda: all(view.primary in ("b", "c") for view in views))
        primary = self.targets[views[0].primary]
        self.assertEqual(primary.log[0].value, "w")
        with self.assertRaises(Refusal) as caught:
            await self.services[2].acknowledge("shop", "a", 1, self.deadline())
        self.assertEqual(caught.exception.code, codes.PRIMARY_REPLACED)
        primary.commit("x")
        term = views[2].term
        await self.services[2].acknowledge("shop", primary.name, term, self.deadline())

    async def test_fails_over_with_the_store_down_and_writes_the_hint_later(self):
        await self.start()
        self.store.down = True
        self.network.dead.add("a")
        view = self.services[0].view("shop")
        await self.until(lambda: view.primary in ("b", "c"))
        self.store.down = False
        async with asyncio.timeout(30.0):
            while (await self.store.get(KIND, "shop")).version == 0:
                await asyncio.sleep(0.1)
        stored = await self.store.get(KIND, "shop")
        self.assertEqual(decode(stored.value).primary, view.primary)

    async def test_proxies_that_do_not_watch_fetch_the_view(self):
        await self.start()
        view = self.services[2].view("shop")
        self.targets["a"].commit("w")
        await self.until(
            lambda: self.services[2].view("shop").statuses["a"].status.received.lsn == 1
        )
        await self.until(
            lambda: not all(entry.direct for entry in view.statuses.values())
        )

    async def test_read_at_the_primary_is_confirmed_by_a_majority(self):
        await self.start()
        self.targets["a"].commit("w")
        await self.services[1].confirm_read(
            "shop", "a", 1, Position(1, 1), self.deadline()
        )


if __name__ == "__main__":
    unittest.main()
