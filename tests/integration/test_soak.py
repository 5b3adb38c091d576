"""Test that a short soak finds no violation, except those of planted faults."""

import asyncio
import unittest

from rosemaryridge_testbed.soak import Rule
from rosemaryridge_testbed.soak import Soak
from rosemaryridge_testbed.soak import SoakOptions

# Seeds that failed before, with the cause.
REGRESSIONS = {
    2: "the emulator dropped commits in transit to a replica at a promotion",
    5: "the check required sessions to read the writes of other sessions",
    9: "the emulator let a replaced primary commit a transaction that it had begun",
}


async def violations(options):
    async with Soak(options) as soak:
        return await soak.run()


class TestSoak(unittest.TestCase):
    def run_seed(self, seed, faults_s=6.0, plant="", **switches):
        options = SoakOptions(seed, faults_s=faults_s, plant=plant, **switches)
        return asyncio.run(violations(options))

    def test_no_guarantee_is_violated(self):
        for seed in REGRESSIONS:
            with self.subTest(seed=seed):
                self.assertEqual(dict(self.run_seed(seed)), {})

    def test_businesses_stay_apart_and_within_their_quotas(self):
        self.assertEqual(dict(self.run_seed(1, 10.0, keyed=True)), {})

    def test_owners_keep_the_guarantees(self):
        self.assertEqual(dict(self.run_seed(3, 10.0, owned=True)), {})

    def test_planned_work_cuts_no_statement(self):
        faults = ("reload_proxies", "slow_answers", "stop_proxy")
        self.assertEqual(dict(self.run_seed(21, 5.0, faults=faults)), {})
        faults = ("stop_proxy",)
        self.assertEqual(dict(self.run_seed(11, 5.0, faults=faults, owned=True)), {})

    def test_a_proxy_that_starts_as_an_entry_goes_deposes_nobody_early(self):
        violated = self.run_seed(31, 5.0, faults=("lost_entry",), fenced=False)
        self.assertEqual(dict(violated), {})

    def test_a_leaving_primary_without_a_successor_gets_no_new_work(self):
        violated = self.run_seed(41, 5.0, faults=("leaving_primary",))
        self.assertEqual(dict(violated), {})

    def test_proxies_that_pass_changes_on_keep_the_guarantees(self):
        violated = self.run_seed(4, 10.0, proxies=5, relayed=True)
        self.assertEqual(dict(violated), {})

    def test_synchronous_replicas_lose_no_acknowledged_commit(self):
        # Seed 7 lost commits that were acknowledged after the order of a promotion.
        violated = self.run_seed(7, 10.0, faults=("missed_commits",), drawn=True)
        self.assertEqual(dict(violated), {})

    def test_planted_faults_of_businesses_are_found(self):
        for plant, rule in (("foreign", Rule.OWNER), ("repeated", Rule.QUOTA)):
            with self.subTest(plant=plant):
                self.assertIn(rule, self.run_seed(1, 4.0, plant, keyed=True))

    def test_planted_faults_are_found(self):
        plants = {
            "lost": Rule.LOST,
            "twice": Rule.TWICE,
            "refused": Rule.REFUSED,
            "stale": Rule.STALE,
            "unsigned": Rule.UNSIGNED,
            "valueless": Rule.PINNED,
            "unseen": Rule.CONFIG,
        }
        for plant, rule in plants.items():
            with self.subTest(plant=plant):
                self.assertIn(rule, self.run_seed(1, 4.0, plant))


if __name__ == "__main__":
    unittest.main()
