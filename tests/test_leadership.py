"""Test the proofs that a primary has not been replaced, without I/O."""

import asyncio
import types
import unittest
from unittest import mock

from rosemaryridge.core import ClaimCache
from rosemaryridge.core import Failure
from rosemaryridge.core import Shares
from rosemaryridge.core import StatementError
from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._failover import Failover
from rosemaryridge.core._leadership import Leadership
from rosemaryridge.core._successor import choose_successor
from rosemaryridge.core._successor import leader_has_denied
from rosemaryridge.core._successor import nobody_leads
from rosemaryridge.core.store import LEASE_S
from rosemaryridge.core.store import NO_CLAIM
from rosemaryridge.core.store import PROMOTION_DELAY_S
from rosemaryridge.core.store import UNDECIDED_TARGET
from rosemaryridge.core.store import Claim
from rosemaryridge.core.store import ClaimedTarget
from rosemaryridge.core.store import ClaimListing
from rosemaryridge.core.store import hidden_fence
from rosemaryridge.core.store import next_fence
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Position
from tests.test_core_decisions import GroupCase
from tests.test_core_decisions import StubLog
from tests.test_core_decisions import condition


class StubStore:
    """Hold claims by service, or an error that each call raises."""

    def __init__(self):
        self.claims = {}
        self.error = None
        self.silent = False
        self.lists = 0

    async def list(self, kind):
        self.lists += 1
        if self.silent:
            await asyncio.Event().wait()
        if self.error is not None:
            raise self.error
        objects = [
            types.SimpleNamespace(name=name, spec=spec, revision=40)
            for name, spec in self.claims.items()
        ]
        return types.SimpleNamespace(objects=objects)

    def claim(self, service, fence, target, term=1):
        self.claims[service] = {
            "fence": fence,
            "holder": "vm",
            "term": term,
            "target": target,
        }


class ClaimCacheTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StubStore()
        self.log = StubLog()
        self.claims = ClaimCache(self.store, self.log)

    def test_an_order_follows_its_claim_after_the_leases(self):
        self.assertGreater(PROMOTION_DELAY_S, 1.1 * LEASE_S)

    async def test_one_read_serves_all_who_wait(self):
        results = await asyncio.gather(
            *(self.claims.refresh(boottime() - 0.1) for _ in range(20))
        )
        self.assertEqual((set(results), self.store.lists), ({True}, 1))

    async def test_a_failed_read_is_not_repeated_at_once(self):
        self.store.error = StoreUnavailable("away")
        for _ in range(5):
            self.assertFalse(await self.claims.refresh(boottime()))
        self.assertEqual(self.store.lists, 1)

    async def test_a_relay_spares_the_store(self):
        listing = ClaimListing({"books": ClaimedTarget(3, 1, "b")}, boottime())

        async def request():
            return listing

        self.claims.request_from_relay = request
        self.assertTrue(await self.claims.refresh(boottime() - 1.0))
        self.assertEqual(self.store.lists, 0)
        self.assertFalse(self.claims.leases("books", "a"))

    async def test_without_a_relay_the_store_is_read(self):
        async def request():
            return None

        self.claims.request_from_relay = request
        self.assertTrue(await self.claims.refresh(boottime() - 1.0))
        self.assertEqual(self.store.lists, 1)

    async def test_an_unreadable_claim_leases_to_nobody(self):
        self.store.claim("books", 3, "a")
        self.assertTrue(await self.claims.refresh(boottime()))
        self.assertTrue(self.claims.leases("books", "a"))
        self.store.claims["books"] = None
        self.assertTrue(await self.claims.refresh(boottime()))
        self.assertFalse(self.claims.leases("books", "a"))
        # The next claim's fence is above that of any claim that was overwritten.
        self.store.claim("books", next_fence(hidden_fence(40, None), None), "b")
        self.assertTrue(await self.claims.refresh(boottime()))
        self.assertTrue(self.claims.leases("books", "b"))

    def test_an_outdated_claim_replaces_no_newer_one(self):
        newer, older = ClaimedTarget(4, 2, "c"), ClaimedTarget(3, 1, "b")
        self.claims.record(ClaimListing({"books": newer}, 2.0))
        self.claims.record(ClaimListing({"books": older}, 1.0))
        self.assertEqual(self.claims.claim("books"), newer)
        self.assertEqual(self.claims.requested_at, 2.0)


class LeadershipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StubStore()
        self.claims = ClaimCache(self.store, StubLog())
        self.answers = {"a": True, "b": False, "c": False}
        self.probes = []
        self.stepped_down = []
        self.log = StubLog()
        self.leadership = Leadership(
            "books",
            self.claims,
            lambda name: [other for other in self.answers if other != name],
            self.probe,
            self.log,
            self.stepped_down.append,
        )

    async def probe(self, name):
        self.probes.append(name)
        return self.answers[name]

    async def test_a_lease_needs_no_vote(self):
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertEqual((self.store.lists, self.probes), (1, []))

    async def test_without_the_store_all_others_must_deny(self):
        self.store.error = StoreUnavailable("away")
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertEqual(self.probes, ["b", "c"])

    async def test_a_silent_store_delays_one_answer_only(self):
        # Seen in the incident 20a9 of norrtrad-orders: each second, answers waited for
        # the timeout of a store that had been silent before.
        self.store.silent = True
        loop = asyncio.get_running_loop()
        await self.leadership.confirm("a", boottime())
        self.claims._retry_at = float("-inf")
        started_at = loop.time()
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertLess(loop.time() - started_at, 0.1)

    async def test_a_target_that_does_not_answer_denies_nothing(self):
        self.store.error = StoreUnavailable("away")
        for answer in (None, True):
            self.answers["c"] = answer
            self.assertFalse(await self.leadership.confirm("a", boottime()))

    async def test_a_vote_before_the_answer_proves_nothing(self):
        self.store.error = StoreUnavailable("away")
        await self.leadership.confirm("a", boottime())
        self.answers["b"] = True
        self.assertFalse(await self.leadership.confirm("a", boottime()))

    async def test_a_claim_ends_the_lease_and_its_target_is_asked(self):
        self.store.claim("books", 1, "b")
        self.assertFalse(await self.leadership.confirm("a", boottime()))
        self.assertEqual(self.probes, ["b"])
        self.assertTrue(self.leadership.is_handing_over("a"))

    async def test_the_target_of_the_claim_is_leased(self):
        self.store.claim("books", 1, "b")
        self.assertTrue(await self.leadership.confirm("b", boottime()))

    async def test_a_promotion_that_never_came_leaves_votes(self):
        self.store.claim("books", 1, "b")
        await self.claims.refresh(boottime() - 1.0)
        self.claims._seen_at["books"] -= 10.0
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertEqual(self.probes, ["b", "c"])

    async def test_a_claimed_target_that_is_not_listed_has_not_voted(self):
        # The deposed primary was confirmed by the targets that were left.
        self.store.claim("books", 1, "d")
        await self.claims.refresh(boottime() - 1.0)
        self.claims._seen_at["books"] -= 10.0
        self.assertFalse(await self.leadership.confirm("a", boottime()))
        self.assertEqual((self.probes, self.stepped_down), (["b", "c"], ["a"]))
        # Without the store no other primary could follow.
        self.store.error = StoreUnavailable("away")
        self.claims.failing = True
        self.assertFalse(await self.leadership.confirm("a", boottime()))
        self.assertEqual(self.stepped_down, ["a"])

    async def test_a_claim_that_cannot_be_read_deposes_nobody(self):
        # A healthy primary would be replaced for an entry of another writer.
        self.store.claims["books"] = None
        await self.claims.refresh(boottime() - 1.0)
        self.claims._seen_at["books"] -= 10.0
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertEqual((self.probes, self.stepped_down), (["b", "c"], []))

    async def test_a_group_of_one_target_has_no_vote(self):
        self.store.error = StoreUnavailable("away")
        self.answers = {"a": True}
        self.assertFalse(await self.leadership.confirm("a", boottime()))

    async def test_failed_votes_are_logged_once_a_second(self):
        self.store.error = StoreUnavailable("away")
        self.answers["b"] = None
        for _ in range(10):
            await self.leadership.confirm("a", boottime())
        names = [event for event, _ in self.log.events]
        self.assertEqual(names, ["primary_unproven"])


