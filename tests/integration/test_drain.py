"""Test that draining proxies and targets interrupts no request."""

import signal

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.load import final_rows
from tests.integration.trial_case import TrialCase


class TestDrain(TrialCase):
    async def test_rolling_restart_interrupts_no_request(self):
        for proxy in self.fleet.proxies:
            self.fleet.processes.signal(proxy, signal.SIGTERM)
            await self.until(
                lambda name=proxy: self.has_exited(name), f"exit of {proxy}"
            )
            self.assertEqual(self.fleet.processes.exit_status(proxy), 0)
            self.fleet.processes.restart(proxy)
            await self.until(lambda name=proxy: self.fleet.answers(name), proxy)
        primary = await self.finish_without_violations()
        ran = {row.key for row in await final_rows(self.fleet, primary)}
        interrupted = [
            write
            for write in self.recorder.writes
            if write.outcome is Outcome.UNKNOWN and write.key in ran
        ]
        self.assertEqual(interrupted, [])

    def has_exited(self, proxy):
        return self.fleet.processes.exit_status(proxy) is not None

    async def test_open_transaction_can_commit_during_the_drain(self):
        conn = await self.fleet.connect("p1")
        await conn.execute("BEGIN")
        await conn.execute("INSERT INTO entry VALUES ('drain', 'drain', 1)")
        self.fleet.processes.signal("p1", signal.SIGTERM)
        await self.trial.run_for(1.0)
        self.assertEqual(await conn.execute("COMMIT"), "COMMIT")
        conn.terminate()
        await self.until(lambda: self.has_exited("p1"), "exit of p1")
        self.assertEqual(self.fleet.processes.exit_status("p1"), 0)
        primary = await self.finish_without_violations()
        keys = {row.key for row in await final_rows(self.fleet, primary)}
        self.assertIn("drain", keys)

    async def test_draining_target_gets_no_new_reads(self):
        await self.fleet.admin.set_target("t2", leaving=True)
        await self.until(lambda: self.has_no_new_reads("t2"), "no new reads")
        await self.finish_without_violations()

    async def has_no_new_reads(self, target):
        before = (await self.fleet.admin.target(target))["reads"]
        await self.until_more(10)
        return (await self.fleet.admin.target(target))["reads"] == before
