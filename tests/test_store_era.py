"""Test what follows from a store that has come back from a copy."""

import asyncio
import dataclasses
import random
import types
import unittest

from rosemaryridge.core import ClaimCache
from rosemaryridge.core import Failover
from rosemaryridge.core import FleetConfig
from rosemaryridge.core import ProxyRegistry
from rosemaryridge.core import RetryGate
from rosemaryridge.core import Shares
from rosemaryridge.core import StoreEra
from rosemaryridge.core import StoreMirror
from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._directory import Directory
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.store import FENCES_PER_ERA
from rosemaryridge.core.store import ClaimedTarget
from rosemaryridge.core.store import ClaimListing
from rosemaryridge.core.store import next_fence
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint


class StubLog:
    left_out = 0

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))

    def names(self):
        return [event for event, _ in self.events]


class EraTest(unittest.TestCase):
    def setUp(self):
        self.log = StubLog()
        self.era = StoreEra(self.log)
        self.eras = []

        def on_new_era(era):
            self.eras.append(era)
            return "all"

        self.era.subscribe(on_new_era)

    def test_the_first_era_is_no_change(self):
        self.assertTrue(self.era.observe(4))
        self.assertEqual((self.era.current, self.eras), (4, []))

    def test_a_new_era_is_told_once_with_what_was_dropped(self):
        for era in (1, 1, 2, 2):
            self.assertTrue(self.era.observe(era))
        self.assertEqual(self.eras, [2])
        (event,) = self.log.events
        self.assertEqual(event[0], "store_era_changed")
        self.assertEqual(event[1], {"era": 2, "before": 1, "dropped": ["all"]})

    def test_a_late_answer_of_an_earlier_era_is_outdated(self):
        self.era.observe(2)
        self.assertFalse(self.era.observe(1))
        self.assertEqual(self.era.current, 2)

    def test_a_store_without_eras_works_as_before(self):
        self.assertTrue(self.era.observe(None))
        self.assertIsNone(self.era.current)
        self.assertEqual(next_fence(4, None), 5)

    def test_fences_rise_over_eras_whatever_the_copy_forgot(self):
        last_of_first = next_fence(next_fence(0, 1), 1)
        self.assertGreater(next_fence(0, 2), last_of_first)
        self.assertEqual(next_fence(2 * FENCES_PER_ERA + 7, 2), 2 * FENCES_PER_ERA + 8)


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = StubLog()
        self.era = StoreEra(self.log)
        self.era.observe(1)
        self.lists = 0
        self.answer_era = 1
        self.changes = []
        self.answer = asyncio.get_running_loop().create_future()
        self.mirror = StoreMirror(
            self,
            "config",
            lambda objects: None,
            self.changes.append,
            self.log,
            random.Random(1),
            RetryGate(),
            era=self.era,
        )
        task = asyncio.create_task(self.mirror.run())
        self.addCleanup(task.cancel)

    async def list(self, kind):
        self.lists += 1
        return types.SimpleNamespace(objects=(), revision=7)

    async def watch(self, kind, revision, wait_s, stale=False):
        if self.lists > 1:
            await asyncio.Event().wait()
        answer = await asyncio.shield(self.answer)
        # The adapter passes on the era of each answer.
        self.era.observe(self.answer_era)
        return answer

    async def ping(self):
        pass

    async def until_listed(self, times):
        async with asyncio.timeout(1.0):
            while self.lists < times:
                await asyncio.sleep(0.001)

    async def test_an_era_learned_elsewhere_ends_the_watch_and_lists_again(self):
        await self.until_listed(1)
        await asyncio.sleep(0.01)
        self.era.observe(2)
        await self.until_listed(2)

    async def test_changes_in_the_answer_that_brings_the_era_are_listed_instead(self):
        await self.until_listed(1)
        await asyncio.sleep(0.01)
        self.answer_era = 2
        self.answer.set_result((("change",), 9))
        await self.until_listed(2)
        self.assertEqual(self.changes, [])


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = StubLog()

        async def connect(_info, _timeout_s, _business):
            raise asyncio.CancelledError

        self.directory = Directory(
            connect, self.log, lambda group: None, Shares(), random.Random(1)
        )

    def info(self, sequence, draining=False, started_ms=1):
        endpoint = Endpoint("127.0.0.1", 1)
        return TargetInfo(
            "a", "books", endpoint, "z", 3, started_ms, draining, sequence=sequence
        )

    @property
    def target(self):
        return self.directory.group("books").targets.get("a")

    async def test_a_draining_target_gets_no_work_after_its_time(self):
        # Guards against a time that is counted from when this proxy learned of it.
        now = asyncio.get_running_loop().time()
        for drain_s, age_s, least, most in (
            (7.0, 0.0, 6.0, 7.0),
            (7.0, 3.0, 3.0, 4.0),
            (7.0, 60.0, 2.0, 5.0),
            (2.0, float("inf"), 0.0, 2.0),
            (2.0, 4.0, -1.0, 0.1),
        ):
            self.directory.drain_s = drain_s
            self.directory.report_age_s = lambda age_s=age_s: age_s
            self.directory.put(self.info(1))
            self.assertTrue(self.target.takes_work(now + 1000.0))
            self.directory.put(self.info(2, draining=True))
            self.directory.put(self.info(3, draining=True))
            self.assertTrue(self.target.takes_work(now + least))
            self.assertFalse(self.target.takes_work(now + most))

    async def test_a_target_whose_entry_has_gone_is_remembered_as_a_holder(self):
        # It may be the only one with commits that were acknowledged before.
        self.directory.put(self.info(1))
        group, target = self.directory.group("books"), self.target
        self.directory.remove("a")
        target.removed_at -= 60.0
        self.directory._on_grace_over(group, target)
        self.assertEqual(group.departed, {"a"})
        self.directory.put(self.info(2))
        self.assertEqual(group.departed, set())

    async def test_replicas_count_as_synchronous_until_the_configuration_is_known(self):
        config = FleetConfig(1, {}, {"books": 9, "notes": 9}, 3.0)
        config = dataclasses.replace(config, sync_replicas={"notes": 1})
        self.assertEqual(self.directory.group("books").sync_replicas, 1)
        self.directory.adopt_services(config)
        services = ("books", "notes", "other")
        found = [self.directory.group(name).sync_replicas for name in services]
        self.assertEqual(found, [0, 1, 0])

    async def test_without_a_bound_a_draining_target_gets_work(self):
        for age_s in (0.0, float("inf")):
            self.directory.report_age_s = lambda age_s=age_s: age_s
            self.directory.put(self.info(1))
            self.directory.put(self.info(2, draining=True))
            self.assertTrue(self.target.takes_work(1e9))

    async def test_a_draining_target_stays_draining(self):
        self.directory.put(self.info(5))
        self.directory.put(self.info(9, draining=True))
        self.directory.on_new_era(2)
        self.directory.replace([self.info(6)])
        self.assertTrue(self.target.draining)
        self.assertIn("target_outdated", self.log.names())

    async def test_a_target_that_left_does_not_come_back(self):
        self.directory.put(self.info(9, draining=True))
        self.directory._remove_now(
            self.directory.group("books"), self.target, "it left"
        )
        self.directory.on_new_era(2)
        self.directory.replace([self.info(6)])
        self.assertIsNone(self.target)

    async def test_an_earlier_process_under_the_same_id_does_not_come_back(self):
        self.directory.put(self.info(1, started_ms=2))
        self.directory.on_new_era(2)
        self.directory.put(self.info(50, started_ms=1))
        self.assertEqual(self.target.info.started_ms, 2)

    async def test_within_an_era_each_registration_counts(self):
        self.directory.put(self.info(9, started_ms=2))
        self.directory.put(self.info(1, started_ms=1))
        self.assertEqual(self.target.info.started_ms, 1)

    async def test_a_target_that_expired_and_reports_again_is_used(self):
        self.directory.put(self.info(9))
        self.directory._remove_now(
            self.directory.group("books"), self.target, "it expired"
        )
        self.directory.put(self.info(9))
        self.assertIsNotNone(self.target)


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.era = StoreEra(StubLog())
        self.era.observe(1)
        self.claims = ClaimCache(None, StubLog(), self.era)

    def record(self, **claims):
        self.claims.record(ClaimListing(claims, boottime()))

    async def test_a_new_era_ends_the_leases_until_a_vote(self):
        self.record()
        self.assertTrue(self.claims.leases("books", "a"))
        self.era.observe(2)
        self.record()
        self.assertFalse(self.claims.leases("books", "a"))
        self.claims.settle("books", "a", boottime() + 3.0)
        self.assertTrue(self.claims.leases("books", "a"))

    async def test_a_vote_for_one_target_leases_no_other(self):
        # Seed 40566: a vote for the successor leased the deposed primary as well,
        # because the copy had lost the claim.
        self.era.observe(2)
        self.record()
        self.claims.settle("books", "b", boottime() + 3.0)
        self.assertFalse(self.claims.leases("books", "a"))

    async def test_a_vote_soon_after_the_era_began_settles_nothing(self):
        # Seed 40792: a promotion that was ordered just before took effect after the
        # vote, and its claim was lost with the era.
        self.era.observe(2)
        self.claims.settle("books", "a", boottime() + 1.0)
        self.assertFalse(self.claims.leases("books", "a"))

    async def test_a_claim_of_the_new_era_is_leased(self):
        self.era.observe(2)
        self.record(books=ClaimedTarget(next_fence(0, 2), 1, "b"))
        self.assertTrue(self.claims.leases("books", "b"))
        self.assertFalse(self.claims.leases("books", "a"))

    async def test_a_process_that_starts_later_leases_by_no_missing_claim(self):
        # The copy from which the store had just come back lacked the claim.
        self.claims = ClaimCache(None, StubLog(), self.era, first_start=False)
        self.record(notes=ClaimedTarget(next_fence(0, 1), 1, "n"))
        self.assertFalse(self.claims.leases("books", "a"))
        self.claims.settle("books", "a", boottime() + 1.0)
        self.assertFalse(self.claims.leases("books", "a"))
        # A claim of this era is no older than it.
        self.assertTrue(self.claims.leases("notes", "n"))
        self.claims.settle("books", "a", boottime() + 3.0)
        self.assertTrue(self.claims.leases("books", "a"))

    async def test_a_process_that_starts_later_leases_where_no_era_is_named(self):
        era = StoreEra(StubLog())
        self.claims = ClaimCache(None, StubLog(), era, first_start=False)
        self.record()
        self.assertTrue(self.claims.leases("books", "a"))

    async def test_a_relay_passes_on_the_era(self):
        # Seed 519 of the schedules: a proxy that reads the claims through a relay kept
        # its lease, as it had no answer of the restored store itself.
        self.record()
        self.claims.record(ClaimListing({}, boottime(), era=2))
        self.assertEqual(self.era.current, 2)
        self.assertFalse(self.claims.leases("books", "a"))

    async def test_a_relay_of_an_earlier_era_is_ignored(self):
        self.era.observe(2)
        claims = {"books": ClaimedTarget(next_fence(0, 1), 1, "b")}
        self.claims.record(ClaimListing(claims, boottime(), era=1))
        self.assertEqual(self.claims.claim("books").target, "")

    async def test_a_claim_that_the_copy_lost_is_remembered(self):
        self.record(books=ClaimedTarget(next_fence(0, 1), 1, "b"))
        self.era.observe(2)
        self.record()
        self.claims.settle("books", "a", boottime() + 3.0)
        self.assertFalse(self.claims.leases("books", "a"))


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_count_does_not_fall_and_the_entry_is_written_again(self):
        era = StoreEra(StubLog())
        era.observe(1)
        names = {"p0", "p1", "p2"}
        written, counts = [], []

        class Store:
            async def list(self, kind, stale=False):
                objects = [
                    types.SimpleNamespace(name=name, revision=1, spec={})
                    for name in names
                ]
                return types.SimpleNamespace(objects=objects)

            async def put(self, kind, name, spec, revision):
                written.append(name)
                return 1

        registry = ProxyRegistry(
            "p0",
            Store(),
            lambda listed: counts.append(len(listed)),
            StubLog(),
            random.Random(1),
            era,
        )
        await registry._renew_and_list()
        names.clear()
        era.observe(2)
        await registry._renew_and_list()
        self.assertEqual((written, counts), (["p0", "p0"], [3, 3]))


class FailoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = StubLog()
        self.era = StoreEra(self.log)
        self.era.observe(1)
        self.failover = Failover(
            "p0", self, self, Shares(), self.log, random.Random(1), True, self.era
        )
        self.group = types.SimpleNamespace(service="books", term=1, primary="a")
        self.stored = None
        self.orders = []

    async def get(self, kind, name, stale=False):
        if isinstance(self.stored, Exception):
            raise self.stored
        return types.SimpleNamespace(spec=self.stored, revision=3)

    async def promote(self, service, target, fence, may_send):
        self.orders.append((fence, may_send()))

    async def test_revisions_seen_before_the_era_block_nothing(self):
        self.failover._claims._seen["books"] = (900, 0.0)
        self.era.observe(2)
        self.assertEqual(self.failover._claims._seen, {})

    async def test_a_claim_that_the_copy_lost_orders_nothing(self):
        claim = types.SimpleNamespace(fence=1_000_001)
        stands = await self.failover._is_stored(self.group, claim, boottime() + 1.0)
        self.assertFalse(stands)
        self.assertIn("promotion_held", self.log.names())

    async def test_a_claim_that_cannot_be_read_orders_nothing(self):
        self.stored = StoreUnavailable("away")
        claim = types.SimpleNamespace(fence=1_000_001)
        stands = await self.failover._is_stored(self.group, claim, boottime() + 0.2)
        self.assertFalse(stands)


if __name__ == "__main__":
    unittest.main()