class CommitProofTest(unittest.IsolatedAsyncioTestCase):
    """Guard against commits that an order which is carried out late rolls back.

    "a" leads; the order was given for "b" before the commit, and takes effect after it.
    """

    async def asyncSetUp(self):
        self.store = StubStore()
        self.claims = ClaimCache(self.store, StubLog())
        self.log = StubLog()
        self.conditions = {"b": condition((1, 50)), "c": condition((1, 50))}
        self.asked = 0
        self.leadership = Leadership(
            "books",
            self.claims,
            lambda name: [other for other in self.conditions if other != name],
            self.deny,
            self.log,
            ask_condition=self.ask,
        )

    async def deny(self, name):
        return False

    async def ask(self, name):
        self.asked += 1
        return self.conditions[name]

    async def claim_is_pending(self, target="b"):
        self.store.claim("books", 1, target)
        await self.claims.refresh(boottime() - 1.0)
        self.claims._seen_at["books"] -= 10.0

    async def kept(self, position):
        with mock.patch("rosemaryridge.core._leadership._RECEIPT_WAIT_S", 0.1):
            return await self.leadership.confirm_commit(
                "a", Position(*position), boottime()
            )

    async def test_a_lease_needs_no_receipt(self):
        self.assertTrue(await self.kept((1, 60)))
        self.assertEqual(self.asked, 0)

    async def test_a_commit_under_a_pending_claim_needs_all_receipts(self):
        # The order was carried out 10 s late: 5 of 4,269 acknowledged writes were lost.
        await self.claim_is_pending()
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertTrue(await self.kept((1, 50)))
        self.conditions["b"] = condition((1, 49))
        self.assertFalse(await self.kept((1, 50)))

    async def test_a_vote_without_the_store_keeps_no_commit(self):
        # A proxy that reaches the store may have ordered the promotion of "b".
        self.store.error = StoreUnavailable("away")
        self.conditions["b"] = condition((1, 49))
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertFalse(await self.kept((1, 50)))

    async def test_a_claim_without_a_successor_leaves_votes_and_receipts(self):
        # Writes would pause while the claim for an order without an answer is settled.
        self.store.claim("books", 2, UNDECIDED_TARGET)
        self.assertTrue(await self.leadership.confirm("a", boottime()))
        self.assertTrue(await self.kept((1, 50)))
        self.assertFalse(await self.kept((1, 51)))
        self.assertFalse(self.leadership.is_unsettled("a"))
        self.claims._seen_at["books"] -= 10.0
        self.assertTrue(self.leadership.is_unsettled("a"))

    async def test_a_receipt_that_arrives_in_time_is_awaited(self):
        await self.claim_is_pending()
        loop = asyncio.get_running_loop()
        self.conditions["b"] = condition((1, 49))
        late = {"b": condition((1, 51))}
        loop.call_later(0.05, self.conditions.update, late)
        self.assertTrue(await self.kept((1, 50)))

    async def test_a_silent_replica_or_a_newer_term_proves_nothing(self):
        await self.claim_is_pending()
        for other in (None, condition((2, 90), term=2)):
            self.conditions["c"] = other
            self.assertFalse(await self.kept((1, 50)))

    async def test_receipts_of_another_target_prove_nothing(self):
        # A request under way for a former primary does not ask that one.
        await self.claim_is_pending("c")
        self.conditions["a"] = condition((1, 10))
        asked = asyncio.Event()

        async def ask(name):
            await asked.wait()
            return self.conditions[name]

        self.leadership._ask_condition = ask
        first = asyncio.create_task(self.kept((1, 50)))
        await asyncio.sleep(0)
        second = asyncio.create_task(
            self.leadership.confirm_commit("b", Position(1, 50), boottime())
        )
        await asyncio.sleep(0)
        asked.set()
        with mock.patch("rosemaryridge.core._leadership._RECEIPT_WAIT_S", 0.1):
            self.assertEqual((await first, await second), (True, False))

    async def test_a_claimed_target_that_is_not_listed_has_received_nothing(self):
        await self.claim_is_pending("d")
        self.assertFalse(await self.kept((1, 50)))

    async def test_a_group_of_one_target_keeps_no_commit(self):
        await self.claim_is_pending("")
        self.store.error = StoreUnavailable("away")
        self.conditions.clear()
        self.claims.requested_at = float("-inf")
        self.assertFalse(await self.kept((1, 50)))


