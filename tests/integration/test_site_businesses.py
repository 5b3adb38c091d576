"""Test the entry program with businesses against the platform emulator."""

import asyncio

from rosemaryridge.cli._businesses import HEADER
from rosemaryridge.cli._businesses import add_samples
from rosemaryridge.cli._businesses import rows
from rosemaryridge.cli._config_check import fetch_in_force
from rosemaryridge.cli._config_check import make_report
from rosemaryridge.config_check import Assumptions
from rosemaryridge_testbed.site import Client
from rosemaryridge_testbed.site import SiteBusiness
from rosemaryridge_testbed.site import SiteOptions
from tests.integration.test_site import SiteCase

# The key that `SiteCase` waits with, and one that tests take away.
SHOP = SiteBusiness("shop", ("u1", "shop-key"))
BANK = SiteBusiness("bank", ("bank-key",), rate_per_s=1.0, burst=1.0)


class BusinessCase(SiteCase):
    options = SiteOptions(businesses=(SHOP, BANK))

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # At a first start, no permits are issued before the second list of proxies.
        await self.until(
            lambda: all(entry._proxy.quotas.settled for entry in self.entries)
        )

    async def open(self, key, database="books-own", proxy=0):
        client = await Client.open(self.addresses[proxy], database, key)
        self.addCleanup(client.close)
        return client

    async def refusal(self, key):
        with self.assertRaises(ConnectionRefusedError) as raised:
            await self.open(key)
        return str(raised.exception)

    def take_away(self, key):
        """Publish a configuration in which SHOP does not hold a key."""
        keys = tuple(other for other in SHOP.keys if other != key)
        self.site.publish(2, businesses=(SiteBusiness("shop", keys), BANK))

    async def until_refused(self, key):
        async with asyncio.timeout(5.0):
            while True:
                try:
                    (await Client.open(self.addresses[0], "books-own", key)).close()
                except ConnectionRefusedError:
                    return
                await asyncio.sleep(0.02)

    def executed(self, *words):
        return [e for e in self.group.executed if e.text.split(" ")[0] in words]


class KeyTest(BusinessCase):
    async def test_targets_learn_the_business_and_never_the_key(self):
        for key in ("shop-key", "bank-key"):
            client = await self.open(key)
            self.assertEqual((await client.execute(f"WRITE {key} a")).code, "")
        ran = {e.text: e.business for e in self.executed("WRITE")}
        expected = {"WRITE shop-key a": "shop", "WRITE bank-key a": "bank"}
        self.assertEqual(ran, expected)
        self.assertNotIn("-key", self.log_path.read_text())

    async def test_an_unknown_key_is_refused(self):
        for key in ("nobody", "shop-key2", "x" * 100_000):
            self.assertTrue((await self.refusal(key)).startswith("ERROR UNAUTH"))
        self.assertIn("caller_refused", self.log_path.read_text())

    async def test_no_key_is_accepted_once_no_business_is_left(self):
        # Guards against a version without businesses that let any key write.
        client = await self.open("shop-key")
        self.site.publish(2, businesses=())
        await self.until(lambda: self.entries[0]._proxy.config.current.version == 2)
        with self.assertRaises(asyncio.IncompleteReadError):
            await client.read_line()
        for key in ("shop-key", "nobody"):
            self.assertTrue((await self.refusal(key)).startswith("ERROR UNAUTH"))
        # A version that cannot be read changes nothing, and neither does a restart.
        self.site.store.write("config", "main", {"version": 3, "tenants": [7]})
        await self.until(lambda: "config_unreadable" in self.events())
        self.assertTrue((await self.refusal("nobody")).startswith("ERROR UNAUTH"))
        self.site.publish(4, businesses=())
        self.addresses.clear()
        await self._start_proxy(self.log_path.parent, "vm-late", first_start=False)
        await self.until(lambda: self.entries[-1]._proxy.ready)
        self.assertTrue((await self.refusal("nobody")).startswith("ERROR UNAUTH"))

    async def test_an_open_route_serves_callers_without_a_key(self):
        self.site.publish(2, allow_anonymous=True)
        await self.until(lambda: self.entries[0]._proxy.config.current.version == 2)
        client = await self.open("nobody")
        self.assertEqual((await client.execute("WRITE a b")).code, "")

    async def test_businesses_in_turn_never_share_a_connection(self):
        clients = [await self.open(key) for key in ("shop-key", "bank-key")]
        for turn in range(6):
            client = clients[turn % 2]
            await client.execute(f"WRITE {('shop', 'bank')[turn % 2]} {turn}")
        for executed in self.executed("WRITE"):
            self.assertEqual(executed.business, executed.text.split(" ")[1])


