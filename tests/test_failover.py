"""Test whom a failover promotes, with the store, orders and targets as stubs."""

import asyncio
import copy
import dataclasses
import random
import types
import unittest
from unittest import mock

from rosemaryridge.core import Shares
from rosemaryridge.core._failover import Failover
from rosemaryridge.core._group import Group
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._successor import Reason
from rosemaryridge.core._target import Target
from rosemaryridge.core.store import LEASE_S
from rosemaryridge.core.store import UNDECIDED_TARGET
from rosemaryridge.core.store import Claim
from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import OrderExpired
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge_testbed.schedules._loop import run_virtually
from tests.test_core_decisions import StubLog
from tests.test_core_decisions import condition
from tests.test_core_decisions import connect
from tests.test_core_decisions import info


class StubPlatform:
    """Store claims and take orders."""

    def __init__(self):
        self.claim = None
        self.revision = 0
        self.ordered = []
        self._error = None

    def fail(self, error):
        """Raise an error for each order, None to take them."""
        self._error = error

    async def get(self, kind, name, stale=False):
        return types.SimpleNamespace(spec=self.claim, revision=self.revision)

    async def put(self, kind, name, spec, revision):
        self.claim, self.revision = spec, self.revision + 1
        return self.revision

    async def promote(self, service, target, fence, may_send):
        if self._error is not None:
            raise self._error
        self.ordered.append(target)


class Fleet:
    """Hold a group of three targets and the failover of one proxy; "a" led it."""

    def __init__(self, sync_replicas=1, deposed_go_on=False):
        self.platform = StubPlatform()
        self.log = StubLog()
        rng = random.Random(5)
        self.group = Group("books", self.log, lambda group: None)
        self.group.sync_replicas = sync_replicas
        # By target: what it reports; those that are missing are silent.
        self.conditions = {}
        for name in "abc":
            pool = Pool(info(name), 4, connect, lambda: None, lambda exc: None, rng)
            self.group.targets[name] = Target(info(name), pool)
        self.group.primary = self.group.last_primary = "a"
        self.group.term = 1
        self.group.probe_primary = self._probe
        self.failover = Failover(
            "vm",
            self.platform,
            self.platform,
            Shares(),
            self.log,
            rng,
            deposed_go_on,
        )
        self.failover._fetch_condition = self._fetch

    def report(self, **received):
        """Set what the targets report to have received; others are silent."""
        self.conditions = {name: condition(pos) for name, pos in received.items()}

    async def replace(self, reason=Reason.REFUSED, accept_partial=False):
        """Replace the primary; return the targets that were ordered so far."""
        await self.failover._replace(self.group, reason, accept_partial)
        return self.platform.ordered

    def report_later(self, **received):
        """Set what the targets report once a claim waits for the leases to end."""
        asyncio.get_running_loop().call_later(0.5, lambda: self.report(**received))

    def why(self):
        """Return why no promotion was ordered last."""
        held = [
            fields for event, fields in self.log.events if event == "promotion_held"
        ]
        return held[-1]["why"] if held else ""

    async def _fetch(self, target):
        return self.conditions.get(target.id)

    async def _probe(self, target):
        return target.id in self.platform.ordered