class GroupProofTest(GroupCase):
    def proven_group(self, *names):
        group = self.group(*names)
        self.store = StubStore()
        self.claims = ClaimCache(self.store, StubLog())
        group.require_proof(self.claims)
        return group

    async def test_a_position_counts_once_its_primary_is_proven(self):
        group = self.proven_group("a", "b")
        asked_at = boottime()
        group.record_primary(group.targets["a"], Position(1, 5), asked_at)
        self.assertIsNone(group._history.newest())
        self.assertTrue(await group.confirm_primary(group.targets["a"], asked_at))
        self.assertEqual(group._history.newest(), (Position(1, 5), asked_at))

    async def test_a_superseded_primary_is_not_adopted_again(self):
        group = self.proven_group("a", "b")
        claimed = {"books": ClaimedTarget(1, 1, "b")}
        self.claims.record(ClaimListing(claimed, boottime()))
        group.record_primary(group.targets["b"], Position(1, 5), boottime())
        group.record_primary(group.targets["a"], Position(1, 6), boottime() + 1.0)
        self.assertEqual(group.primary, "b")
        self.assertEqual(group._stepping_down, {"a"})
        for task in group._tasks:
            task.cancel()

    async def test_a_late_answer_to_a_step_down_deposes_no_newer_primary(self):
        group = self.proven_group("a", "b")
        group.record_primary(group.targets["b"], Position(1, 5), boottime())

        async def step_down(target, ask, timeout_s):
            # "b" is found to lead while the answer of "a" is on its way.
            group.record_primary(group.targets["b"], Position(3, 1), boottime())
            return condition((2, 9), primary=True, term=2)

        with mock.patch("rosemaryridge.core._group.request_condition", step_down):
            await group._step_down(group.targets["a"])
        self.assertEqual(group.primary, "b")

    async def test_an_unproven_primary_is_refused_at_once(self):
        group = self.proven_group("a", "b")
        self.store.error = StoreUnavailable("away")
        group.record_primary(group.targets["a"], Position(1, 5), boottime())
        group.probe_primary = self.no_answer
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with self.assertRaises(StatementError) as caught:
            await group.wait_for_proven_primary(loop.time() + 60.0)
        self.assertIs(caught.exception.failure, Failure.BUSY)
        self.assertIsNotNone(caught.exception.retry_after_s)
        self.assertLess(loop.time() - started_at, 1.0)

    async def no_answer(self, target):
        return None

    async def test_where_fences_are_checked_nothing_is_asked(self):
        group = self.group("a", "b")
        self.assertTrue(await group.confirm_primary(group.targets["a"], boottime()))

    async def test_where_fences_are_checked_only_synchronous_commits_are_proven(self):
        group = self.group("a", "b")
        store = StubStore()
        store.claim("books", 1, "b")
        group.require_proof(ClaimCache(store, StubLog()), deposed_go_on=False)
        primary = group.targets["a"]
        self.assertTrue(await group.may_commit(primary))
        self.assertTrue(await group.confirm_commit(primary, Position(1, 1), boottime()))
        self.assertEqual(store.lists, 0)
        group.sync_replicas = 1
        group.probe_primary = self.no_answer
        self.assertTrue(await group.confirm_primary(primary, boottime()))
        self.assertFalse(await group.may_commit(primary))
        self.assertEqual(store.lists, 1)


class PlannedReplacementTest(GroupCase):
    """Guard against commits that a planned replacement rolls back."""

    async def replace(self, received, draining=True, sync_replicas=0):
        """Return who leads once "a" has stepped down at 1/9; "b" was chosen."""
        group = self.group("a", "b", "c")
        group.primary = "a"
        group.sync_replicas = sync_replicas
        old = group.targets["a"]
        old.draining = draining
        failover = Failover("vm", None, None, Shares(), StubLog(), self.rng)

        async def fetch(target):
            pos = received.get(target.id)
            return None if pos is None else condition(pos)

        async def step_down(target, ask, timeout_s):
            return condition((1, 9))

        failover._fetch_condition = fetch
        with mock.patch("rosemaryridge.core._failover.request_condition", step_down):
            found = await failover._step_down(group, old, group.targets["b"], 1)
        self.assertTrue(found.done)
        return found.successor.id

    async def test_another_replica_that_has_all_is_promoted(self):
        self.assertEqual(await self.replace({"b": (1, 8), "c": (1, 9)}), "c")

    async def test_the_chosen_one_is_promoted_if_it_has_all(self):
        self.assertEqual(await self.replace({"b": (1, 9), "c": (1, 9)}), "b")

    async def test_without_a_complete_one_the_most_advanced_is_promoted(self):
        self.assertEqual(await self.replace({"b": (1, 6), "c": (1, 8)}), "c")

    async def test_a_silent_synchronous_replica_keeps_the_primary(self):
        # A silent replica may be the only one with an acknowledged commit.
        self.assertEqual(await self.replace({"b": (1, 6)}, sync_replicas=1), "a")
        # A commit that no replica has received was not acknowledged.
        received = {"b": (1, 6), "c": (1, 8)}
        self.assertEqual(await self.replace(received, sync_replicas=1), "c")

    async def test_without_a_complete_one_a_primary_that_stays_leads_on(self):
        received = {"b": (1, 6), "c": (1, 8)}
        self.assertEqual(await self.replace(received, draining=False), "a")