class RevocationTest(BusinessCase):
    async def test_an_idle_session_is_closed_and_another_key_goes_on(self):
        revoked, kept = await self.open("shop-key"), await self.open("u1")
        self.take_away("shop-key")
        async with asyncio.timeout(5.0):
            self.assertEqual(await revoked.reader.read(), b"")
        self.assertEqual((await kept.execute("READ a")).code, "")

    async def test_an_open_transaction_is_rolled_back(self):
        client = await self.open("shop-key", "books-orders")
        for text in ("BEGIN", "WRITE a revoked"):
            self.assertEqual((await client.execute(text)).code, "")
        self.take_away("shop-key")
        await self.until_refused("shop-key")
        self.assertEqual((await client.execute("COMMIT")).code, "UNAUTH")
        log = self.group.targets[self.group.primary].log
        self.assertNotIn("revoked", [commit.data for commit in log])

    async def test_a_statement_that_waits_for_a_connection_does_not_run(self):
        for target in self.group.targets.values():
            target.work_s = 0.6
        pool = self.entries[0]._proxy.directory.groups["books"].primary_target.pool
        pool.resize(1)
        first, second = await self.open("shop-key"), await self.open("shop-key")
        first.send("WRITE a first")
        await self.until(lambda: pool.in_use == 1)
        second.send("WRITE a second")
        await self.until(lambda: pool.waiting == 1)
        self.take_away("shop-key")
        await self.until_refused("shop-key")
        self.assertEqual((await second.read_reply()).code, "UNAUTH")
        self.assertEqual((await first.read_reply()).code, "")
        self.assertNotIn("WRITE a second", [e.text for e in self.executed("WRITE")])

    async def test_a_key_taken_away_is_refused_while_the_store_is_silent_later(self):
        self.take_away("shop-key")
        await self.until_refused("shop-key")
        self.site.store.fault = "silent"
        self.assertIn("UNAUTH", await self.refusal("shop-key"))
        self.assertEqual((await (await self.open("u1")).execute("READ a")).code, "")


class StrictRevocationTest(BusinessCase):
    options = SiteOptions(businesses=(SHOP, BANK), strict_revocation=True)

    async def test_callers_are_refused_once_the_store_has_been_silent_too_long(self):
        client = await self.open("shop-key")
        self.assertEqual((await client.execute("READ a")).code, "")
        mirror = self.entries[0]._mirrors[0]
        mirror._current_at -= 6.0
        self.assertEqual((await client.execute("READ a")).code, "BUSY")
        self.site.publish(2)
        await self.until(lambda: mirror.age_s() < 5.0)
        self.assertEqual((await client.execute("READ a")).code, "")


class ConfigCheckTest(BusinessCase):
    async def test_the_configuration_in_force_is_read_from_the_store(self):
        in_force = await fetch_in_force(self.site.store_address)
        spec = {**in_force, "version": 2, "tenants": in_force["tenants"][:1]}
        report = make_report(spec, in_force, Assumptions(), ())
        (change,) = report.changes
        self.assertIn("business bank: removed", change)


class QuotaTest(BusinessCase):
    proxies = 3

    async def test_a_business_is_limited_over_all_proxies_and_others_are_not(self):
        clients = [await self.open("bank-key", proxy=n) for n in range(3)]
        shop = await self.open("shop-key")
        codes = []
        for _ in range(30):
            codes += [(await client.execute("READ a")).code for client in clients]
            self.assertEqual((await shop.execute("READ a")).code, "")
        self.assertEqual(set(codes), {"", "BUSY"})
        ran = [e for e in self.executed("READ") if e.business == "bank"]
        # (1 * 5 + 1) * 1.1 + 20 in a window.
        self.assertLessEqual(len(ran), 27)

    async def test_operators_see_who_is_at_its_limit(self):
        client, shop = await self.open("bank-key"), await self.open("shop-key")
        while not (await client.execute("READ a")).code:
            await shop.execute("READ a")
        totals = {}
        for entry in self.entries:
            add_samples(totals, entry._proxy.metrics.render().decode())
        found = {row[0]: dict(zip(HEADER, row, strict=True)) for row in rows(totals)}
        self.assertEqual(rows(totals)[0][0], "bank")
        self.assertEqual(found["bank"]["refused"], 1)
        self.assertTrue(found["bank"]["at_limit"])
        self.assertFalse(found["shop"]["at_limit"])

    async def test_a_transaction_over_the_quota_takes_no_connection(self):
        client = await self.open("bank-key", "books-orders")
        code = ""
        while not code:
            code = (await client.execute("WRITE a b")).code
        begun = len(self.executed("BEGIN"))
        await client.execute("BEGIN")
        self.assertEqual((await client.execute("WRITE a b")).code, "BUSY")
        self.assertEqual(len(self.executed("BEGIN")), begun)