class SynchronousReplicaTest(unittest.TestCase):
    """Guard against the loss of commits that one replica has received.

    With `sync_replicas` 1 a commit is acknowledged once any replica has it.
    """

    def test_a_draining_replica_that_alone_has_commits_is_promoted(self):
        # Some 50 acknowledged commits were lost: draining targets were passed over.
        async def run():
            fleet = Fleet()
            fleet.group.targets["b"].draining = True
            fleet.report(b=(1, 100), c=(1, 50))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["b"])

    def test_a_draining_replica_is_passed_over_if_another_has_as_much(self):
        async def run():
            fleet = Fleet()
            fleet.group.targets["b"].draining = True
            fleet.report(b=(1, 100), c=(1, 100))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["c"])

    def test_a_silent_replica_that_may_alone_have_commits_is_awaited(self):
        # A replica that was dark beside the primary for 6 s was passed over after 4 s.
        async def run():
            fleet = Fleet()
            fleet.report(c=(1, 50))
            self.assertEqual(await fleet.replace(), [])
            self.assertIn("b may hold acknowledged commits", fleet.why())
            fleet.report(b=(1, 100), c=(1, 50))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["b"])

    def test_a_silent_replica_is_awaited_after_its_entry_has_gone(self):
        async def run():
            fleet = Fleet()
            del fleet.group.targets["b"]
            fleet.group.departed.add("b")
            fleet.report(c=(1, 50))
            self.assertEqual(await fleet.replace(), [])
            return await fleet.replace(accept_partial=True)

        self.assertEqual(run_virtually(run), ["c"])

    def test_a_list_without_the_former_primary_is_not_complete(self):
        # A proxy that has just started may lack other targets too.
        async def run():
            fleet = Fleet()
            del fleet.group.targets["a"]
            fleet.group.primary, fleet.group.last_primary = None, ""
            fleet.report(b=(1, 50), c=(1, 50))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), [])

    def test_a_draining_primary_leads_on_while_no_replica_that_stays_has_all(self):
        # The primary stepped down, and the replica that received nothing was promoted.
        async def run():
            fleet = Fleet()
            for name in "ab":
                fleet.group.targets[name].draining = True
            fleet.report(a=(1, 100), b=(1, 100), c=(1, 50))
            self.assertEqual(await fleet.replace(Reason.DRAINING), [])
            self.assertIn("no replica that stays", fleet.why())
            return fleet.platform.claim

        self.assertIsNone(run_virtually(run))

    def test_a_draining_primary_that_crashes_is_replaced_by_who_has_all(self):
        async def no_answer(*args):
            return None

        async def run():
            fleet = Fleet()
            for name in "ab":
                fleet.group.targets[name].draining = True
            fleet.group.targets["a"].mark_unresponsive(0.0)
            fleet.group.targets["a"].refused_at = 0.0
            fleet.report(b=(1, 100), c=(1, 50))
            return await fleet.replace(Reason.DRAINING)

        with mock.patch("rosemaryridge.core._failover.request_condition", no_answer):
            self.assertEqual(run_virtually(run), ["b"])

    def test_a_silent_replica_does_not_hold_a_planned_replacement(self):
        # The primary itself tells what it has acknowledged.
        async def step_down(*args):
            return condition((1, 100))

        async def run():
            fleet = Fleet()
            fleet.group.targets["a"].draining = True
            fleet.report(a=(1, 100), c=(1, 100))
            return await fleet.replace(Reason.DRAINING)

        with mock.patch("rosemaryridge.core._failover.request_condition", step_down):
            self.assertEqual(run_virtually(run), ["c"])

    def test_what_is_received_until_the_leases_end_decides(self):
        # A silent primary went on: "c" received commits after its first report.
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 50), c=(1, 40))
            fleet.report_later(b=(1, 50), c=(1, 60))
            ordered = await fleet.replace()
            self.assertEqual(fleet.platform.claim["target"], "c")
            return ordered

        self.assertEqual(run_virtually(run), ["c"])

    def test_the_successor_of_a_silent_draining_primary_is_chosen_after_the_leases(
        self,
    ):
        # It did not step down and went on: 31 commits were lost in seed 7 of the soak.
        async def no_answer(*args):
            return None

        async def run():
            fleet = Fleet()
            primary = fleet.group.targets["a"]
            primary.draining = True
            primary.mark_unresponsive(0.0)
            fleet.report(b=(1, 50), c=(1, 40))
            fleet.report_later(b=(1, 50), c=(1, 60))
            return await fleet.replace(Reason.DRAINING)

        with mock.patch("rosemaryridge.core._failover.request_condition", no_answer):
            self.assertEqual(run_virtually(run), ["c"])

    def test_a_former_primary_that_has_more_than_the_others_is_promoted(self):
        # 123 commits were lost in seed 406 of the soak: the deposed primary had them,
        # and its successor fell silent before it had replicated any of its own.
        async def run():
            fleet = Fleet()
            fleet.platform.claim = dataclasses.asdict(Claim(1, "vm-2", 1, "b", "a"))
            fleet.group.primary = fleet.group.last_primary = "b"
            fleet.group.term = 2
            fleet.report(a=(1, 87), c=(1, 75))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["a"])

    def test_a_replica_that_falls_silent_before_the_choice_is_awaited(self):
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 50), c=(1, 40))
            fleet.report_later(c=(1, 40))
            self.assertEqual(await fleet.replace(), [])
            return fleet.why()

        self.assertIn("b may hold acknowledged commits", run_virtually(run))

    def test_a_replica_that_joins_before_the_choice_may_be_chosen(self):
        # Proxies learn of an entry up to 3 s late; it may alone have the last commits.
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 50), c=(1, 40))

            async def add_missing(group):
                joined = copy.copy(group.targets["c"])
                joined.info = info("d")
                group.targets["d"] = joined
                fleet.conditions["d"] = condition((1, 60))

            fleet.failover.refresh_targets = add_missing
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["d"])

    def test_an_order_follows_the_leases_where_fences_are_checked_too(self):
        # Without synchronous replicas, nothing is leased there.
        async def run(sync_replicas):
            fleet = Fleet(sync_replicas)
            fleet.report(b=(1, 50), c=(1, 40))
            self.assertEqual(await fleet.replace(), ["b"])
            return asyncio.get_running_loop().time()

        self.assertGreaterEqual(run_virtually(lambda: run(1)), LEASE_S)
        self.assertLess(run_virtually(lambda: run(0)), 0.1)

    def test_without_synchronous_replicas_a_draining_one_is_passed_over(self):
        # Its promotion would be followed by another one at once.
        async def run():
            fleet = Fleet(sync_replicas=0)
            fleet.group.targets["b"].draining = True
            fleet.report(b=(1, 100), c=(1, 50))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["c"])


