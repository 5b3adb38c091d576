"""Restart proxies and retire targets without cutting a request."""

import signal

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.load import final_rows
from tests.integration.trial_case import TrialCase


class TestDrain(TrialCase):
    async def test_rolling_restart_cuts_no_request(self):
        for proxy in self.fleet.proxies:
            self.fleet.processes.signal(proxy, signal.SIGTERM)
            await self.until(lambda name=proxy: self.ended(name), f"end of {proxy}")
            self.assertEqual(self.fleet.processes.exit_status(proxy), 0)
            self.fleet.processes.restart(proxy)
            await self.until(lambda name=proxy: self.fleet.answers(name), proxy)
        primary = await self.judge()
        ran = {row.key for row in await final_rows(self.fleet, primary)}
        cut = [
            write
            for write in self.recorder.writes
            if write.outcome is Outcome.UNKNOWN and write.key in ran
        ]
        self.assertEqual(cut, [])

    def ended(self, proxy):
        return self.fleet.processes.exit_status(proxy) is not None

    async def test_open_transaction_ends_by_itself(self):
        conn = await self.fleet.connect("p1")
        await conn.execute("BEGIN")
        await conn.execute("INSERT INTO entry VALUES ('drain', 'drain', 1)")
        self.fleet.processes.signal("p1", signal.SIGTERM)
        await self.trial.run_for(1.0)
        self.assertEqual(await conn.execute("COMMIT"), "COMMIT")
        conn.terminate()
        await self.until(lambda: self.ended("p1"), "end of p1")
        self.assertEqual(self.fleet.processes.exit_status("p1"), 0)
        primary = await self.judge()
        keys = {row.key for row in await final_rows(self.fleet, primary)}
        self.assertIn("drain", keys)

    async def test_leaving_target_gets_no_new_work(self):
        await self.fleet.admin.set_target("t2", leaving=True)
        await self.until(lambda: self.quiet("t2"), "no new reads")
        await self.judge()

    async def quiet(self, target):
        before = (await self.fleet.admin.target(target))["reads"]
        await self.until_more(10)
        return (await self.fleet.admin.target(target))["reads"] == before
