"""Test the entry program where targets are reached through owners."""

import asyncio
import collections
import itertools
import os
import unittest
from unittest import mock

from rosemaryridge.cli._owners import add_samples
from rosemaryridge.cli._owners import rows
from rosemaryridge.core.owners import OwnersMode
from rosemaryridge.platform.settings import OWNERS_VARIABLE
from rosemaryridge_testbed.fleet import eventually
from tests.integration import test_site


class _OwnersCase(test_site.SiteCase):
    proxies = 6

    async def asyncSetUp(self):
        variables = {OWNERS_VARIABLE: OwnersMode.OWNED.value}
        patch = mock.patch.dict(os.environ, variables)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        await self.until(
            lambda: all(
                entry._owners is not None and len(entry._owners._peers) == self.proxies
                for entry in self.entries
            )
        )

    def metric(self, name, **labels):
        return sum(entry._proxy.metrics.value(name, **labels) for entry in self.entries)

    def owner_of(self, number):
        groups = self.entries[0]._proxy.directory.groups
        info = groups["books"].targets[f"books-{number}"].info
        vm = self.entries[0]._owners._rank(info.id, info.failure_domain)[0]
        return [entry._cfg.vm for entry in self.entries].index(vm)


class OwnedDataPathTest(_OwnersCase, test_site.DataPathTest):
    """Sessions, transactions and prepared statements work through owners."""

    async def test_statements_pass_through_owners(self):
        for proxy in range(self.proxies):
            client = await self.client(proxy=proxy)
            for _ in range(3):
                self.assertEqual((await client.execute("READ k")).code, "")
        self.assertGreater(self.metric("links_total", by="owner"), self.proxies)
        self.assertEqual(self.metric("links_total", by="none"), 0)
        samples = {}
        for entry in self.entries:
            page = entry._proxy.metrics.render().decode()
            add_samples(samples, entry._cfg.vm, page)
        connections = sum(row[3] for row in rows(samples))
        self.assertGreater(connections, 0)
        self.assertLess(connections, 3 * self.proxies)


class OwnedDrainedPrimaryTest(_OwnersCase, test_site.DrainedPrimaryTest):
    """The same where requests wait at an owner."""

    proxies = 3


class StoppedOwnerTest(_OwnersCase):
    """Guard against unknown outcomes for callers of proxies that do not stop."""

    options = test_site.SiteOptions(grace_s=3, tx_idle_ms=5000)

    async def load(self, client, codes):
        """Run writes and transactions, and record the codes of their answers."""
        statements = ("WRITE k a", "BEGIN", "WRITE k b", "READ k", "COMMIT")
        for text in itertools.cycle(statements):
            code = (await client.execute(text)).code
            codes[code] += 1
            if code == "ABORTED" and text != "COMMIT":
                await client.execute("ROLLBACK")

    async def commit_after(self, client, wait_s):
        await asyncio.sleep(wait_s)
        return (await client.execute("COMMIT")).code

    async def test_its_own_callers_are_served_on(self):
        # The timeouts of their route lie beyond its end.
        owner = self.owner_of(0)
        self.site.publish(2, timeout_ms=20_000)
        await self.until(
            lambda: all(
                entry._proxy.config.current.version == 2 for entry in self.entries
            )
        )
        self.entries[owner].stop()
        client = await self.client("books-orders", owner)
        self.assertEqual((await client.execute("WRITE k d")).code, "")
        self.assertNotIn("owner_refused", self.events())

    async def test_callers_of_other_proxies_know_what_ran(self):
        owner = self.owner_of(0)
        others = [(owner + 1) % self.proxies, (owner + 2) % self.proxies]
        codes = collections.Counter()
        loads = [
            asyncio.create_task(
                self.load(await self.client("books-orders", proxy), codes)
            )
            for proxy in 2 * others
        ]
        opened = [await self.client("books-orders", others[n % 2]) for n in range(8)]
        for client in opened:
            await client.execute("BEGIN")
            self.assertEqual((await client.execute("WRITE j inside")).code, "")
        for target in self.group.targets.values():
            target.work_s = 0.15
        self.entries[owner].stop()
        # Some of the commits are at the target as the owner ends, 2.3 s from now.
        commits = await asyncio.gather(
            *(
                self.commit_after(client, 1.7 + 0.08 * number)
                for number, client in enumerate(opened)
            )
        )
        await asyncio.wait([self.tasks[owner]], timeout=3.0)
        before = codes[""]
        await asyncio.sleep(1.0)
        for task in loads:
            task.cancel()
        self.assertEqual(set(commits) - {"", "ABORTED"}, set())
        self.assertEqual(set(codes) - {"", "ABORTED", "BUSY"}, set())
        self.assertGreater(codes[""], before)
        self.assertIn('"reason": "the owner stops before', self.events())


class OwnerLossTest(_OwnersCase):
    async def test_a_killed_owner_is_replaced_by_the_reserve(self):
        owner = self.owner_of(0)
        proxy = (owner + 1) % self.proxies
        client = await self.client("books-orders", proxy)
        self.assertEqual((await client.execute("WRITE k a")).code, "")
        self.tasks[owner].cancel()
        await asyncio.gather(self.tasks[owner], return_exceptions=True)
        answers = [await client.execute(f"WRITE k b{n}") for n in range(5)]
        self.assertEqual([answer.code for answer in answers], [""] * 5)
        read = await client.execute("READ k")
        self.assertEqual(read.rows, ("b4",))

    async def test_a_transaction_outlives_the_stop_of_its_owner(self):
        owner = self.owner_of(0)
        proxy = (owner + 1) % self.proxies
        client = await self.client("books-orders", proxy)
        await client.execute("BEGIN")
        self.assertEqual((await client.execute("WRITE k inside")).code, "")
        self.entries[owner].stop()
        await asyncio.sleep(0.2)
        committed = await client.execute("COMMIT")
        self.assertEqual((committed.state, committed.code), ("I", ""))
        other = await self.client("books-orders", proxy)
        self.assertEqual((await other.execute("READ k")).rows, ("inside",))

    async def test_an_owner_that_started_again_is_used_at_once(self):
        # It was skipped for 8 s. As machines were rolled in turn, a target's owner and
        # reserve were both skipped, and statements waited for 1 s in vain.
        owner = self.owner_of(0)
        proxy = (owner + 1) % self.proxies
        entry = self.entries[proxy]
        client = await self.client("books-orders", proxy)
        self.assertEqual((await client.execute("WRITE k a")).code, "")
        vm = self.entries[owner]._cfg.vm
        stream = entry._owners._streams[vm]
        self.entries[owner].stop()
        await self.until(lambda: stream.stopping)
        self.assertEqual((await client.execute("WRITE k b")).code, "")
        await eventually(lambda: stream.ended, 8.0)
        skipped_s = entry._owners._skipped_until[vm] - entry._owners._loop.time()
        self.assertLess(skipped_s, 0.5)

    async def test_a_proxy_that_reaches_no_target_is_served_by_owners(self):
        # A proxy that was cut off from a target refused its callers' statements.
        owner = self.owner_of(0)
        proxy = (owner + 1) % self.proxies
        entry = self.entries[proxy]

        async def unreachable(info, timeout_s, business):
            await asyncio.sleep(timeout_s)
            raise test_site.ConnectFailed("no answer")

        entry._owners._connect_directly = unreachable
        entry._owners._owned._connect = unreachable
        client = await self.client("books-orders", proxy)
        for number in range(5):
            answer = await client.execute(f"WRITE k d{number}")
            self.assertEqual(answer.code, "")


if __name__ == "__main__":
    unittest.main()