class SuccessorTest(GroupCase):
    async def test_a_deposed_primary_that_goes_on_is_not_the_primary(self):
        group = self.group("a", "b", "c")
        claim = Claim(1, "vm-1", 1, "b", deposed="a")
        group.targets["b"].mark_unresponsive(1.0)
        conditions = {
            "a": condition((1, 205), primary=True, term=1),
            "c": condition((1, 167), term=2),
        }
        decision = choose_successor(group, claim, conditions)
        self.assertEqual(decision.target.id, "c")

    async def test_a_primary_whose_replacement_failed_is_kept(self):
        group = self.group("a", "b", "c")
        claim = Claim(1, "vm-1", 1, "b", deposed="a")
        group.targets["b"].mark_unresponsive(1.0)
        conditions = {"a": condition((1, 205), primary=True), "c": condition((1, 167))}
        decision = choose_successor(group, claim, conditions)
        self.assertEqual((decision.target, decision.primary.id), (None, "a"))

    async def test_an_order_of_unknown_outcome_is_repeated_for_its_target(self):
        group = self.group("a", "b", "c")
        group.primary = "a"
        claim = Claim(1, "vm-1", 1, "b", deposed="a")
        conditions = {"b": condition((1, 10)), "c": condition((1, 12))}
        self.assertEqual(choose_successor(group, claim, conditions).target.id, "b")
        newer = {"b": condition((2, 1), term=2), "c": condition((2, 3), term=2)}
        group.targets["b"].mark_unresponsive(1.0)
        self.assertEqual(choose_successor(group, claim, newer).target.id, "c")

    async def test_an_order_may_follow_at_once_if_all_deny_that_they_lead(self):
        group = self.group("a", "b")
        denies, leads = condition((1, 1)), condition((1, 1), primary=True)
        self.assertTrue(nobody_leads(group, {"a": denies, "b": denies}))
        self.assertFalse(nobody_leads(group, {"a": denies}))
        self.assertFalse(nobody_leads(group, {"a": denies, "b": leads}))

    async def test_a_list_without_the_last_leader_proves_nothing(self):
        # Guards against an order at once while other proxies hold leases on a primary
        # that is missing in the list of this one.
        group = self.group("b", "c")
        denies = {"b": condition((1, 1)), "c": condition((1, 1))}
        self.assertFalse(leader_has_denied(group, NO_CLAIM, denies))
        first, pending = Claim(1, "vm", 1, "b", "a"), Claim(1, "vm", 1, "b", "c")
        self.assertFalse(leader_has_denied(group, first, denies))
        self.assertTrue(leader_has_denied(group, pending, denies))
        promoted = {name: condition((2, 1), term=2) for name in "bc"}
        self.assertTrue(leader_has_denied(group, first, promoted))
        self.assertFalse(leader_has_denied(group, Claim(1, "vm", 1, "a"), promoted))
        later = {name: condition((3, 1), term=3) for name in "bc"}
        self.assertFalse(leader_has_denied(group, first, later))
        unreadable = Claim(40, "", 1, "")
        self.assertFalse(leader_has_denied(group, unreadable, denies))
        group.record_primary(group.targets["b"], Position(1, 5), boottime())
        self.assertTrue(leader_has_denied(group, NO_CLAIM, denies))


if __name__ == "__main__":
    unittest.main()
