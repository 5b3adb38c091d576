"""Test that synchronous replicas lose no commit, on the platform emulator."""

import asyncio
import dataclasses

from rosemaryridge.core.store import CLAIMS_KIND
from rosemaryridge.core.store import PROMOTION_DELAY_S
from rosemaryridge_testbed.fleet import eventually
from rosemaryridge_testbed.site import SiteOptions
from rosemaryridge_testbed.site._target import SiteTarget
from tests.integration.test_site import SiteCase

# `recovery_s` of the platform.
_RECOVERY_S = 12.0


class SynchronousCase(SiteCase):
    """Crash the primary, and keep what callers were told was written."""

    proxies = 3
    options = SiteOptions(sync_replicas=1, promotion_delay_s=0.6)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.acknowledged = []
        writing = asyncio.create_task(self.write())
        self.tasks.append(writing)
        await self.until(lambda: len(self.acknowledged) > 20)

    async def write(self):
        """Write through each proxy in turn until cancelled."""
        clients, number = {}, 0
        while True:
            number += 1
            proxy = number % self.proxies
            try:
                if proxy not in clients:
                    clients[proxy] = await self.client("books-orders", proxy)
                reply = await clients[proxy].execute(f"WRITE k d{number}")
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                clients.pop(proxy, None)
                await asyncio.sleep(0.02)
                continue
            if not reply.code:
                self.acknowledged.append(f"d{number}")
            await asyncio.sleep(0.01)

    async def until_served(self):
        """Wait until another 20 writes were acknowledged, within `recovery_s`."""
        before = len(self.acknowledged)
        await eventually(lambda: len(self.acknowledged) > before + 20, _RECOVERY_S)

    def claim(self):
        """Return the last claim, empty without one."""
        stored = self.site.store.objects.get(CLAIMS_KIND, {}).get("books")
        return stored["spec"] if stored else {}

    def assert_kept(self):
        kept = {commit.data for commit in self.group.targets[self.group.primary].log}
        lost = [data for data in self.acknowledged if data not in kept]
        self.assertEqual(lost, [])

    def on_order(self, strike):
        """Call a function with a target's name once its promotion is ordered."""
        promote = self.group.promote

        async def promote_after_strike(name):
            await strike(name)
            await promote(name)

        self.group.promote = promote_after_strike

    async def restart_primary(self):
        await self.target(0).restart()
        self.site.register(self.target(0))


class PromotionTest(SynchronousCase):
    async def join_replica(self):
        joined = SiteTarget("books-9", self.group, report=self.site.register)
        await joined.start()
        self.addAsyncCleanup(joined.crash)
        self.site.register(joined)

    async def replace_primary(self, strike):
        """Crash the primary, and call a function once a promotion is ordered."""
        self.on_order(strike)
        await self.target(0).crash()
        await self.until(lambda: self.group.term == 2)
        await self.until_served()
        self.assert_kept()

    async def test_a_replica_that_joins_before_a_promotion_takes_effect(self):
        # The former primary was back and acknowledged by the replica that joined.
        async def strike(name):
            await self.join_replica()
            await self.restart_primary()

        await self.replace_primary(strike)

    async def test_a_replica_that_joins_after_the_primary_is_back(self):
        async def strike(name):
            await self.restart_primary()
            await asyncio.sleep(0.3)
            await self.join_replica()

        await self.replace_primary(strike)

    async def test_no_order_decides_what_a_replica_receives(self):
        # A RESUME that was carried out late ended the hold of the next attempt, and the
        # former primary went on acknowledging.
        async def strike(name):
            await self.restart_primary()
            for target in self.group.targets.values():
                if target.name != name:
                    await target._resume(None, "")

        await self.replace_primary(strike)

    async def test_a_replica_that_restarts_before_a_promotion_takes_effect(self):
        # A restart ended its hold: 10 acknowledged writes were lost.
        async def strike(name):
            await self.restart_primary()
            for target in list(self.group.targets.values()):
                if target.name not in (name, "books-0"):
                    await target.crash()
                    await asyncio.sleep(0.1)
                    await target.restart()

        await self.replace_primary(strike)


class LateOrderTest(SynchronousCase):
    async def test_all_proxies_restart_while_an_order_has_no_answer(self):
        # The order was carried out after the new processes had acknowledged writes.
        ordered = asyncio.get_running_loop().create_future()

        async def strike(name):
            if not ordered.done():
                ordered.set_result(name)
                await asyncio.sleep(6.0)

        self.on_order(strike)
        await self.target(0).crash()
        await asyncio.wait_for(ordered, 5.0)
        for number, entry in enumerate(self.entries):
            entry.close()
            self.tasks[number].cancel()
        await asyncio.gather(*self.tasks[: self.proxies], return_exceptions=True)
        self.entries.clear()
        self.addresses.clear()
        for number in range(self.proxies):
            await self._start_proxy(self.log_path.parent, f"vm-{number}", False)
        await self.restart_primary()
        await self.until_served()
        await eventually(lambda: self.group.term == 2, _RECOVERY_S)
        await self.until_served()
        self.assert_kept()


class AbandonedClaimTest(SynchronousCase):
    """Guard against a primary that nobody serves after its replacement was given up."""

    async def abandon(self):
        """Crash the primary until the proxy that claimed its replacement is killed."""
        await self.target(0).crash()
        await self.until(self.claim)
        holder = self.claim()["holder"]
        killed = next(n for n, e in enumerate(self.entries) if e._cfg.vm == holder)
        failover = self.entries[killed]._failover
        failover.stopping = True
        # A killed process sends nothing more.
        self.entries[killed].close()
        for task in failover._tasks.values():
            task.cancel()
        await asyncio.sleep(PROMOTION_DELAY_S)
        await self.restart_primary()
        self.assertEqual(self.site.promotions, [])

    async def test_it_is_leased_again_once_the_order_is_void(self):
        await self.abandon()
        await self.until_served()
        await eventually(lambda: self.claim()["target"] == "books-0", _RECOVERY_S)
        await self.until_served()
        self.assertEqual((self.group.primary, self.group.term), ("books-0", 1))
        self.assert_kept()


class UnfencedAbandonedClaimTest(AbandonedClaimTest):
    options = dataclasses.replace(SynchronousCase.options, fenced=False)

    async def test_it_is_leased_again_once_the_order_is_void(self):
        # The replicas that the killed proxy had paused received nothing any more: no
        # write was acknowledged. Nothing voids an order here but its age, and commits
        # are passed on by their receipts until then.
        await self.abandon()
        await self.until_served()
        self.assertEqual((self.group.primary, self.group.term), ("books-0", 1))
        self.assertNotEqual(self.claim()["target"], "books-0")
        self.assert_kept()
