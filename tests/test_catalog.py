import json
import random
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge import codes
from rosemaryridge.config import ConfigService
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import ServicesSettings
from rosemaryridge.config import TargetConfig
from rosemaryridge.config import encode_service
from rosemaryridge.config._catalog import AdoptionResult
from rosemaryridge.config._catalog import Catalog
from rosemaryridge.config._messages import RevisionValue
from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry import REFUSALS
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import WaitingStore
from rosemaryridge_testbed.virtual import advance

KEYS = ("name", "endpoint", "pattern", "user", "verifier", "priority", "max_age_s")
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(("(", "a{9}", "10.0.0.1:1", ":", "critical", "[::1]:1")),
)
INVALID = b'{"name": "broken"}'


def nested_in(inner):
    return st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(KEYS), inner, max_size=4),
    )


def encode(name, database="db"):
    target = TargetConfig("a", Endpoint("10.0.0.1", 5432), "suva")
    return encode_service(ServiceConfig(name, 0, database, (target,)))


def make_revision(number, revision, is_valid=True):
    name = f"service{number}"
    return RevisionValue(name, revision, encode(name) if is_valid else INVALID)


class CatalogTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.dictionaries(
            st.integers(1, 40), st.tuples(st.integers(0, 2), st.booleans())
        ),
        st.randoms(use_true_random=False),
    )
    def test_any_order_converges_to_the_newest_without_reverting(self, published, rng):
        offers = [
            make_revision(n, revision, ok) for revision, (n, ok) in published.items()
        ]
        catalogs = []
        for _ in range(2):
            catalog = Catalog()
            arrivals = offers + rng.choices(offers, k=len(offers)) if offers else []
            rng.shuffle(arrivals)
            highest = {}
            for offered in arrivals:
                catalog.offer(offered)
                for name, service in catalog.current().items():
                    self.assertGreaterEqual(service.revision, highest.get(name, 0))
                    highest[name] = service.revision
            catalogs.append(catalog)
        expected = {}
        for revision, (number, accepted) in published.items():
            name = f"service{number}"
            if accepted:
                expected[name] = max(revision, expected.get(name, 0))
        for catalog in catalogs:
            in_force = {n: s.revision for n, s in catalog.current().items()}
            self.assertEqual(in_force, expected)
        self.assertEqual(catalogs[0].digests(), catalogs[1].digests())

    def test_stores_rejected_revisions_for_peers(self):
        catalog = Catalog()
        self.assertIs(catalog.offer(make_revision(1, 3)), AdoptionResult.ADOPTED)
        self.assertIs(
            catalog.offer(make_revision(1, 5, is_valid=False)), AdoptionResult.REJECTED
        )
        self.assertIs(
            catalog.offer(make_revision(1, 5, is_valid=False)), AdoptionResult.STALE
        )
        self.assertEqual(catalog.current()["service1"].revision, 3)
        self.assertEqual([rev.revision for rev in catalog.values("service1")], [3, 5])
        self.assertEqual(catalog.rejection("service1").revision, 5)
        catalog.offer(make_revision(1, 6))
        self.assertIsNone(catalog.rejection("service1"))

    @settings(max_examples=300, deadline=None)
    @example({"rules": [{"name": "a", "pattern": "a{99999999999}"}]})
    @example({"default_deadline_s": 10**400})
    @example({"targets": [{"endpoint": "10.0.0.1:" + "9" * 5000}]})
    @given(
        st.fixed_dictionaries(
            {},
            optional={
                name: st.recursive(SCALARS, nested_in, max_leaves=8)
                for name in ("targets", "rules", "accounts", "default_deadline_s")
            },
        )
    )
    def test_offering_any_document_does_not_raise(self, changes):
        document = {**json.loads(encode("service1")), **changes}
        offered = RevisionValue("service1", 1, json.dumps(document).encode())
        self.assertIn(
            Catalog().offer(offered), (AdoptionResult.ADOPTED, AdoptionResult.REJECTED)
        )

    def test_rejects_deep_nesting_without_raising(self):
        deep = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        result = Catalog().offer(RevisionValue("service1", 1, deep))
        self.assertIs(result, AdoptionResult.REJECTED)

    def test_rejects_a_value_of_another_service(self):
        other = RevisionValue("service1", 3, encode("service2"))
        self.assertIs(Catalog().offer(other), AdoptionResult.REJECTED)


class ConfigServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.network = VirtualNetwork(self.timer, random.Random(1), 0.0015)
        self.store = WaitingStore(self.timer)
        self.proxies = {}
        self.metrics = {}

    async def start(self, vm, incarnation=1, watches=False):
        bus = VirtualBus(self.network, vm, "suva", incarnation)
        others = [(name, proxy[0]) for name, proxy in self.proxies.items()]
        self.metrics[vm] = Metrics()
        service = ConfigService(
            ServicesSettings(),
            self.timer,
            random.Random(vm),
            self.store,
            bus,
            self.metrics[vm],
            lambda: watches,
        )
        self.addAsyncCleanup(service.stop)
        await service.start()
        for name, other in others[-4:]:
            bus.set_address(name, other.endpoint)
        bus.set_neighbours([name for name, _ in others[-4:]])
        self.proxies[vm] = (bus, service)
        return service

    async def start_fleet(self, size, watchers=2):
        for number in range(size):
            await self.start(f"vm{number:02}", watches=number < watchers)
        await self.pass_time(5.0)
        self.assertTrue(all(service.complete for _, service in self.proxies.values()))

    async def pass_time(self, duration_s):
        await advance(self.timer, duration_s, max(0.01, duration_s / 100))

    def revisions(self, name):
        services = (service.current().get(name) for _, service in self.proxies.values())
        return {service.revision if service else 0 for service in services}

    async def publish(self, name, expected, content=None):
        content = content or encode(name)
        return await self.store.put("service", name, content, expected)

    async def test_all_proxies_adopt_a_published_revision(self):
        await self.start_fleet(12)
        revision = await self.publish("vialbook", 0)
        await self.pass_time(5.0)
        self.assertEqual(self.revisions("vialbook"), {revision})

    async def test_an_outage_right_after_publishing_does_not_stop_adoption(self):
        await self.start_fleet(12, watchers=1)
        revision = await self.publish("vialbook", 0)
        await self.pass_time(0.01)
        self.store.set_down(True)
        await self.pass_time(5.0)
        self.assertEqual(self.revisions("vialbook"), {revision})

    async def test_a_proxy_restarted_in_an_outage_loads_services_from_peers(self):
        await self.start_fleet(6)
        revision = await self.publish("vialbook", 0)
        await self.pass_time(5.0)
        self.store.set_down(True)
        self.network.crash("vm03")
        _, stopped = self.proxies.pop("vm03")
        await stopped.stop()
        service = await self.start("vm03", incarnation=2)
        await self.pass_time(5.0)
        self.assertTrue(service.complete)
        self.assertEqual(service.current()["vialbook"].revision, revision)

    async def test_a_partitioned_proxy_catches_up_after_healing(self):
        await self.start_fleet(6, watchers=1)
        for vm in set(self.proxies) - {"vm05"}:
            self.network.cut("vm05", vm)
            self.network.cut(vm, "vm05")
        revision = await self.publish("vialbook", 0)
        await self.pass_time(10.0)
        self.assertEqual(self.revisions("vialbook"), {0, revision})
        self.network.heal()
        await self.pass_time(10.0)
        self.assertEqual(self.revisions("vialbook"), {revision})

    async def test_without_watchers_periodic_reads_bound_the_delay(self):
        await self.start_fleet(4, watchers=0)
        revision = await self.publish("vialbook", 0)
        await self.pass_time(ServicesSettings().backstop_s + 5.0)
        self.assertEqual(self.revisions("vialbook"), {revision})

    async def test_a_rejected_revision_leaves_the_previous_one_in_force(self):
        await self.start_fleet(4)
        first = await self.publish("vialbook", 0)
        await self.pass_time(5.0)
        await self.publish("vialbook", first, INVALID)
        await self.pass_time(5.0)
        self.assertEqual(self.revisions("vialbook"), {first})
        for vm, (_, service) in self.proxies.items():
            rejected = codes.config.REVISION_REJECTED.name
            counted = self.metrics[vm].value(REFUSALS, rejected, "vialbook")
            self.assertGreaterEqual(counted, 1)
            self.assertTrue(service.status()["services"]["vialbook"]["rejected"])

    async def test_many_changes_cause_few_calls(self):
        await self.start_fleet(8, watchers=2)
        before = sum(self.store.watches.values())
        revision = 0
        for _ in range(300):
            revision = await self.publish("vialbook", revision)
            await self.pass_time(0.02)
        await self.pass_time(5.0)
        self.assertEqual(self.revisions("vialbook"), {revision})
        calls = sum(self.store.watches.values()) - before
        self.assertLessEqual(calls, 2 * (6.0 / 0.35 + 2))

    async def test_the_end_of_an_outage_causes_no_burst_of_calls(self):
        await self.start_fleet(20, watchers=3)
        self.store.set_down(True)
        await self.pass_time(90.0)
        self.store.set_down(False)
        ended = int(self.timer.now())
        revision = await self.publish("vialbook", 0)
        await self.pass_time(15.0)
        self.assertEqual(self.revisions("vialbook"), {revision})
        busiest = max(self.store.watches[ended + n] for n in range(15))
        self.assertLessEqual(busiest, 6)


if __name__ == "__main__":
    unittest.main()
