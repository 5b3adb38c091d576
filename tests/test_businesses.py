"""Test how keys name businesses, and how connections belong to them."""

import asyncio
import random
import unittest

from rosemaryridge.core import FleetConfig
from rosemaryridge.core import Proxy
from rosemaryridge.core import Route
from rosemaryridge.core import Shares
from rosemaryridge.core import StatementError
from rosemaryridge.core import TargetInfo
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._session import Session
from rosemaryridge.core.businesses import ANONYMOUS
from rosemaryridge.core.businesses import Business
from rosemaryridge.core.businesses import KeyRing
from rosemaryridge.core.businesses import fingerprint
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import documents
from tests.test_core_decisions import StubLink
from tests.test_core_decisions import StubLog
from tests.test_platform_documents import CONFIG

SHOP, BANK = Business("shop"), Business("bank")


class KeyRingTest(unittest.TestCase):
    def test_a_key_names_its_business(self):
        ring = KeyRing([(SHOP, ["k1", "k2"]), (BANK, ["k3"])])
        self.assertIs(ring.find(b"k2"), SHOP)
        self.assertIs(ring.find(b"k3"), BANK)
        self.assertEqual(ring.problems, [])

    def test_malformed_and_long_keys_are_unknown(self):
        ring = KeyRing([(SHOP, ["k1", "k" * 5000])])
        for key in (b"", b"k1 ", b"\xff\xfe", b"k" * 5000, b"k" * 1_000_000):
            self.assertIsNone(ring.find(key))

    def test_a_key_of_two_businesses_belongs_to_neither(self):
        ring = KeyRing([(SHOP, ["k1"]), (BANK, ["k1", "k2"])])
        self.assertIsNone(ring.find(b"k1"))
        self.assertIs(ring.find(b"k2"), BANK)
        self.assertIn(fingerprint(b"k1"), ring.problems[0])

    def test_a_problem_names_no_key(self):
        secret = "a-secret-key"
        ring = KeyRing([(SHOP, [secret]), (BANK, [secret])])
        self.assertNotIn(secret, str(ring.problems))

    def test_a_name_that_cannot_be_sent_to_targets_is_not_served(self):
        for name in ("", "two words", "line\r\nbreak"):
            ring = KeyRing([(Business(name), ["k1"])])
            self.assertIsNone(ring.find(b"k1"))
            self.assertTrue(ring.problems)

    def test_a_business_without_keys_has_no_callers(self):
        ring = KeyRing([(SHOP, [])])
        self.assertTrue(ring)
        self.assertIsNone(ring.find(b"k1"))


class DocumentTest(unittest.TestCase):
    def test_businesses_are_decoded(self):
        tenants = [{"name": "shop", "api_keys": ["k1"], "rate_per_s": 3, "burst": 4}]
        config = documents.decode_config({**CONFIG, "tenants": tenants})
        self.assertEqual(config.key_ring.find(b"k1"), Business("shop", 3.0, 4.0))

    def test_a_configuration_without_businesses_has_no_keys(self):
        self.assertFalse(documents.decode_config(CONFIG).key_ring)

    def test_an_empty_list_of_businesses_is_told_from_a_missing_one(self):
        for value, listed in (([], True), (None, False)):
            config = documents.decode_config({**CONFIG, "tenants": value})
            self.assertIs(config.has_businesses, listed)
        self.assertFalse(documents.decode_config(CONFIG).has_businesses)

    def test_malformed_businesses_are_refused(self):
        for tenant in (7, {}, {"name": "shop"}, {"name": 3, "api_keys": []}):
            with self.assertRaises(documents.UnreadableDocument):
                documents.decode_config({**CONFIG, "tenants": [tenant]})


class AuthorizationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = StubLog()

    async def proxy(self, ring, open_to_all=False):
        async def connect(_info, _timeout_s, _business):
            raise asyncio.CancelledError

        proxy = Proxy(
            Surroundings("a", {}), connect, random.Random(1), self.log, print, Shares()
        )
        proxy.adopt_config(self.config(1, ring, open_to_all))
        return proxy

    def config(self, version, ring, open_to_all=False, has_businesses=False):
        route = Route(
            b"db",
            "books",
            Consistency.PRIMARY,
            1.0,
            0.5,
            1,
            open_to_all=open_to_all,
        )
        return FleetConfig(
            version,
            {b"db": route},
            {"books": 9},
            3.0,
            ring,
            has_businesses=has_businesses,
        )

    def refusal(self, proxy, key):
        with self.assertRaises(StatementError) as raised:
            proxy.find_business(b"db", key)
        return raised.exception.failure.value

    async def test_without_businesses_no_key_is_needed(self):
        proxy = await self.proxy(KeyRing())
        self.assertIs(proxy.find_business(b"db", b"anything"), ANONYMOUS)

    async def test_an_unknown_key_is_refused_and_never_logged(self):
        proxy = await self.proxy(KeyRing([(SHOP, ["k1"])]))
        self.assertEqual(self.refusal(proxy, b"a-secret-key"), "not authorized")
        self.assertNotIn("a-secret-key", str(self.log.events))

    async def test_an_open_route_serves_callers_without_a_key(self):
        proxy = await self.proxy(KeyRing([(SHOP, ["k1"])]), open_to_all=True)
        self.assertIs(proxy.find_business(b"db", b"unknown"), ANONYMOUS)
        self.assertIs(proxy.find_business(b"db", b"k1"), SHOP)

    async def test_a_revoked_key_and_a_removed_business_are_refused(self):
        proxy = await self.proxy(KeyRing([(SHOP, ["k1"]), (BANK, ["k2"])]))
        proxy.adopt_config(self.config(2, KeyRing([(BANK, ["k3"])])))
        self.assertEqual(self.refusal(proxy, b"k1"), "not authorized")
        self.assertEqual(self.refusal(proxy, b"k2"), "not authorized")

    async def test_keys_stay_required_once_no_business_is_left(self):
        # Guards against a version without businesses that let any key write.
        for ring, listed in ((KeyRing(), True), (KeyRing(), False)):
            proxy = await self.proxy(KeyRing([(SHOP, ["k1"])]))
            session = Session(b"db", b"k1")
            proxy.authorize(session)
            proxy.adopt_config(self.config(2, ring, has_businesses=listed))
            for key in (b"k1", b"never-held"):
                self.assertEqual(self.refusal(proxy, key), "not authorized")
            with self.assertRaises(StatementError):
                proxy.authorize(session)

    async def test_a_process_that_starts_without_businesses_requires_keys(self):
        # Guards against a restart after the last business was taken away.
        listed = await self.proxy(KeyRing())
        listed.adopt_config(self.config(2, KeyRing(), has_businesses=True))
        told = await self.proxy(KeyRing())
        told.requires_keys = True
        for proxy in (listed, told):
            self.assertEqual(self.refusal(proxy, b"never-held"), "not authorized")
            proxy.adopt_config(self.config(3, KeyRing(), open_to_all=True))
            self.assertIs(proxy.find_business(b"db", b"never-held"), ANONYMOUS)

    async def test_an_older_configuration_does_not_bring_a_key_back(self):
        # A store that comes back from a copy may offer one.
        proxy = await self.proxy(KeyRing([(SHOP, ["k1"])]))
        proxy.adopt_config(self.config(3, KeyRing([(SHOP, ["k2"])])))
        proxy.adopt_config(self.config(2, KeyRing([(SHOP, ["k1"])])))
        self.assertEqual(self.refusal(proxy, b"k1"), "not authorized")

    async def test_strict_revocation_refuses_once_the_configuration_is_too_old(self):
        proxy = await self.proxy(KeyRing([(SHOP, ["k1"])]))
        proxy.config_age_s = lambda: 5.1
        self.assertIs(proxy.find_business(b"db", b"k1"), SHOP)
        proxy.max_config_age_s = 5.0
        self.assertEqual(self.refusal(proxy, b"k1"), "busy")


class OwnedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.opened = []

        async def connect(_info, _timeout_s, business):
            link = StubLink(business)
            self.opened.append(link)
            return link

        info = TargetInfo("a", "books", Endpoint("10.0.0.1", 1), "z", 3, 1)
        self.pool = Pool(
            info, 2, connect, lambda: None, lambda exc: None, random.Random(1)
        )
        self.loop = asyncio.get_running_loop()

    async def acquire(self, business, priority=1, within_s=0.5):
        deadline = self.loop.time() + within_s
        return await self.pool.acquire(priority, deadline, business=business)

    async def test_a_connection_never_serves_another_business(self):
        rng = random.Random(2)
        for _ in range(200):
            business = rng.choice(("shop", "bank", "farm", ""))
            link = await self.acquire(business)
            self.assertEqual(link.business, business)
            self.assertLessEqual(self.pool.size, 2)
            self.pool.release(link)

    async def test_the_longest_idle_connection_of_others_makes_room(self):
        shop, bank = await self.acquire("shop"), await self.acquire("bank")
        self.pool.release(shop)
        self.pool.release(bank)
        farm = await self.acquire("farm")
        self.assertEqual(
            (farm.business, shop.closed, bank.closed), ("farm", True, False)
        )

    async def test_a_waiting_business_is_not_starved_by_another(self):
        # Two connections that "shop" uses without a pause, and a "bank" that waits.
        links = [await self.acquire("shop") for _ in range(2)]
        waiting = asyncio.ensure_future(self.acquire("bank", priority=0))
        later = asyncio.ensure_future(self.acquire("shop", priority=1))
        await asyncio.sleep(0)
        self.pool.release(links[0])
        self.assertEqual((await waiting).business, "bank")
        self.pool.release(links[1])
        self.assertEqual((await later).business, "shop")

    async def test_a_released_connection_stays_with_an_urgent_statement(self):
        shop, bank = await self.acquire("shop"), await self.acquire("bank")
        less_urgent = asyncio.ensure_future(self.acquire("farm", priority=2))
        urgent = asyncio.ensure_future(self.acquire("shop", priority=0))
        await asyncio.sleep(0)
        self.pool.release(shop)
        self.assertIs(await urgent, shop)
        self.pool.release(bank)
        self.assertEqual((await less_urgent).business, "farm")

    async def test_a_probe_uses_any_connection(self):
        link = await self.acquire("shop")
        self.pool.release(link)
        self.assertIs(await self.acquire(None), link)
