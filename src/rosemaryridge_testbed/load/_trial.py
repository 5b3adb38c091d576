"""Run a load while faults are injected, then check the whole history."""

import asyncio
import time

from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.fleet import eventually
from rosemaryridge_testbed.history import Finding
from rosemaryridge_testbed.history import check
from rosemaryridge_testbed.load._load import Load
from rosemaryridge_testbed.load._load import LoadOptions
from rosemaryridge_testbed.load._load import create_table
from rosemaryridge_testbed.load._load import final_rows
from rosemaryridge_testbed.load._recorder import Recorder

_POLL_INTERVAL_S = 0.05
_CONVERGENCE_TIMEOUT_S = 45.0


class Trial:
    """Run a load on a fleet and check its history; `finish` sets `findings`."""

    def __init__(self, fleet: Fleet, options: LoadOptions | None = None):
        self.fleet = fleet
        self.recorder = Recorder()
        self.findings: tuple[Finding, ...] = ()
        self.load = Load(fleet, options or LoadOptions(), self.recorder)
        self._promotion_task: asyncio.Task | None = None

    async def __aenter__(self) -> "Trial":
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.load.cancel()
        if self._promotion_task is not None:
            self._promotion_task.cancel()

    async def start(self, apply_lag_ms: float = 100.0) -> None:
        """Create the table, set the apply lag of replicas and start the callers."""
        await create_table(self.fleet)
        for target in self.fleet.targets:
            await self.fleet.admin.set_target(target, apply_lag_ms=apply_lag_ms)
        self._promotion_task = asyncio.ensure_future(self._record_promotions())
        self.load.start()

    async def _record_promotions(self) -> None:
        while True:
            for state in await self.fleet.states():
                if state["writable"]:
                    self.recorder.record_promotion(state["term"])
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def run_for(self, seconds: float) -> None:
        """Wait while the load runs; raise the exception of a caller that failed."""
        await self.load.run_for(seconds)

    async def until_writable(self, since: float, timeout_s: float = 30.0) -> float:
        """Return the seconds from a fault to the first successful write after it.

        Raises TimeoutError after `timeout_s` seconds without such a write.
        """
        return await eventually(
            lambda: self.recorder.write_gap_s(since), timeout_s, "a write after a fault"
        )

    async def finish(self) -> str:
        """Stop the load, await convergence, check the history; return the primary."""
        await self.load.stop()
        primary = await eventually(
            self.fleet.converged, _CONVERGENCE_TIMEOUT_S, "convergence of the targets"
        )
        rows = await final_rows(self.fleet, primary)
        self.findings = check(self.recorder.history(rows))
        return primary

    async def replica_share(self) -> float:
        """Return the share of table reads that ran on replicas, 0 to 1."""
        counts = [state["reads"] for state in await self.fleet.states()]
        replica = sum(count.get("replica", 0) for count in counts)
        total = sum(sum(count.values()) for count in counts)
        return replica / total if total else 0.0


def now() -> float:
    """Return the monotonic time in seconds, the clock of faults and histories."""
    return time.monotonic()
