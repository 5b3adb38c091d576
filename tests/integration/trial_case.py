"""Provide a test case with a separate fleet under load for each test."""

import asyncio
import unittest

from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.fleet import Latencies
from rosemaryridge_testbed.fleet import eventually
from rosemaryridge_testbed.load import LoadOptions
from rosemaryridge_testbed.load import Trial

LATENCIES = Latencies(target_ms=1.5, replica_ms=1.5, caller_ms=1.0)


class TrialCase(unittest.IsolatedAsyncioTestCase):
    """Start a fleet and its callers for each test."""

    options = FleetOptions(latencies=LATENCIES)
    load = LoadOptions(callers=8, write_share=0.3, pace_s=0.03)
    apply_lag_ms = 100.0

    async def asyncSetUp(self):
        """Start the processes and the load."""
        asyncio.get_running_loop().set_debug(False)
        self.fleet = await self.enterAsyncContext(Fleet(self.options))
        self.trial = await self.enterAsyncContext(Trial(self.fleet, self.load))
        self.recorder = self.trial.recorder
        await self.trial.start(self.apply_lag_ms)
        await self.until(lambda: len(self.recorder.writes) >= 20, "20 recorded writes")

    async def until(self, condition, what=""):
        """Return the first true value of a condition; allow 60 s for slow machines."""
        return await eventually(condition, 60.0, what)

    async def until_more(self, writes=20):
        """Wait until `writes` more writes are acknowledged."""
        wanted = self.acknowledged() + writes
        await self.until(lambda: self.acknowledged() >= wanted, "more writes")

    def acknowledged(self):
        """Return the number of acknowledged writes."""
        return sum(write.outcome.value == "done" for write in self.recorder.writes)

    def terms(self):
        """Return the terms in which a primary was seen."""
        return [promotion.term for promotion in self.recorder.promotions]

    async def finish_without_violations(self):
        """Stop the load, require that no promise was broken and return the primary."""
        primary = await self.trial.finish()
        self.assertEqual(self.trial.findings, ())
        return primary

    def broken_promises(self):
        """Return the promises that the history violates."""
        return {finding.promise for finding in self.trial.findings}
