"""Run a load beside faults, then judge the whole history."""

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

_WATCH_S = 0.05
_SETTLE_S = 45.0


class Trial:
    """Hold one fleet under load; `findings` is set by `finish`."""

    def __init__(self, fleet: Fleet, options: LoadOptions | None = None):
        self.fleet = fleet
        self.recorder = Recorder()
        self.findings: tuple[Finding, ...] = ()
        self.load = Load(fleet, options or LoadOptions(), self.recorder)
        self._watching: asyncio.Task | None = None

    async def __aenter__(self) -> "Trial":
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.load.cancel()
        if self._watching is not None:
            self._watching.cancel()

    async def start(self, apply_lag_ms: float = 100.0) -> None:
        """Create the table, let replicas lag and start the callers."""
        await create_table(self.fleet)
        for target in self.fleet.targets:
            await self.fleet.admin.set_target(target, apply_lag_ms=apply_lag_ms)
        self._watching = asyncio.ensure_future(self._watch())
        self.load.start()

    async def _watch(self) -> None:
        while True:
            for state in await self.fleet.states():
                if state["writable"]:
                    self.recorder.saw_primary(state["term"])
            await asyncio.sleep(_WATCH_S)

    async def run_for(self, seconds: float) -> None:
        """Let the load run."""
        await self.load.run_for(seconds)

    async def until_writable(self, since: float, timeout_s: float = 30.0) -> float:
        """Return the gap between a fault and the first write done after it."""
        return await eventually(
            lambda: self.recorder.write_gap_s(since), timeout_s, "a write after a fault"
        )

    async def finish(self) -> str:
        """Stop the load, wait until the targets agree, judge; return the primary."""
        await self.load.stop()
        primary = await eventually(self.fleet.converged, _SETTLE_S, "agreement")
        rows = await final_rows(self.fleet, primary)
        self.findings = check(self.recorder.history(rows))
        return primary

    async def replica_share(self) -> float:
        """Return the share of reads of tables that replicas ran."""
        counts = [state["reads"] for state in await self.fleet.states()]
        replica = sum(count.get("replica", 0) for count in counts)
        total = sum(sum(count.values()) for count in counts)
        return replica / total if total else 0.0


def now() -> float:
    """Return the time in which faults and histories are told."""
    return time.monotonic()