class LeadingPrimaryTest(unittest.TestCase):
    """Guard against a primary that leads on under a claim that names another target.

    "vm-2" claimed the promotion of "b", and nothing tells whether it was ordered.
    """

    def fleet(self, **options):
        fleet = Fleet(**options)
        fleet.platform.claim = dataclasses.asdict(Claim(5, "vm-2", 1, "b", "a"))
        fleet.platform.revision = 7
        fleet.report(b=(1, 50), c=(1, 50))
        fleet.conditions["a"] = condition((1, 60), primary=True)
        return fleet

    def settle(self, error=None, after_s=4.0, **options):
        """Return the orders with who was claimed then, and the last claim."""

        async def run():
            fleet = self.fleet(**options)
            platform, orders = fleet.platform, []

            async def promote(service, target, fence, may_send):
                orders.append((target, fence, platform.claim["target"]))
                if error is not None:
                    raise error

            platform.promote = promote
            # The claim counts from when it is first seen.
            await fleet.replace(Reason.UNSETTLED)
            await asyncio.sleep(after_s)
            await fleet.replace(Reason.UNSETTLED)
            return orders, Claim(**platform.claim)

        return run_virtually(run)

    def test_its_claim_is_settled_once_a_newer_order_was_answered(self):
        # Leased before, it acknowledged commits that the late order rolled back.
        orders, claim = self.settle()
        self.assertEqual(orders, [("a", 6, UNDECIDED_TARGET)])
        self.assertEqual(claim, Claim(7, "vm", 0, "a"))

    def test_it_is_not_leased_while_its_own_order_has_no_answer(self):
        _, claim = self.settle(StoreUnavailable("no answer"))
        self.assertEqual((claim.fence, claim.target), (6, UNDECIDED_TARGET))

    def test_an_order_that_was_accepted_just_before_takes_effect_first(self):
        # The primary was leased at once, and a write that it acknowledged was lost.
        async def run():
            fleet = self.fleet()
            await fleet.replace(Reason.UNSETTLED)
            await asyncio.sleep(4.0)

            async def promote(service, target, fence, may_send):
                replaced = {
                    "a": condition((1, 60), term=2),
                    "b": condition((1, 50), primary=True, term=2),
                }
                loop = asyncio.get_running_loop()
                loop.call_later(1.0, fleet.conditions.update, replaced)

            fleet.platform.promote = promote
            await fleet.replace(Reason.UNSETTLED)
            return fleet.platform.claim["target"], fleet.why()

        self.assertEqual(run_virtually(run), (UNDECIDED_TARGET, "a does not lead"))

    def test_nothing_voids_an_order_where_no_fence_is_checked(self):
        orders, claim = self.settle(deposed_go_on=True)
        self.assertEqual((orders, claim.target), ([], "b"))
        orders, claim = self.settle(deposed_go_on=True, after_s=20.0)
        self.assertEqual((orders, claim.target), ([], "a"))

    def test_a_primary_that_is_back_before_the_order_is_kept(self):
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 50), c=(1, 50))
            back = {"a": condition((1, 60), primary=True)}
            loop = asyncio.get_running_loop()
            loop.call_later(0.5, fleet.conditions.update, back)
            return await fleet.replace(), Claim(**fleet.platform.claim)

        ordered, claim = run_virtually(run)
        self.assertEqual((ordered, claim.target, claim.term), ([], "a", 0))

    def test_a_failed_planned_replacement_names_it_only_if_no_order_is_pending(self):
        async def no_answer(*args):
            return None

        async def run(pending):
            fleet = self.fleet()
            if not pending:
                fleet.platform.claim, fleet.platform.revision = None, 0
            fleet.conditions["b"] = fleet.conditions["c"] = condition((1, 60))
            fleet.group.targets["a"].draining = True
            await fleet.replace(Reason.DRAINING)
            await asyncio.sleep(4.0)
            await fleet.replace(Reason.DRAINING)
            return fleet.platform.claim["target"]

        with mock.patch("rosemaryridge.core._failover.request_condition", no_answer):
            self.assertEqual(run_virtually(lambda: run(False)), "a")
            self.assertEqual(run_virtually(lambda: run(True)), UNDECIDED_TARGET)


