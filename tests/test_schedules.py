"""Explore random schedules of a group whose deposed primaries go on.

`python -m rosemaryridge_testbed.schedules --schedules 10000` runs more of them.
"""

import collections
import unittest
from unittest import mock

from rosemaryridge.core import _failover
from rosemaryridge.core._group import Group
from rosemaryridge.core._leadership import Leadership
from rosemaryridge.core._runner import Runner
from rosemaryridge.core.store import ClaimListing
from rosemaryridge.core.store import _claims
from rosemaryridge_testbed.schedules import Options
from rosemaryridge_testbed.schedules import Result
from rosemaryridge_testbed.schedules import _proxy
from rosemaryridge_testbed.schedules import _step_faults
from rosemaryridge_testbed.schedules import explore
from rosemaryridge_testbed.schedules import explore_steps
from rosemaryridge_testbed.schedules._step_faults import FAULTS
from rosemaryridge_testbed.schedules._step_faults import StepFault
from rosemaryridge_testbed.schedules._step_faults import coverage
from rosemaryridge_testbed.schedules._step_faults import draw_faults
from rosemaryridge_testbed.schedules._steps import STEPS
from rosemaryridge_testbed.schedules._steps import Moment

_SEEDS = range(1, 25)
# The first three lost 9, 12 and 2 acknowledged writes.
_LATE_ORDER_SEEDS = (513, 586, 825, *range(1, 9))
_STEP_SEEDS = range(1, 17)
_DEFAULT = Options()


class ScheduleCase(unittest.TestCase):
    def violations(self, options=_DEFAULT, seeds=_SEEDS):
        found = {}
        for seed in seeds:
            result = explore(seed, options)
            if result.violations:
                found[seed] = dict(result.violations)
        return found


class ScheduleTest(ScheduleCase):
    def test_no_schedule_breaks_a_promise(self):
        self.assertEqual(self.violations(), {})

    def test_no_schedule_with_late_orders_breaks_a_promise(self):
        self.assertEqual(self.violations(Options(late_orders=0.3)), {})

    def test_synchronous_replicas_lose_nothing_that_was_acknowledged(self):
        self.assertEqual(self.violations(Options(sync_replicas=1)), {})

    def test_synchronous_replicas_lose_nothing_by_late_orders(self):
        # An order without an answer was carried out after writes had been acknowledged.
        for fenced in (False, True):
            options = Options(sync_replicas=1, late_orders=0.3, fenced=fenced)
            self.assertEqual(self.violations(options, _LATE_ORDER_SEEDS), {})

    def test_schedules_serve_and_promote(self):
        results = [explore(seed) for seed in _SEEDS[:8]]
        self.assertGreater(sum(result.acknowledged for result in results), 500)
        self.assertGreater(sum(result.promotions for result in results), 3)

    def test_a_seed_replays_the_same_schedule(self):
        self.assertEqual(explore(3), explore(3))


class StepFaultTest(unittest.TestCase):
    """Guard against faults between two steps of the system's own."""

    def test_no_fault_at_a_step_breaks_a_promise(self):
        found = {seed: dict(explore_steps(seed).violations) for seed in _STEP_SEEDS}
        self.assertEqual({s: counts for s, counts in found.items() if counts}, {})

    def test_an_order_that_was_accepted_before_a_newer_one_loses_nothing(self):
        # The late order for "c" was accepted just before the one that voids it. The
        # primary was leased at once, and a write that it acknowledged was lost.
        options = Options(
            proxies=2,
            callers=4,
            faults=0,
            duration_s=8.0,
            promotion_s=0.6,
            restored_stores=False,
            fenced=True,
            sync_replicas=1,
            far_replicas=True,
            entry_delay_s=3.0,
        )
        faults = (
            StepFault("write", 40, Moment.BEFORE, "crash_primary", 1.5),
            StepFault("promotion ordered", 1, Moment.BEFORE, "carry_out_late", 1.0),
        )
        result = explore_steps(17, options=options, faults=faults)
        self.assertEqual((len(result.faults_met), dict(result.violations)), (2, {}))

    def test_each_fault_is_drawn_at_each_rare_step(self):
        rare = [name for name in STEPS if name not in _step_faults._COMMON_STEPS]
        pairs = {(step, fault) for step in rare for fault in FAULTS}
        seeds = range(1, 2 * len(pairs) + 1)
        drawn = {(f.step, f.fault) for seed in seeds for f in draw_faults(seed)}
        self.assertLessEqual(pairs, drawn)

    def test_a_seed_replays_the_same_faults(self):
        result = explore_steps(5)
        self.assertEqual(explore_steps(5), result)
        table = coverage([result])
        struck = sum(counts.total() for counts in table.values())
        self.assertEqual(struck, len(result.faults_met))

    def test_the_fewest_faults_of_a_failing_seed_are_kept(self):
        # Only the second fault breaks something.
        def play(seed, keep=None):
            broken = keep is None or 1 in keep
            return Result(seed, violations=collections.Counter(lost=int(broken)))

        with mock.patch.object(_step_faults, "explore_steps", play):
            play_counts = _step_faults.shrink(3)
        self.assertEqual(play_counts, [1])


class PlantedFaultTest(ScheduleCase):
    """The exploration finds each way to break a promise."""

    def assert_found(self, kind, options=_DEFAULT):
        found = self.violations(options)
        self.assertTrue(any(kind in counts for counts in found.values()), found)

    def test_primaries_without_proof(self):
        self.assert_found("one", Options(proofs=False))
        self.assert_found("stale", Options(proofs=False))

    def test_synchronous_replicas_that_proxies_do_not_know_of(self):
        options = Options(sync_replicas=1, tells_sync=False)
        found = self.violations(options, (76, 197, 510))
        self.assertEqual(sorted(found), [76, 197, 510])
        self.assertTrue(all("lost" in counts for counts in found.values()), found)

    def test_orders_before_the_leases_end(self):
        with mock.patch.object(_failover, "PROMOTION_DELAY_S", 0.0):
            self.assert_found("one", Options(promotion_s=0.05))

    def test_leases_that_outlast_the_promotion_delay(self):
        with mock.patch.object(_claims, "LEASE_S", 5.0):
            self.assert_found("one")

    def test_votes_that_need_no_answer(self):
        async def vote(self, target, led_at):
            return True

        with mock.patch.object(Leadership, "_vote", vote):
            self.assert_found("one")

    def test_commits_that_are_not_checked_after_their_answer(self):
        async def check_commit(self, *args):
            pass

        with mock.patch.object(Runner, "check_commit", check_commit):
            options = Options(promotion_s=0.02, work_s=0.5, callers=24)
            self.assert_found("one", options)

    def test_claims_whose_age_is_ignored(self):
        record = _claims.ClaimCache.record

        def record_as_new(self, listing):
            record(self, ClaimListing(listing.claims, _claims.boottime()))

        with (
            mock.patch.object(_claims.ClaimCache, "record", record_as_new),
            mock.patch.object(_proxy, "RELAYED_AGE_S", 5.0),
        ):
            self.assert_found("one")

    def test_a_superseded_primary_that_is_adopted_again(self):
        with (
            mock.patch.object(Group, "_is_superseded", lambda self, target: False),
            mock.patch.object(Leadership, "superseded_by", lambda self, target: ""),
            mock.patch.object(
                _claims.ClaimCache, "leases", lambda self, service, target: True
            ),
        ):
            self.assert_found("one")


if __name__ == "__main__":
    unittest.main()