class EndedOrderTest(unittest.TestCase):
    """Guard against the target of an old claim that goes before a better one.

    "b" was to be promoted, and the platform answered 503; "a" led on.
    """

    def _promote_later(self, pause_s, order=None, **options):
        """Return who is promoted when "c" has received more than "b", or why none."""

        async def run():
            fleet = Fleet(**options)
            fleet.report(b=(1, 10), c=(1, 9))
            fleet.platform.fail(order or StoreUnavailable("503"))
            await fleet.replace()
            self.assertEqual(fleet.platform.claim["target"], "b")
            fleet.platform.fail(None)
            await asyncio.sleep(pause_s)
            fleet.report(b=(1, 20), c=(1, 60))
            return await fleet.replace() or fleet.why()

        return run_virtually(run)

    def test_an_order_that_failed_long_ago_decides_nothing(self):
        # Some 40 acknowledged commits were lost: "b" was promoted 12 s later.
        self.assertEqual(self._promote_later(12.0), ["c"])

    def test_an_order_for_another_voids_the_last_one_where_fences_are_checked(self):
        self.assertEqual(self._promote_later(3.0), ["c"])

    def test_an_order_for_another_is_held_where_no_fence_is_checked(self):
        # A late order would depose "c", and "b" lacks what "c" has received.
        options = {"deposed_go_on": True}
        why = "c received more than b, whose promotion may still take place"
        self.assertEqual(self._promote_later(3.0, **options), why)
        self.assertEqual(self._promote_later(20.0, **options), ["c"])

    def test_without_synchronous_replicas_nothing_is_held(self):
        options = {"deposed_go_on": True, "sync_replicas": 0}
        self.assertEqual(self._promote_later(3.0, **options), ["b"])
        self.assertEqual(self._promote_later(20.0, **options), ["c"])

    def test_a_refused_order_has_ended(self):
        options = {"deposed_go_on": True}
        for order in (FenceRefused(1), OrderExpired("unsent")):
            self.assertEqual(self._promote_later(3.0, order, **options), ["c"])

    def test_the_claim_of_another_proxy_is_held_until_its_order_has_ended(self):
        # A proxy that has just started knows the claim's age from its first look only.
        async def run():
            fleet = Fleet(deposed_go_on=True)
            fleet.platform.claim = dataclasses.asdict(Claim(1, "vm-2", 1, "b", "a"))
            fleet.platform.revision = 7
            fleet.report(b=(1, 20), c=(1, 60))
            loop = asyncio.get_running_loop()
            while not await fleet.replace():
                await asyncio.sleep(0.5)
            return fleet.platform.ordered, loop.time()

        ordered, took_s = run_virtually(run)
        self.assertEqual(ordered, ["c"])
        self.assertGreater(took_s, 10.0)
        self.assertLess(took_s, 18.0)

    def test_a_late_order_that_was_carried_out_is_seen(self):
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 10), c=(1, 9))
            fleet.platform.fail(StoreUnavailable("no answer"))
            await fleet.replace()
            fleet.platform.fail(None)
            await asyncio.sleep(3.0)
            leads = condition((1, 10), primary=True, term=2)
            fleet.conditions = {"b": leads, "c": condition((1, 60))}
            return await fleet.replace() or fleet.why()

        self.assertEqual(run_virtually(run), "b is the primary already")

    def test_a_primary_that_stepped_down_for_nothing_is_promoted_again(self):
        # Its last commits were rolled back as if another target had been promoted.
        async def run(pause_s):
            fleet = Fleet(sync_replicas=0)
            fleet.platform.claim = dataclasses.asdict(Claim(1, "vm-2", 1, "b", "a"))
            fleet.platform.revision = 7
            fleet.group.primary = None
            fleet.report(a=(1, 100), b=(1, 90), c=(1, 90))
            await fleet.replace(Reason.NONE)
            await asyncio.sleep(pause_s)
            return await fleet.replace(Reason.NONE)

        self.assertEqual(run_virtually(lambda: run(20.0)), ["a"])
        # The order may be under way.
        self.assertEqual(run_virtually(lambda: run(3.0)), ["b"])

    def test_two_failed_orders_for_two_targets_leave_the_better_one(self):
        async def run():
            fleet = Fleet()
            fleet.report(b=(1, 10), c=(1, 9))
            fleet.platform.fail(StoreUnavailable("503"))
            await fleet.replace()
            fleet.report(b=(1, 20), c=(1, 60))
            await asyncio.sleep(3.0)
            await fleet.replace()
            # Neither is leased while both orders may be carried out.
            self.assertEqual(fleet.platform.claim["target"], UNDECIDED_TARGET)
            fleet.platform.fail(None)
            await asyncio.sleep(3.0)
            fleet.report(b=(1, 90), c=(1, 60))
            return await fleet.replace()

        self.assertEqual(run_virtually(run), ["b"])


if __name__ == "__main__":
    unittest.main()
